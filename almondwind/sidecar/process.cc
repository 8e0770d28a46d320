#include "almondwind/sidecar/process.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "almondwind/base/entropy.h"
#include "almondwind/sidecar/event_log.h"

namespace almondwind::sidecar {
namespace {

// Time for the last frames and log lines to be written before the process
// exits.
constexpr base::Millis kLastWrites{50};

// Runs the event loop. An exception ends only what its handler was doing: the
// streams close its connection, and all other requests go on.
void RunLoop(boost::asio::io_context& io, EventLog& log) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& e) {
      log.Write("unexpected_error", {{"why", e.what()}});
    }
  }
}

}  // namespace

int RunProcess(boost::asio::io_context& io, loop::Timers& timers,
               const Settings& settings, Environment environment) {
  // Writes to closed connections must fail with an error code, not a signal.
  std::signal(SIGPIPE, SIG_IGN);
  EventLogOptions log_options;
  log_options.node = settings.node;
  EventLog log(log_options, timers);
  base::SystemEntropy entropy;
  Node node(io, timers, settings, environment, entropy.Next(), log);
  int code = 0;
  loop::Timer end(timers);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait = [&] {
    signals.async_wait([&](boost::system::error_code ec, int signal) {
      if (ec) return;
      if (signal == SIGHUP) {
        node.Reload();
      } else {
        node.Stop([&](bool complete) {
          code = complete ? 0 : 1;
          end.Start(kLastWrites, [&io] { io.stop(); });
        });
      }
      wait();
    });
  };
  wait();
  node.Start();
  RunLoop(io, log);
  return code;
}

}  // namespace almondwind::sidecar
