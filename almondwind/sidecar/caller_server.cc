#include "almondwind/sidecar/caller_server.h"

#include <utility>
#include <vector>

namespace almondwind::sidecar {

using base::Millis;
using base::Reason;
using peers::BodyEnd;

namespace {

// How often idle and slow connections are looked for.
constexpr Millis kTimeoutCheckInterval{1000};
// How often paused connections are checked for a close by the caller. An
// upstream must stop abandoned work within half a second.
constexpr Millis kPausedCheckInterval{200};

http::ReaderOptions ReaderOptionsFrom(const routes::Limits& limits,
                                      const CallerServerOptions& options) {
  return {limits.header_bytes, limits.body_bytes,
          options.streaming_threshold_bytes};
}

int StatusOf(http::ReadState state) {
  if (state == http::ReadState::kHeaderTooLarge) return 431;
  if (state == http::ReadState::kBodyTooLarge) return 413;
  return 400;
}

Reason ReasonOf(http::ReadState state) {
  return state == http::ReadState::kBodyTooLarge ? Reason::kBodyTooLarge
                                                 : Reason::kMalformed;
}

}  // namespace

class CallerServer::Connection : public loop::StreamEvents,
                                 public CallerEvents {
 public:
  Connection(CallerServer& server, boost::asio::ip::tcp::socket socket)
      : server_(server),
        reader_(ReaderOptionsFrom(server.limits(), server.options_)),
        last_used_(server.timers_.Now()) {
    loop::StreamOptions options;
    options.tcp_user_timeout = Millis(10'000);  // callers may read slowly
    stream_ =
        loop::Stream::Adopt(server.timers_, std::move(socket), options, *this);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() override {
    stream_->Close();
    AbandonAll();
  }

  bool idle() const { return slots_.empty() && !reader_.in_message(); }
  bool paused() const { return paused_; }
  bool caller_left() { return stream_->peer_closed(); }
  Millis last_used() const { return last_used_; }
  // Whether a request has been arriving for longer than the configured limit.
  bool overdue(const routes::Limits& limits, Millis now) const {
    if (!slots_.empty() || !reader_.in_message()) return false;
    Millis limit =
        reader_.in_header() ? limits.header_timeout : limits.idle_timeout;
    return now - message_since_ > limit;
  }

  void OnData(std::string_view data) override {
    reader_.Feed(data);
    Process();
  }

  void OnEnd(loop::StreamEnd) override { server_.Erase(*this); }

  void OnAnswer(uint64_t call, http::Response response) override {
    for (Slot& slot : slots_) {
      if (slot.call != call) continue;
      slot.response = std::move(response);
      break;
    }
    if (!processing_) Process();
  }

  void OnBody(uint64_t call, std::string bytes, BodyEnd end) override {
    if (end == BodyEnd::kBroken) return OnBodyAborted(call);
    Slot& slot = slots_.front();  // only the first body has been started
    std::string wire;
    http::AppendBodyPart(slot.response->rest, bytes, wire);
    unreported_bytes_ += static_cast<uint32_t>(bytes.size());
    if (end == BodyEnd::kLast) {
      http::AppendBodyEnd(slot.response->rest, wire);
      slot.body_done = true;
      unreported_bytes_ = 0;
    }
    if (!wire.empty()) stream_->Write(wire);
    if (end == BodyEnd::kLast) return Process();
    if (stream_->unwritten() == 0) ReportConsumed(call);
  }

  void OnDrained() override {
    if (unreported_bytes_ > 0 && !slots_.empty()) {
      ReportConsumed(slots_.front().call);
    }
  }

  void OnBodyCredit(uint64_t call, uint32_t bytes) override {
    if (call != streaming_call_) return;
    body_credit_ += bytes;
    if (!processing_) Process();
  }

  // Sends 408 to a caller that sends its request too slowly, and closes the
  // connection.
  void TimeOut() {
    slots_.push_back(
        {0, server_.dispatcher_.LocalResponse(408, Reason::kTimeout, Millis(0)),
         false, false});
    Process();
  }

 private:
  struct Slot {
    uint64_t call = 0;
    std::optional<http::Response> response;
    bool keep_alive = true;
    bool head_request = false;
    // Progress of a streamed response: the head, or all of it, is written.
    bool head_written = false;
    bool body_done = false;
  };

  // Reads the available requests and writes the available responses. May
  // destroy this object as its last action.
  void Process() {
    processing_ = true;
    ReadRequests();
    bool open = WriteAnswers();
    processing_ = false;
    if (!open) return server_.Erase(*this);
    bool pause = slots_.size() >= server_.options_.pipeline ||
                 (reader_.in_body() && body_credit_ <= 0);
    if (pause != paused_) {
      paused_ = pause;
      if (pause) {
        stream_->PauseReading();
        if (!server_.paused_check_.pending()) server_.CheckPaused();
      } else {
        stream_->ResumeReading();
      }
    }
  }

  void ReadRequests() {
    if (reader_.in_body() && !ReadBody()) return;
    while (!reading_done_ && slots_.size() < server_.options_.pipeline) {
      if (!reader_.in_message()) message_since_ = server_.timers_.Now();
      http::ReadState state = reader_.Next();
      if (state == http::ReadState::kPartial) {
        if (slots_.empty() && reader_.TakeExpectContinue()) {
          stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
      }
      if (state == http::ReadState::kBodyFollows) {
        Dispatch(reader_.Take());
        if (!ReadBody()) return;
        continue;
      }
      if (state != http::ReadState::kComplete) {
        reading_done_ = true;
        slots_.push_back({0,
                          server_.dispatcher_.LocalResponse(
                              StatusOf(state), ReasonOf(state), Millis(0)),
                          false, false});
        return;
      }
      Dispatch(reader_.Take());
      message_since_ = server_.timers_.Now();
    }
  }

  // Passes on the bytes received of a streamed request body. Returns whether
  // the body is complete.
  bool ReadBody() {
    http::ReadState state = reader_.Next();
    bool last = state == http::ReadState::kComplete;
    if (!last && state != http::ReadState::kPartial) {
      // Part of the request has been sent on, so its outcome is unknown; the
      // connection is closed without a response.
      abort_ = reading_done_ = true;
      return false;
    }
    std::string bytes = reader_.TakeBody();
    if (!last && bytes.empty()) return false;
    body_credit_ -= static_cast<int64_t>(bytes.size());
    server_.dispatcher_.FeedBody(streaming_call_, std::move(bytes), last);
    if (!last) return false;
    reader_.EndBody();
    streaming_call_ = 0;
    body_credit_ = 0;
    return true;
  }

  // A response whose head has not been written can still be replaced by a 502.
  void OnBodyAborted(uint64_t call) {
    if (slots_.front().call == call) return server_.Erase(*this);
    for (Slot& slot : slots_) {
      if (slot.call != call) continue;
      slot.response = server_.dispatcher_.LocalResponse(
          502, Reason::kUpstreamClosed, Millis(0));
    }
  }

  void ReportConsumed(uint64_t call) {
    server_.dispatcher_.OnResponseBytesConsumed(
        call, std::exchange(unreported_bytes_, 0));
  }

  void Dispatch(http::Request request) {
    Slot& slot = slots_.emplace_back();
    slot.call = server_.dispatcher_.next_id();
    if (request.rest.follows) streaming_call_ = slot.call;
    slot.keep_alive = request.keep_alive;
    slot.head_request = request.method == "HEAD";
    if (!slot.keep_alive) reading_done_ = true;  // no request may follow
    server_.dispatcher_.Accept(std::move(request), *this);
  }

  // Returns whether the connection stays open.
  bool WriteAnswers() {
    if (abort_) return false;
    std::string bytes;
    bool open = true;
    uint64_t opened = 0;
    while (open && !slots_.empty() && slots_.front().response) {
      Slot& slot = slots_.front();
      if (!slot.head_written) {
        // After a response that precedes the end of its request's body, the
        // rest of that body is never read, so the connection must close.
        bool unread = streaming_call_ != 0 && streaming_call_ == slot.call;
        slot.keep_alive = slot.keep_alive && !server_.closing_ && !unread;
        slot.response->keep_alive = slot.keep_alive;
        http::Append(*slot.response, slot.head_request, bytes);
        slot.head_written = true;
        if (slot.response->rest.follows) opened = slot.call;
      }
      if (slot.response->rest.follows && !slot.body_done) break;
      open = slot.keep_alive;
      slots_.pop_front();
      last_used_ = server_.timers_.Now();
    }
    if (!bytes.empty()) stream_->Write(bytes);
    if (opened != 0) server_.dispatcher_.StartResponseBody(opened);
    // Requests received after one whose response closes are not answered.
    if (!open) stream_->CloseAfterWrites();
    return open;
  }

  void AbandonAll() {
    std::vector<uint64_t> calls;
    for (const Slot& slot : slots_) {
      bool done = slot.response && !slot.response->rest.follows;
      if (!done) calls.push_back(slot.call);
    }
    slots_.clear();
    for (uint64_t call : calls) server_.dispatcher_.Abandon(call);
  }

  CallerServer& server_;
  loop::StreamPtr stream_;
  http::RequestReader reader_;
  std::deque<Slot> slots_;  // in the order of the requests
  Millis last_used_;
  Millis message_since_{0};
  bool processing_ = false;
  bool paused_ = false;
  bool reading_done_ = false;  // no further request is read
  bool abort_ = false;         // close the connection without a response
  // The call whose request body is being received (0: none), and how many more
  // bytes of that body may be passed on.
  uint64_t streaming_call_ = 0;
  int64_t body_credit_ = 0;
  // Bytes of the first response that are not yet reported as consumed.
  uint32_t unreported_bytes_ = 0;
};

CallerServer::CallerServer(boost::asio::io_context& io, loop::Timers& timers,
                           const CallerServerOptions& options,
                           Dispatcher& dispatcher)
    : timers_(timers),
      options_(options),
      dispatcher_(dispatcher),
      timeout_check_(timers),
      paused_check_(timers),
      acceptor_(io, timers, options.listen,
                [this](boost::asio::ip::tcp::socket socket) {
                  OnAccepted(std::move(socket));
                }) {}

CallerServer::~CallerServer() {
  auto connections = std::move(connections_);
  connections_.clear();
}

routes::Limits CallerServer::limits() const {
  return dispatcher_.table() == nullptr ? routes::Limits()
                                        : dispatcher_.table()->limits();
}

void CallerServer::OnAccepted(boost::asio::ip::tcp::socket socket) {
  if (connections_.size() >= options_.connections) return;  // closes it
  auto owned = std::make_unique<Connection>(*this, std::move(socket));
  Connection* connection = owned.get();
  connections_[connection] = std::move(owned);
  if (!timeout_check_.pending()) {
    timeout_check_.Start(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
  }
}

void CallerServer::Erase(Connection& connection) {
  auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
}

void CallerServer::CloseIdle() {
  std::vector<Connection*> idle;
  for (const auto& [connection, owned] : connections_) {
    if (connection->idle()) idle.push_back(connection);
  }
  for (Connection* connection : idle) Erase(*connection);
}

void CallerServer::CheckPaused() {
  std::vector<Connection*> left;
  bool paused = false;
  for (const auto& [connection, owned] : connections_) {
    if (!connection->paused()) continue;
    paused = true;
    if (connection->caller_left()) left.push_back(connection);
  }
  for (Connection* connection : left) Erase(*connection);
  if (paused) {
    paused_check_.Start(kPausedCheckInterval, [this] { CheckPaused(); });
  }
}

void CallerServer::CheckTimeouts() {
  Millis now = timers_.Now();
  routes::Limits limit = limits();
  std::vector<Connection*> idle;
  std::vector<Connection*> slow;
  for (const auto& [connection, owned] : connections_) {
    if (connection->idle()) {
      if (now - connection->last_used() > limit.idle_timeout) {
        idle.push_back(connection);
      }
    } else if (connection->overdue(limit, now)) {
      slow.push_back(connection);
    }
  }
  for (Connection* connection : idle) Erase(*connection);
  for (Connection* connection : slow) connection->TimeOut();
  if (!connections_.empty()) {
    timeout_check_.Start(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
  }
}

}  // namespace almondwind::sidecar
