// `almondwind trace`: collects the log lines of one request from the logs of
// several nodes.
#ifndef ALMONDWIND_CLI_TRACE_H_
#define ALMONDWIND_CLI_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace almondwind::cli {

struct TraceOptions {
  std::string id;                  // request id
  std::vector<std::string> files;  // empty: standard input
  // Also prints the state changes that the nodes on the request's path logged
  // from this long before its first line until its last.
  int context_ms = 2000;
};

// Prints the request's log lines ordered by timestamp, each with its node,
// together with the events about peers, store, configuration and admission that
// those nodes logged shortly before and during the request. Does not correct
// for clock skew: lines of two nodes may be out of order by the difference of
// their clocks. Returns 0 if the request has a line, otherwise 1. Throws
// std::runtime_error if a file cannot be read.
int RunTrace(const TraceOptions& options, std::istream& in, std::ostream& out);

}  // namespace almondwind::cli

#endif  // ALMONDWIND_CLI_TRACE_H_
