// `almondwind probe`: time added to a request by the way it takes.
//
// Asks several addresses in turn, request by request, so that each meets the
// same noise, and prints the percentiles of each and their difference to the
// first. Sequential callers over kept-alive connections; bounded in count.
#ifndef ALMONDWIND_LOAD_PROBE_H_
#define ALMONDWIND_LOAD_PROBE_H_

#include <string>
#include <vector>

namespace almondwind::load {

struct ProbeOptions {
  // "name=ip:port/path"; the first is the base of the differences.
  std::vector<std::string> targets;
  int requests = 5000;  // of each way
  int pause_us = 2000;  // between two requests, to stay well below capacity
  int callers = 1;      // more than one: measures calls a second, no pause
};

// Prints a line for each way. Returns 0, or 1 if a request failed.
int RunProbe(const ProbeOptions& options);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_PROBE_H_
