// The process around one node: its sockets, its workers and its stop.
#ifndef ALMONDWIND_NODE_PROCESS_H_
#define ALMONDWIND_NODE_PROCESS_H_

#include "almondwind/node/settings.h"

namespace almondwind::node {

// Runs a node until SIGTERM or SIGINT. Then it takes no new work, tells its
// peers, finishes what is in progress and closes callers' connections after
// their answers. Returns the process's exit code: 0 after a whole stop, 1 if
// settings.stop_limit_ms cut it short.
int RunNode(const Settings& settings);

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_PROCESS_H_
