// `almondwind trace`: the story of one request from the logs of nodes.
#ifndef ALMONDWIND_CLI_TRACE_H_
#define ALMONDWIND_CLI_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace almondwind::cli {

struct TraceOptions {
  std::string id;                  // of the request
  std::vector<std::string> files;  // empty: standard input
  // Beside the request's own lines: what the nodes that it met believed, said
  // within so many ms before its first line.
  int context_ms = 2000;
};

// Prints the lines of the request in the order of their times, each with its
// node, and what its nodes had said of peers, store, configuration and
// admission shortly before. Clocks of nodes are not compared: lines of two
// nodes may be out of order by their difference. Returns 0 if there was a line,
// else 1. Throws std::runtime_error if a file cannot be read.
int RunTrace(const TraceOptions& options, std::istream& in, std::ostream& out);

}  // namespace almondwind::cli

#endif  // ALMONDWIND_CLI_TRACE_H_
