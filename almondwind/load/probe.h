// `almondwind probe`: measures the latency that a network path adds to a
// request.
//
// Sends requests to several targets in rotation, so that all are subject to the
// same noise, and prints the percentiles of each target and their difference
// from the first. Uses sequential callers over keep-alive connections and sends
// a fixed number of requests.
#ifndef ALMONDWIND_LOAD_PROBE_H_
#define ALMONDWIND_LOAD_PROBE_H_

#include <string>
#include <vector>

namespace almondwind::load {

struct ProbeOptions {
  // "name=ip:port/path"; the first is the baseline.
  std::vector<std::string> targets;
  int requests = 5000;  // to each target, by each caller
  int pause_us = 2000;  // between requests, to stay well below capacity
  int callers = 1;      // above 1: measures calls per second without pauses
};

// Prints a line for each target. Returns 1 if a request failed, otherwise 0.
int RunProbe(const ProbeOptions& options);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_PROBE_H_
