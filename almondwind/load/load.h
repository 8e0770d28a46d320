// `almondwind load`: offers a mix to nodes, or straight to upstreams, checks
// each answer, and reports.
//
// Arrivals are open-loop (Poisson), so that a slow system meets the same
// demand as a quick one. Each caller repeats as the mix says. One thread.
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
  std::string admin;  // of the stand-ins; empty: none
  std::string label = "load";
  std::string json;     // file; empty: none
  std::string series;   // file; empty: none
  double seconds = 0;   // 0: the mix's
  double rate = 0;      // 0: the mix's
  bool direct = false;  // straight to upstreams, as the users do today
  uint64_t seed = 1;
};

void AddOptions(CLI::App& app, LoadOptions& options);

// Returns 0, or 1 if an order ran twice or an answer was broken.
int RunLoad(const LoadOptions& options);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_LOAD_H_
