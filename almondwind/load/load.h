// `almondwind load`: sends a mix of requests to nodes, or straight to
// upstreams, checks each answer and reports the results.
//
// Arrivals are open-loop (Poisson), so that a slow system gets the same demand
// as a fast one. Callers retry as the mix configures. Runs on one thread.
#ifndef ALMONDWIND_LOAD_LOAD_H_
#define ALMONDWIND_LOAD_LOAD_H_

#include <string>

namespace CLI {
class App;
}  // namespace CLI

namespace almondwind::load {

struct LoadOptions {
  std::string mix;
  std::string nodes;  // folder of the nodes' settings files
  std::string admin;  // IP:PORT of the stand-ins; empty: none
  std::string label = "load";
  std::string json;     // file; empty: none
  std::string series;   // file; empty: none
  double seconds = 0;   // 0: as in the mix
  double rate = 0;      // 0: as in the mix
  bool direct = false;  // straight to upstreams, without nodes
  uint64_t seed = 1;
};

void AddOptions(CLI::App& app, LoadOptions& options);

// Runs the load and prints a summary. Returns 1 if an order ran more than once,
// ran although it was reported as not run, or an answer was malformed;
// otherwise returns 0.
int RunLoad(const LoadOptions& options);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_LOAD_H_
