// The process around one node: its sockets, worker threads and graceful
// shutdown.
#ifndef ALMONDWIND_NODE_PROCESS_H_
#define ALMONDWIND_NODE_PROCESS_H_

#include "almondwind/node/settings.h"

namespace almondwind::node {

// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully: it
// accepts no new work, notifies its peers, finishes the work in progress and
// closes callers' connections after their answers. Returns the exit code of the
// process: 0 after a complete shutdown, 1 if settings.stop_limit_ms ended it
// with work still in progress.
int RunNode(const Settings& settings);

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_PROCESS_H_
