// Runs a sidecar process: event loop, signals, start and shutdown.
#ifndef ALMONDWIND_SIDECAR_PROCESS_H_
#define ALMONDWIND_SIDECAR_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "almondwind/loop/timers.h"
#include "almondwind/sidecar/node.h"

namespace almondwind::sidecar {

// Runs a node until SIGTERM or SIGINT and its graceful shutdown; SIGHUP
// re-reads the settings. Returns 0 if all requests in progress had ended,
// otherwise 1. Throws if the settings are invalid or a port is taken.
int RunProcess(boost::asio::io_context& io, loop::Timers& timers,
               const Settings& settings, Environment environment);

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_PROCESS_H_
