#include "almondwind/sidecar/testing/world.h"

#include <sstream>
#include <utility>

#include "almondwind/loop/endpoint.h"

namespace almondwind::sidecar::testing {

using base::Millis;

CallerMetadata TestDialect::ReadCaller(const http::Headers& headers) const {
  CallerMetadata metadata;
  if (const std::string* id = headers.Find("Id")) metadata.request_id = *id;
  if (const std::string* patience = headers.Find("Patience")) {
    metadata.timeout = Millis(std::stoi(*patience));
  }
  return metadata;
}

void TestDialect::RemoveSystemFields(http::Headers& headers) const {
  for (const char* name : {"Patience", "Upstream", "From"}) {
    headers.Remove(name);
  }
}

void TestDialect::WriteUpstream(const UpstreamMetadata& metadata,
                                http::Headers& headers) const {
  headers.Add("Patience", std::to_string(metadata.time_left.count()));
  headers.Add("Upstream", metadata.upstream);
  headers.Add("From", metadata.caller_service);
}

ResponseMetadata TestDialect::ReadAnswer(const http::Response& response) const {
  ResponseMetadata metadata;
  if (const std::string* id = response.headers.Find("Id")) {
    metadata.request_id = *id;
  }
  metadata.sealed = response.headers.Find("Seal") != nullptr;
  metadata.not_run = response.headers.Find("Not-Run") != nullptr;
  metadata.leaving = response.headers.Find("Leaving") != nullptr;
  if (const std::string* upstream = response.headers.Find("Upstream")) {
    metadata.upstream = *upstream;
  }
  if (const std::string* rate = response.headers.Find("Rate")) {
    metadata.rate = std::stod(*rate);
  }
  return metadata;
}

void TestDialect::WriteRetryAfter(Millis delay, http::Headers& headers) const {
  headers.Add("Retry-After", std::to_string(delay.count()));
}

routes::RouteTablePtr TestConfig::Parse(const std::string& document) const {
  std::istringstream in(document);
  uint64_t version = 0;
  int64_t timeout_ms = 0;
  std::string kind;
  routes::Route route;
  routes::Destination part;
  in >> version >> part.service >> timeout_ms >> kind >> route.max_attempts;
  if (!in) throw base::Error(base::Reason::kMalformed, "no test document");
  route.name = "all";
  route.host = "h";
  route.prefix = "/";
  route.timeout = Millis(timeout_ms);
  route.target_latency = Millis(timeout_ms);
  route.idempotent = kind == "safe";
  route.destinations = {part};
  return routes::RouteTable::Build(version, {route},
                                   {{part.service, "/health", 0}}, {});
}

// ---- Upstream.

class TestUpstream::Connection : public loop::StreamEvents {
 public:
  Connection(TestUpstream& upstream, boost::asio::ip::tcp::socket socket)
      : upstream_(upstream), reader_({}), delay_(upstream.timers_) {
    ++upstream_.opened;
    stream_ =
        loop::Stream::Adopt(upstream.timers_, std::move(socket), {}, *this);
    if (upstream.stalled) stream_->PauseReading();
  }
  size_t unwritten() const { return stream_->unwritten(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() override { stream_->Close(); }

  void OnData(std::string_view data) override {
    if (upstream_.answers_early) {
      stream_->Write(upstream_.script.front().answer);
      return;
    }
    reader_.Feed(data);
    if (reader_.Next() != http::ReadState::kComplete) return;
    http::Request request = reader_.Take();
    if (request.target == "/health") {
      ++upstream_.probes;
      return stream_->Write(upstream_.health);
    }
    const std::string* id = request.headers.Find("Id");
    std::string name = id == nullptr ? "" : *id;
    bool crashes = request.target == upstream_.crash_target;
    upstream_.seen.push_back(std::move(request));
    if (crashes) {
      constexpr Millis kTimeToCrash{30};
      return upstream_.crash_.Start(kTimeToCrash,
                                    [this] { upstream_.Crash(); });
    }
    ScriptedResponse response = upstream_.script.front();
    if (upstream_.script.size() > 1) upstream_.script.pop_front();
    size_t at = response.answer.find("{id}");
    if (at != std::string::npos) response.answer.replace(at, 4, name);
    running_ = true;
    delay_.Start(Millis(response.delay_ms), [this, response] {
      running_ = false;
      stream_->Write(response.answer);
      if (response.close) stream_->CloseAfterWrites();
      if (!response.then.empty()) {
        delay_.Start(Millis(response.then_delay_ms),
                     [this, response] { stream_->Write(response.then); });
        return;
      }
      endless_ = response.endless;
      if (!endless_.empty()) WriteEndless();
    });
  }

  void OnDrained() override {
    if (!endless_.empty()) WriteEndless();
  }

  void OnEnd(loop::StreamEnd) override {
    if (running_) ++upstream_.ended_while_running;
    ++upstream_.ended;
    delay_.Stop();
    upstream_.connections_.erase(this);
  }

 private:
  // Writes as fast as the node reads, with a turn of the loop in between.
  void WriteEndless() {
    stream_->Write(endless_);
    if (stream_->unwritten() > 0) return;  // OnDrained goes on
    delay_.Start(Millis(0), [this] { WriteEndless(); });
  }

  TestUpstream& upstream_;
  loop::StreamPtr stream_;
  http::RequestReader reader_;
  loop::Timer delay_;
  bool running_ = false;
  std::string endless_;
};

TestUpstream::TestUpstream(boost::asio::io_context& io, loop::Timers& timers,
                           const std::string& address)
    : io_(io), timers_(timers), address_(address) {
  Listen();
}

TestUpstream::~TestUpstream() = default;

void TestUpstream::Listen() {
  acceptor_ = std::make_unique<loop::Acceptor>(
      io_, timers_, address_, [this](boost::asio::ip::tcp::socket socket) {
        auto owned = std::make_unique<Connection>(*this, std::move(socket));
        Connection* connection = owned.get();
        connections_[connection] = std::move(owned);
      });
}

void TestUpstream::Crash() {
  if (acceptor_ == nullptr) return;
  ++crashes;
  acceptor_.reset();
  connections_.clear();
  restart_.Start(restart_time, [this] { Listen(); });
}

size_t TestUpstream::unwritten() const {
  size_t sum = 0;
  for (const auto& [connection, owned] : connections_) {
    sum += connection->unwritten();
  }
  return sum;
}

// ---- Caller.

TestCaller::TestCaller(boost::asio::io_context& io, loop::Timers& timers,
                       const std::string& address)
    : reader_({}) {
  stream_ =
      loop::Stream::Dial(io, timers, loop::ParseEndpoint(address), {}, *this);
}

TestCaller::~TestCaller() { stream_->Close(); }

void TestCaller::OnData(std::string_view data) {
  received_ += data.size();
  if (received_ > keep_bytes) return;
  reader_.Feed(data);
  while (reader_.Next(false) == http::ReadState::kComplete) {
    answers.push_back(reader_.Take());
  }
}

// ---- World.

namespace {
EventLogOptions NoLogLines() {
  EventLogOptions options;
  options.node = "test";
  options.lines_per_second = 0;
  options.sampled_per_second = 0;
  return options;
}

// Each node has its own address of the loopback network, because the address of
// an upstream also names the host on which its node accepts links.
std::string Ip(int i) { return "127.0.0." + std::to_string(i + 1); }
}  // namespace

World::World(int count, int first_port, int zones, bool relayed)
    : log(NoLogLines(), timers) {
  for (int i = 0; i < count; ++i) {
    int base = first_port + 10 * i;
    upstreams.push_back(std::make_unique<TestUpstream>(
        io, timers, Ip(i) + ":" + std::to_string(base)));
    upstreams.back()->script = {
        {"HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: "
         "2\r\n\r\nok",
         false, 0}};
    auto source = std::make_unique<TestSettings>();
    Settings& s = source->settings;
    s.node = "n" + std::to_string(i);
    s.zone = "z" + std::to_string(i % zones);
    s.region = "r";
    s.service = "s";
    s.upstream = upstreams.back()->address();
    s.callers = "127.0.0.1:" + std::to_string(base + 1);
    s.ready = "127.0.0.1:" + std::to_string(base + 2);
    s.metrics = "127.0.0.1:" + std::to_string(base + 3);
    s.peer_port = static_cast<uint16_t>(first_port + 9);
    s.links = Ip(i) + ":" + std::to_string(s.peer_port);
    if (relayed) {
      s.bind_links = "127.0.1." + std::to_string(i + 1) + ":" +
                     std::to_string(s.peer_port);
      relays.push_back(std::make_unique<loop::testing::Relay>(
          io, timers, s.links, s.bind_links));
    }
    s.max_descriptors = 256;
    s.stop_grace = Millis(6000);
    settings.push_back(std::move(source));
    feeds.emplace_back();
    nodes.emplace_back();
    StartNode(static_cast<size_t>(i));
  }
}

void World::StartNode(size_t i) {
  feeds[i] = std::make_unique<TestFeed>();
  Environment environment{*settings[i], dialect, config, *feeds[i]};
  nodes[i] = std::make_unique<Node>(io, timers, settings[i]->settings,
                                    environment, next_incarnation_++, log);
  nodes[i]->Start();
}

void World::RestartNode(size_t i) {
  nodes[i].reset();
  StartNode(i);
}

World::~World() = default;

bool World::Until(const std::function<bool()>& done, Millis limit) {
  Millis end = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= end) return false;
    io.run_one_for(std::chrono::milliseconds(20));
    io.restart();
  }
  return true;
}

void World::Run(Millis span) {
  Until([] { return false; }, span);
}

std::vector<fleet::Upstream> World::List() const {
  std::vector<fleet::Upstream> list;
  for (size_t i = 0; i < nodes.size(); ++i) {
    const Settings& s = settings[i]->settings;
    fleet::Upstream upstream;
    upstream.id = "u" + std::to_string(i);
    upstream.service = s.service;
    upstream.address = s.upstream;
    upstream.zone = s.zone;
    upstream.slots = 5;  // of which the gate uses four
    upstream.started_at = 1;
    upstream.revision = {1, 2};
    list.push_back(upstream);
  }
  return list;
}

void World::Publish(int i, const std::string& document) {
  FeedEvents* events = feeds[static_cast<size_t>(i)]->events;
  events->OnConfig(document);
  events->OnUpstreams(List(), {1, 2});
}

std::string World::callers(int i) const {
  return settings[static_cast<size_t>(i)]->settings.callers;
}

std::unique_ptr<TestCaller> World::Call(int node) {
  return std::make_unique<TestCaller>(io, timers, callers(node));
}

std::string Get(const std::string& id, int timeout_ms) {
  return "GET /x HTTP/1.1\r\nHost: h\r\nId: " + id +
         "\r\nPatience: " + std::to_string(timeout_ms) + "\r\n\r\n";
}

std::string Post(const std::string& id, const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nId: " + id +
         "\r\nPatience: 2000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace almondwind::sidecar::testing
