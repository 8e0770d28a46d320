#include "almondwind/sidecar/caller_server.h"

#include <utility>
#include <vector>

namespace almondwind::sidecar {

using base::Millis;
using base::Reason;

namespace {

// How often idle connections are looked at.
constexpr Millis kSweep{1000};

http::ReaderOptions ReaderOptionsFrom(const routes::Limits& limits) {
  return {limits.header_bytes, limits.body_bytes};
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
        reader_(ReaderOptionsFrom(server.limits())),
        last_used_(server.timers_.Now()) {
    loop::StreamOptions options;
    options.silence = Millis(10'000);  // callers may read slowly
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
  Millis last_used() const { return last_used_; }
  // Whether a request is coming in, and longer than the operators allow.
  bool overdue(const routes::Limits& limits, Millis now) const {
    if (!slots_.empty() || !reader_.in_message()) return false;
    Millis limit =
        reader_.in_header() ? limits.header_timeout : limits.idle_timeout;
    return now - message_since_ > limit;
  }

  void OnData(std::string_view data) override {
    reader_.Feed(data);
    Pump();
  }

  void OnEnd(loop::StreamEnd) override { server_.Erase(*this); }

  void OnAnswer(uint64_t call, http::Response response) override {
    for (Slot& slot : slots_) {
      if (slot.call != call) continue;
      slot.response = std::move(response);
      break;
    }
    if (!pumping_) Pump();
  }

  // Gives a final answer of the node's own to a caller that is too slow, and
  // closes.
  void TimeOut() {
    slots_.push_back({0,
                      server_.dispatcher_.Own(408, Reason::kTimeout, Millis(0)),
                      false, false});
    Pump();
  }

 private:
  struct Slot {
    uint64_t call = 0;
    std::optional<http::Response> response;
    bool keep_alive = true;
    bool to_head = false;
  };

  // Reads what can be read, answers what can be answered. May destroy this
  // object at its end.
  void Pump() {
    pumping_ = true;
    ReadRequests();
    bool open = WriteAnswers();
    pumping_ = false;
    if (!open) return server_.Erase(*this);
    bool full = slots_.size() >= server_.options_.pipeline;
    if (full != paused_) {
      paused_ = full;
      if (full) {
        stream_->PauseReading();
      } else {
        stream_->ResumeReading();
      }
    }
  }

  void ReadRequests() {
    while (!broken_ && slots_.size() < server_.options_.pipeline) {
      if (!reader_.in_message()) message_since_ = server_.timers_.Now();
      http::ReadState state = reader_.Next();
      if (state == http::ReadState::kPartial) {
        if (slots_.empty() && reader_.TakeExpectContinue()) {
          stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
      }
      if (state != http::ReadState::kComplete) {
        broken_ = true;
        slots_.push_back({0,
                          server_.dispatcher_.Own(StatusOf(state),
                                                  ReasonOf(state), Millis(0)),
                          false, false});
        return;
      }
      Enter(reader_.Take());
      message_since_ = server_.timers_.Now();
    }
  }

  void Enter(http::Request request) {
    Slot& slot = slots_.emplace_back();
    slot.call = server_.dispatcher_.next_id();
    slot.keep_alive = request.keep_alive;
    slot.to_head = request.method == "HEAD";
    if (!slot.keep_alive) broken_ = true;  // nothing may follow
    server_.dispatcher_.Accept(std::move(request), *this);
  }

  // Returns whether the connection stays open.
  bool WriteAnswers() {
    std::string bytes;
    bool open = true;
    while (open && !slots_.empty() && slots_.front().response) {
      Slot& slot = slots_.front();
      open = slot.keep_alive && !server_.closing_;
      slot.response->keep_alive = open;
      http::Append(*slot.response, slot.to_head, bytes);
      slots_.pop_front();
      last_used_ = server_.timers_.Now();
    }
    if (!bytes.empty()) stream_->Write(bytes);
    // What came behind a closing answer counts as not read.
    if (!open) stream_->CloseAfterWrites();
    return open;
  }

  void AbandonAll() {
    std::vector<uint64_t> calls;
    for (const Slot& slot : slots_) {
      if (!slot.response) calls.push_back(slot.call);
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
  bool pumping_ = false;
  bool paused_ = false;
  bool broken_ = false;  // nothing more can be read
};

CallerServer::CallerServer(boost::asio::io_context& io, loop::Timers& timers,
                           const CallerServerOptions& options,
                           Dispatcher& dispatcher)
    : timers_(timers),
      options_(options),
      dispatcher_(dispatcher),
      sweep_(timers),
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
  if (!sweep_.pending()) sweep_.Start(kSweep, [this] { Sweep(); });
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

void CallerServer::Sweep() {
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
  if (!connections_.empty()) sweep_.Start(kSweep, [this] { Sweep(); });
}

}  // namespace almondwind::sidecar
