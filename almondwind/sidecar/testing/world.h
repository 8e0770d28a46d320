// Test environment for sidecar nodes: an in-memory platform, and upstreams and
// callers on loopback sockets, all on one event loop.
#ifndef ALMONDWIND_SIDECAR_TESTING_WORLD_H_
#define ALMONDWIND_SIDECAR_TESTING_WORLD_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "almondwind/http/reader.h"
#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/testing/relay.h"
#include "almondwind/sidecar/node.h"

namespace almondwind::sidecar::testing {

// Uses the header fields Id, Patience, Upstream, From, Seal, Not-Run,
// Rate and Leaving.
class TestDialect : public Dialect {
 public:
  CallerMetadata ReadCaller(const http::Headers& headers) const override;
  void RemoveSystemFields(http::Headers& headers) const override;
  void WriteUpstream(const UpstreamMetadata& metadata,
                     http::Headers& headers) const override;
  ResponseMetadata ReadAnswer(const http::Response& response) const override;
  void WriteRetryAfter(base::Millis delay,
                       http::Headers& headers) const override;
  std::vector<std::string> CommonNames() const override { return {"Host"}; }
};

// A document is "VERSION SERVICE TIMEOUT_MS KIND ATTEMPTS" and defines one
// route for all paths of host "h". KIND "safe" makes it idempotent.
class TestConfig : public ConfigFormat {
 public:
  routes::RouteTablePtr Parse(const std::string& document) const override;
};

class TestFeed : public Feed {
 public:
  void Start(FeedEvents& events) override { this->events = &events; }
  void Watch(fleet::WatchMode mode, const fleet::Revision&) override {
    this->mode = mode;
  }
  void Stop() override { events = nullptr; }
  FeedEvents* events = nullptr;
  fleet::WatchMode mode = fleet::WatchMode::kShort;
};

class TestSettings : public SettingsSource {
 public:
  Settings settings;
  Settings Read() override { return settings; }
  bool Changed() override { return false; }
};

// How a TestUpstream responds to one request.
struct ScriptedResponse {
  std::string answer;  // raw bytes; {id} is replaced by the request's id
  bool close = false;  // close the connection after the answer
  int64_t delay_ms = 0;
  std::string endless = {};  // repeated after the answer until the node closes
  std::string then = {};     // written some time after the answer
  int64_t then_delay_ms = 0;
};

// An upstream that follows `script` in order (the last entry repeats) and
// records the requests it receives.
class TestUpstream {
 public:
  TestUpstream(boost::asio::io_context& io, loop::Timers& timers,
               const std::string& address);
  ~TestUpstream();

  const std::string& address() const { return address_; }
  std::deque<ScriptedResponse> script;
  std::vector<http::Request> seen;
  // Numbers of connections.
  int ended_while_running = 0;  // ended while a request was running
  int opened = 0;
  int ended = 0;
  bool stalled = false;        // does not read
  bool answers_early = false;  // answers before the request is complete
  // Answer to GET /health, which is neither in `script` nor in `seen`.
  std::string health = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  int probes = 0;  // of that page
  // Requests for this target crash the upstream, which is back after
  // `restart_time`: its connections are reset and new ones refused.
  std::string crash_target;
  base::Millis restart_time{300};
  int crashes = 0;
  void Crash();
  // Bytes of its answers that wait to be written.
  size_t unwritten() const;

 private:
  class Connection;

  void Listen();

  boost::asio::io_context& io_;
  loop::Timers& timers_;
  const std::string address_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unique_ptr<loop::Acceptor> acceptor_;  // null while it is down
  loop::Timer crash_{timers_};
  loop::Timer restart_{timers_};
};

// A caller with one connection.
class TestCaller : public loop::StreamEvents {
 public:
  TestCaller(boost::asio::io_context& io, loop::Timers& timers,
             const std::string& address);
  ~TestCaller() override;

  void Send(const std::string& bytes) { stream_->Write(bytes); }
  void Close() { stream_->Close(); }
  void Pause() { stream_->PauseReading(); }
  void Resume() { stream_->ResumeReading(); }
  size_t unwritten() const { return stream_->unwritten(); }
  void OnData(std::string_view data) override;
  void OnEnd(loop::StreamEnd) override { ended = true; }

  std::vector<http::Response> answers;
  bool ended = false;
  size_t keep_bytes = SIZE_MAX;  // bytes after these are dropped

 private:
  loop::StreamPtr stream_;
  http::ResponseReader reader_;
  size_t received_ = 0;
};

// Several nodes, each with an upstream of the same service.
class World {
 public:
  // Uses ports from `first_port` on. Node i is in zone "z<i % zones>". With
  // `relayed`, the links to node i pass relays[i].
  World(int nodes, int first_port, int zones = 1, bool relayed = false);
  ~World();

  // Runs the event loop until `done` returns true, at most for `limit`. Returns
  // whether `done` did.
  bool Until(const std::function<bool()>& done,
             base::Millis limit = base::Millis(5000));
  void Run(base::Millis span);
  // Gives node `i` the configuration and the list of all upstreams.
  void Publish(int i, const std::string& document);
  std::vector<fleet::Upstream> List() const;
  std::unique_ptr<TestCaller> Call(int node);
  std::string callers(int i) const;
  // Ends node `i` without a planned stop and starts a new process in its place,
  // which knows nothing.
  void RestartNode(size_t i);

  boost::asio::io_context io;
  base::SteadyClock clock;
  loop::Timers timers{io, clock};
  TestDialect dialect;
  TestConfig config;
  EventLog log;
  std::vector<std::unique_ptr<TestFeed>> feeds;
  std::vector<std::unique_ptr<TestSettings>> settings;
  std::vector<std::unique_ptr<TestUpstream>> upstreams;
  std::vector<std::unique_ptr<loop::testing::Relay>> relays;
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  void StartNode(size_t i);

  uint64_t next_incarnation_ = 100;
};

// Requests with the given id; `timeout_ms` is sent as the caller's timeout.
std::string Get(const std::string& id, int timeout_ms = 2000);
std::string Post(const std::string& id, const std::string& body);

}  // namespace almondwind::sidecar::testing

#endif  // ALMONDWIND_SIDECAR_TESTING_WORLD_H_
