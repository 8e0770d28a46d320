#include "almondwind/sidecar/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "almondwind/loop/endpoint.h"

namespace almondwind::sidecar {

using base::EndKind;
using base::Millis;
using loop::StreamEnd;
using peers::BodyEnd;

namespace {
constexpr Millis kIdleCheckInterval{500};
// A host answers a connection attempt at once, with a refusal if nothing
// listens. A busy upstream may not answer; that says nothing.
constexpr Millis kProbeTimeout{100};
}  // namespace

class UpstreamPool::Connection : public loop::StreamEvents {
 public:
  explicit Connection(UpstreamPool& pool)
      : pool_(pool),
        reader_({pool.options_.header_bytes, pool.options_.answer_bytes,
                 pool.options_.streaming_threshold_bytes}),
        idle_limit_(pool.options_.idle_limit) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() override {
    if (stream_ != nullptr) stream_->Close();
  }

  void Dial() {
    loop::StreamOptions options;
    stream_ = loop::Stream::Dial(pool_.io_, pool_.timers_, pool_.endpoint_,
                                 options, *this);
  }

  void Send(uint64_t exchange, const http::Request& request,
            const std::string& request_id) {
    exchange_ = exchange;
    ++exchanges_;
    request_id_ = request_id;
    head_request_ = request.method == "HEAD";
    busy_ = true;
    rest_ = request.rest;
    std::string bytes;
    http::Append(request, bytes);
    stream_->Write(bytes);
  }

  void SendBody(std::string_view part, bool last) {
    if (!rest_.follows) return;
    std::string bytes;
    http::AppendBodyPart(rest_, part, bytes);
    if (last) {
      http::AppendBodyEnd(rest_, bytes);
      rest_.follows = false;
    }
    if (!bytes.empty()) stream_->Write(bytes);
  }

  size_t unwritten() const { return stream_->unwritten(); }
  void PauseBody() { stream_->PauseReading(); }
  void ResumeBody() { stream_->ResumeReading(); }

  void OnConnected() override { connected_ = true; }

  void OnDrained() override {
    if (rest_.follows) pool_.events_.OnUpstreamDrained(exchange_);
  }

  void OnData(std::string_view data) override {
    if (!busy_) return pool_.Erase(*this);  // data without a request
    reader_.Feed(data);
    ReadResponses(/*ended=*/false);
  }

  void OnEnd(StreamEnd end) override {
    ended_ = true;
    if (!busy_) return pool_.Erase(*this);
    if (end == StreamEnd::kClosed) return ReadResponses(/*ended=*/true);
    if (reader_.in_body()) return FinishBody("", BodyEnd::kBroken);
    bool sent = connected_ || end != StreamEnd::kUnreachable;
    Finish(sent ? EndKind::kClosed : EndKind::kUnreachable, {}, {});
  }

  bool busy() const { return busy_; }
  uint64_t exchange() const { return exchange_; }
  Millis idle_since() const { return idle_since_; }
  Millis idle_limit() const { return idle_limit_; }

 private:
  void ReadResponses(bool ended) {
    if (reader_.in_body()) return ReadBody(ended);
    for (;;) {
      http::ReadState state = ended ? reader_.FinishAtEof(head_request_)
                                    : reader_.Next(head_request_);
      if (state == http::ReadState::kPartial) {
        if (ended) Finish(EndKind::kClosed, {}, {});
        return;
      }
      if (state == http::ReadState::kBodyFollows) {
        return BeginStreamedResponse(ended);
      }
      if (state != http::ReadState::kComplete) {
        bool large = state == http::ReadState::kBodyTooLarge ||
                     state == http::ReadState::kHeaderTooLarge;
        return Finish(large ? EndKind::kTooLarge : EndKind::kUnusable, {}, {});
      }
      http::Response response = reader_.Take();
      ResponseMetadata metadata = pool_.dialect_.ReadAnswer(response);
      if (metadata.request_id && *metadata.request_id != request_id_) {
        stale_response_seen_ = true;  // late response to an earlier request
        continue;
      }
      if (MayBeStale(metadata)) return Finish(EndKind::kUnusable, {}, {});
      return Finish(EndKind::kAnswer, std::move(response), metadata);
    }
  }

  // Whether a response without an id may belong to an earlier request.
  bool MayBeStale(const ResponseMetadata& metadata) const {
    return !metadata.request_id && !request_id_.empty() &&
           (exchanges_ > 1 || stale_response_seen_);
  }

  // If the connection ends later, ReadBody handles it.
  void BeginStreamedResponse(bool ended) {
    http::Response response = reader_.Take();
    ResponseMetadata metadata = pool_.dialect_.ReadAnswer(response);
    // For a late response to an earlier request, its body would have to be read
    // before this request's response; the exchange ends instead.
    bool stale = metadata.request_id && *metadata.request_id != request_id_;
    if (stale || MayBeStale(metadata) || ended)
      return Finish(EndKind::kUnusable, {}, {});
    keep_alive_ = response.keep_alive;
    if (metadata.idle_limit) SetIdleLimit(*metadata.idle_limit);
    stream_->PauseReading();
    pool_.events_.OnUpstreamHead(exchange_, std::move(response), metadata);
  }

  void ReadBody(bool ended) {
    http::ReadState state = ended ? reader_.FinishAtEof(head_request_)
                                  : reader_.Next(head_request_);
    if (state != http::ReadState::kPartial &&
        state != http::ReadState::kComplete) {
      return FinishBody("", BodyEnd::kBroken);
    }
    std::string bytes = reader_.TakeBody();
    if (state == http::ReadState::kComplete) {
      reader_.EndBody();
      return FinishBody(std::move(bytes), BodyEnd::kLast);
    }
    if (ended) return FinishBody("", BodyEnd::kBroken);
    if (bytes.empty()) return;
    pool_.events_.OnUpstreamBody(exchange_, std::move(bytes), BodyEnd::kMore);
  }

  void FinishBody(std::string bytes, BodyEnd end) {
    EndExchange(end == BodyEnd::kLast && keep_alive_);
    pool_.OnBodyEnd(*this, std::move(bytes), end);
    // The pool may have erased this object.
  }

  void Finish(EndKind kind, http::Response response,
              const ResponseMetadata& metadata) {
    if (metadata.idle_limit) SetIdleLimit(*metadata.idle_limit);
    EndExchange(kind == EndKind::kAnswer && response.keep_alive);
    pool_.OnEnd(*this, kind, std::move(response), metadata);
    // The pool may have erased this object.
  }

  void SetIdleLimit(Millis limit) {
    idle_limit_ = limit * pool_.options_.idle_percent / 100;
  }

  // Keeps the connection only if no data is outstanding in either direction.
  void EndExchange(bool keep) {
    busy_ = false;
    bool clean = !ended_ && !stale_response_seen_ && !reader_.in_message() &&
                 !reader_.in_body() && !rest_.follows;
    rest_.follows = false;
    idle_since_ = pool_.timers_.Now();
    if (!keep || !clean) stream_->Close();
  }

  UpstreamPool& pool_;
  loop::StreamPtr stream_;
  http::ResponseReader reader_;
  uint64_t exchange_ = 0;
  int exchanges_ = 0;  // including the one in progress
  std::string request_id_;
  http::BodyRest rest_;      // of the request
  bool keep_alive_ = false;  // from the head of a streamed response
  Millis idle_since_{0};
  Millis idle_limit_;
  bool head_request_ = false;
  bool busy_ = false;
  bool connected_ = false;
  bool ended_ = false;
  bool stale_response_seen_ = false;

 public:
  bool reusable() const { return stream_ != nullptr && stream_->open(); }
};

class UpstreamPool::Prober : public loop::StreamEvents {
 public:
  explicit Prober(UpstreamPool& pool)
      : pool_(pool), started_(pool.timers_.Now()) {
    loop::StreamOptions options;
    options.dial_timeout = kProbeTimeout;
    stream_ = loop::Stream::Dial(pool.io_, pool.timers_, pool.endpoint_,
                                 options, *this);
  }
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;
  ~Prober() override { stream_->Close(); }

  void OnConnected() override { pool_.OnProbed(/*refused=*/false); }
  void OnData(std::string_view) override {}
  void OnEnd(StreamEnd end) override {
    bool in_time = pool_.timers_.Now() - started_ < kProbeTimeout;
    pool_.OnProbed(end == StreamEnd::kUnreachable && in_time);
  }

 private:
  UpstreamPool& pool_;
  const Millis started_;
  loop::StreamPtr stream_;
};

UpstreamPool::UpstreamPool(boost::asio::io_context& io, loop::Timers& timers,
                           const Dialect& dialect,
                           const UpstreamPoolOptions& options,
                           UpstreamPoolEvents& events)
    : io_(io),
      timers_(timers),
      dialect_(dialect),
      options_(options),
      events_(events),
      sweep_(timers) {}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::SetAddress(const std::string& address) {
  auto endpoint = loop::ParseEndpoint(address);
  if (endpoint == endpoint_) return;
  endpoint_ = endpoint;
  CloseIdle();
}

// Prefers the most recently used connection, so that surplus ones reach their
// idle limit and are closed.
UpstreamPool::Connection* UpstreamPool::TakeIdle(bool recent) {
  Connection* best = nullptr;
  for (Connection& connection : connections_) {
    if (connection.busy() || !connection.reusable()) continue;
    Millis idle = timers_.Now() - connection.idle_since();
    Millis limit = connection.idle_limit();
    if (recent) limit = std::min(limit, options_.non_idempotent_idle);
    if (idle > limit) continue;
    if (best == nullptr || connection.idle_since() > best->idle_since()) {
      best = &connection;
    }
  }
  return best;
}

void UpstreamPool::Send(uint64_t exchange, const http::Request& request,
                        const std::string& request_id, bool idempotent) {
  Connection* connection = TakeIdle(/*recent=*/!idempotent);
  if (connection == nullptr) {
    if (connections_.size() >= options_.connections) CloseIdle();
    if (connections_.size() >= options_.connections) {
      events_.OnUpstreamEnd(exchange, EndKind::kUnreachable, {}, {});
      return;
    }
    connection = &connections_.emplace_back(*this);
    connection->Dial();
    ++dialed_;
  }
  busy_[exchange] = connection;
  connection->Send(exchange, request, request_id);
}

UpstreamPool::Connection* UpstreamPool::Find(uint64_t exchange) const {
  auto it = busy_.find(exchange);
  return it == busy_.end() ? nullptr : it->second;
}

void UpstreamPool::SendBody(uint64_t exchange, std::string_view bytes,
                            bool last) {
  if (Connection* c = Find(exchange)) c->SendBody(bytes, last);
}

size_t UpstreamPool::unwritten(uint64_t exchange) const {
  const Connection* c = Find(exchange);
  return c == nullptr ? 0 : c->unwritten();
}

void UpstreamPool::PauseBody(uint64_t exchange) {
  if (Connection* c = Find(exchange)) c->PauseBody();
}

void UpstreamPool::ResumeBody(uint64_t exchange) {
  if (Connection* c = Find(exchange)) c->ResumeBody();
}

void UpstreamPool::Cancel(uint64_t exchange) {
  auto it = busy_.find(exchange);
  if (it == busy_.end()) return;
  Connection* connection = it->second;
  busy_.erase(it);
  Erase(*connection);
}

void UpstreamPool::Probe() {
  if (prober_ == nullptr) prober_ = std::make_unique<Prober>(*this);
}

void UpstreamPool::OnProbed(bool refused) {
  // The prober is on the call stack, and the event may begin another probe.
  std::unique_ptr<Prober> ended = std::move(prober_);
  events_.OnUpstreamProbed(refused);
}

void UpstreamPool::OnEnd(Connection& connection, EndKind kind,
                         http::Response response,
                         const ResponseMetadata& metadata) {
  uint64_t exchange = connection.exchange();
  Release(connection);
  events_.OnUpstreamEnd(exchange, kind, std::move(response), metadata);
}

void UpstreamPool::OnBodyEnd(Connection& connection, std::string bytes,
                             BodyEnd end) {
  uint64_t exchange = connection.exchange();
  Release(connection);
  events_.OnUpstreamBody(exchange, std::move(bytes), end);
}

void UpstreamPool::Release(Connection& connection) {
  busy_.erase(connection.exchange());
  if (!connection.reusable()) {
    Erase(connection);
  } else if (!sweep_.pending()) {
    sweep_.Start(kIdleCheckInterval, [this] { SweepIdle(); });
  }
}

void UpstreamPool::SweepIdle() {
  Millis now = timers_.Now();
  bool idle = false;
  for (auto it = connections_.begin(); it != connections_.end();) {
    bool expired = !it->busy() && now - it->idle_since() > it->idle_limit();
    idle = idle || (!it->busy() && !expired);
    it = expired ? connections_.erase(it) : std::next(it);
  }
  if (idle) sweep_.Start(kIdleCheckInterval, [this] { SweepIdle(); });
}

void UpstreamPool::CloseIdle() {
  connections_.remove_if([](const Connection& c) { return !c.busy(); });
}

void UpstreamPool::Erase(Connection& connection) {
  connections_.remove_if(
      [&connection](const Connection& c) { return &c == &connection; });
}

}  // namespace almondwind::sidecar
