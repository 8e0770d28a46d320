#include "almondwind/node/process.h"

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "almondwind/links/mesh.h"
#include "almondwind/node/caller_server.h"
#include "almondwind/node/control_socket.h"
#include "almondwind/node/health_poll.h"
#include "almondwind/node/json_log.h"
#include "almondwind/node/node.h"
#include "almondwind/node/operators.h"
#include "almondwind/node/platform_client.h"
#include "almondwind/node/upstream_client.h"

namespace almondwind::node {
namespace {

namespace net = boost::asio;
using base::Millis;
using boost::system::error_code;

constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::chrono::milliseconds kStopPollInterval{20};
constexpr std::chrono::milliseconds kFlushDelay{50};

NodeOptions OptionsFrom(const Settings& s) {
  NodeOptions o;
  o.host = s.host;
  o.zone = s.zone;
  o.region = s.region;
  o.server.host = s.host;
  o.server.service = s.service;
  o.server.slots = static_cast<int>(s.slots);
  o.server.connections = static_cast<int>(s.connections);
  o.server.runs = static_cast<size_t>(s.calls);
  o.server.ledger.max_contracts = static_cast<size_t>(s.contracts);
  o.router.calls = static_cast<size_t>(s.calls);
  o.directory.host = s.host;
  o.directory.zone = s.zone;
  o.directory.region = s.region;
  o.directory.subset = static_cast<size_t>(s.subset);
  o.directory.other_zones = o.directory.subset / 3;
  o.relay.host = s.host;
  o.relay.zone = s.zone;
  o.relay.control = s.control;
  o.relay.seeds = s.seeds;
  return o;
}

links::MeshOptions MeshOptionsFrom(const Settings& s) {
  links::MeshOptions o;
  o.host = s.host;
  o.zone = s.zone;
  o.listen = s.links;
  // A frame contains one body and the other fields of its message.
  constexpr int64_t kFieldBytes = 64 << 10;
  o.max_frame_bytes =
      static_cast<size_t>(std::max(s.body_bytes, s.answer_bytes) + kFieldBytes);
  return o;
}

CallerServerOptions CallerOptionsFrom(const Settings& s) {
  CallerServerOptions o;
  o.listen = s.callers;
  o.body_bytes = static_cast<size_t>(s.body_bytes);
  o.connections = static_cast<size_t>(s.caller_connections);
  return o;
}

UpstreamClientOptions UpstreamOptionsFrom(const Settings& s) {
  UpstreamClientOptions o;
  // A node without an upstream only routes and starts no run, so the address is
  // never connected to.
  o.address = s.upstream.empty() ? "127.0.0.1:1" : s.upstream;
  o.http.connections = static_cast<int>(s.connections);
  o.http.answer_bytes = static_cast<size_t>(s.answer_bytes);
  return o;
}

class Process {
 public:
  explicit Process(const Settings& settings);
  int Run();

 private:
  void ScheduleTick();
  void BeginStop();
  void PollStop();
  void EndStop(int code);

  const Settings settings_;
  base::SteadyClock clock_;
  base::SystemEntropy entropy_;
  JsonLog log_;
  net::io_context io_;
  net::executor_work_guard<net::io_context::executor_type> work_;
  links::Mesh mesh_;
  UpstreamClient upstream_;
  CallerServer callers_;
  ControlSocket control_;
  Node node_;
  PlatformClient platform_;
  HealthPoll health_;
  OperatorServer operators_;
  net::steady_timer tick_;
  net::steady_timer stop_poll_;
  Millis stop_began_{0};
  int exit_code_ = 0;
};

Process::Process(const Settings& s)
    : settings_(s),
      log_(JsonLogOptions{s.host, s.log_level}),
      work_(io_.get_executor()),
      mesh_(io_, MeshOptionsFrom(s), clock_),
      upstream_(io_, UpstreamOptionsFrom(s)),
      callers_(io_, CallerOptionsFrom(s)),
      control_(ControlSocketOptions{s.control}),
      node_(OptionsFrom(s), clock_, entropy_, mesh_, upstream_, callers_,
            control_, log_),
      platform_(PlatformClientOptions{s.platform}),
      health_(HealthPollOptions{s.upstream, s.health}),
      operators_(s.operators, node_, log_),
      tick_(io_),
      stop_poll_(io_) {
  mesh_.SetNode(node_);
  upstream_.SetNode(node_);
  callers_.SetNode(node_);
}

void Process::ScheduleTick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](error_code ec) {
    if (ec) return;
    node_.Tick();
    ScheduleTick();
  });
}

void Process::BeginStop() {
  if (stop_began_ != Millis(0)) return;
  stop_began_ = clock_.Now();
  log_.Event("stop_begins", settings_.host);
  node_.SetLeaving(LeaveCause::kStop, true);
  callers_.CloseAfterAnswers();
  PollStop();
}

// Keeps serving until nothing is in progress, and at least for stop_linger_ms,
// in which callers on keep-alive connections learn from the answer to one more
// request that the connection closes.
void Process::PollStop() {
  Millis gone = clock_.Now() - stop_began_;
  bool lingered = gone >= Millis(settings_.stop_linger_ms);
  bool late = gone >= Millis(settings_.stop_limit_ms);
  if (lingered) {
    callers_.StopAccepting();
    callers_.CloseIdle();
  }
  // The count can grow until the server has stopped accepting.
  bool closed =
      callers_.stopped_accepting() && callers_.connection_count() == 0;
  if ((closed && node_.idle()) || late) {
    return EndStop(node_.idle() ? 0 : 1);
  }
  stop_poll_.expires_after(kStopPollInterval);
  stop_poll_.async_wait([this](error_code ec) {
    if (!ec) PollStop();
  });
}

void Process::EndStop(int code) {
  exit_code_ = code;
  log_.Event("stopped", settings_.host);
  // Leaves time to send the last answers that are still queued on links.
  stop_poll_.expires_after(kFlushDelay);
  stop_poll_.async_wait([this](error_code) { io_.stop(); });
}

int Process::Run() {
  mesh_.Listen();
  control_.Start(node_);
  operators_.Listen();
  platform_.Start(node_);
  health_.Start(node_);
  callers_.Listen();
  net::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](error_code ec, int) {
    if (!ec) BeginStop();
  });
  ScheduleTick();
  log_.Event("started", settings_.host);
  std::vector<std::thread> workers;
  for (int64_t i = 1; i < settings_.workers; ++i) {
    workers.emplace_back([this] { io_.run(); });
  }
  io_.run();
  for (std::thread& worker : workers) worker.join();
  health_.Close();
  platform_.Close();
  control_.Close();
  operators_.Close();
  return exit_code_;
}

}  // namespace

int RunNode(const Settings& settings) { return Process(settings).Run(); }

}  // namespace almondwind::node
