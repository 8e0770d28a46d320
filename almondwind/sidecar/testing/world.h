// A small world for tests of sidecar nodes: their surroundings in memory, an
// upstream and callers on loopback sockets, all on one event loop.
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
#include "almondwind/sidecar/node.h"

namespace almondwind::sidecar::testing {

// Header fields of the tests: Id, Patience, Upstream, From, Seal, Not-Run.
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

// A document is "VERSION SERVICE TIMEOUT_MS KIND ATTEMPTS": one route for
// everything at host "h".
class TestConfig : public ConfigFormat {
 public:
  routes::RouteTablePtr Parse(const std::string& document) const override;
};

class TestFeed : public Feed {
 public:
  void Start(FeedEvents& events) override { this->events = &events; }
  void Stop() override { events = nullptr; }
  FeedEvents* events = nullptr;
};

class TestSettings : public SettingsSource {
 public:
  Settings settings;
  Settings Read() override { return settings; }
  bool Changed() override { return false; }
};

// What an upstream does with a request.
struct ScriptedResponse {
  std::string answer;  // raw bytes; {id} stands for the request's id
  bool close = false;  // after the answer
  int64_t delay_ms = 0;
};

// An upstream that plays acts in turn (the last one for ever) and keeps what
// it was asked.
class TestUpstream {
 public:
  TestUpstream(boost::asio::io_context& io, loop::Timers& timers,
               const std::string& address);
  ~TestUpstream();

  const std::string& address() const { return address_; }
  std::deque<ScriptedResponse> script;
  std::vector<http::Request> seen;
  int ended_while_running = 0;  // connections that ended while a request ran
  int opened = 0;
  int ended = 0;
  bool stalled = false;        // it reads nothing of what is sent
  bool answers_early = false;  // it answers before it has read a request
  // Bytes of its answers that the other side has not taken.
  size_t unwritten() const;

 private:
  class Connection;

  loop::Timers& timers_;
  const std::string address_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  loop::Acceptor acceptor_;
};

// One caller's connection.
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

 private:
  loop::StreamPtr stream_;
  http::ResponseReader reader_;
};

// Nodes with an upstream each, all of one service, that know each other.
class World {
 public:
  // Ports from `first_port` on are used. Node i is in zone "z<i % zones>".
  World(int nodes, int first_port, int zones = 1);
  ~World();

  // Runs the loop until `done`, at most `limit` of time; returns whether it
  // came to that.
  bool Until(const std::function<bool()>& done,
             base::Millis limit = base::Millis(5000));
  void Run(base::Millis span);
  // Gives node `i` the configuration and the list of all upstreams.
  void Publish(int i, const std::string& document);
  std::vector<fleet::Upstream> List() const;
  std::unique_ptr<TestCaller> Call(int node);
  std::string callers(int i) const;

  boost::asio::io_context io;
  base::SteadyClock clock;
  loop::Timers timers{io, clock};
  TestDialect dialect;
  TestConfig config;
  EventLog log;
  std::vector<std::unique_ptr<TestFeed>> feeds;
  std::vector<std::unique_ptr<TestSettings>> settings;
  std::vector<std::unique_ptr<TestUpstream>> upstreams;
  std::vector<std::unique_ptr<Node>> nodes;
};

// A request with the given id; `patience_ms` as its caller says it.
std::string Get(const std::string& id, int patience_ms = 2000);
std::string Post(const std::string& id, const std::string& body);

}  // namespace almondwind::sidecar::testing

#endif  // ALMONDWIND_SIDECAR_TESTING_WORLD_H_
