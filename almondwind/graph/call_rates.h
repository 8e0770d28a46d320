// How often runs of each route make calls, from counts alone.
//
// In every short window the number of calls of a route is, but for chance, the
// sum over the running routes of a rate times the time that their runs were in
// progress. Over many windows the rates follow by least squares, none below
// zero; old windows fade. No call needs to be assigned to a run for this.
//
//   rates.Start("survey", now);  rates.Call("rates", now);
//   rates.End("survey", now);
//   rates.Solve(now);
//   double calls_per_ms = rates.PerMs("survey", "rates");
//
// Bounds: kMaxRoutes running and kMaxCalled called routes; others are not
// counted. Cost: an event is a map operation and, once a window, linear in the
// products of the routes; Solve a few sweeps over these. Not thread-safe.
#ifndef ALMONDWIND_GRAPH_CALL_RATES_H_
#define ALMONDWIND_GRAPH_CALL_RATES_H_

#include <map>
#include <string>
#include <utility>

#include "almondwind/base/clock.h"

namespace almondwind::graph {

struct CallRatesOptions {
  // Long against the time between events, short against that of a run.
  base::Millis window{100};
  // Time over which windows fade. Routes change with the configuration, and
  // a few hundred windows are enough to tell them apart.
  base::Millis memory{12'000};
};

class CallRates {
 public:
  explicit CallRates(const CallRatesOptions& options) : options_(options) {}

  void Start(const std::string& route, base::Millis now);
  void End(const std::string& route, base::Millis now);
  void Call(const std::string& callee, base::Millis now);
  // Computes the rates from what has been counted.
  void Solve(base::Millis now);
  // Calls of `callee` in 1 ms of one run of `route`.
  double PerMs(const std::string& route, const std::string& callee) const;
  // Called routes and their rates, by running route.
  const std::map<std::string, std::map<std::string, double>>& rates() const {
    return rates_;
  }

 private:
  static constexpr size_t kMaxRoutes = 24;
  static constexpr size_t kMaxCalled = 64;
  using Pair = std::pair<std::string, std::string>;

  struct Running {
    int runs = 0;
    base::Millis since{0};  // of the last change
    double run_ms = 0;      // in the window in progress
  };

  void Advance(base::Millis now);
  void Integrate(base::Millis now);
  void CloseWindow(base::Millis now);
  void Fade(double factor);

  const CallRatesOptions options_;
  std::map<std::string, Running> running_;
  std::map<std::string, double> calls_;  // in the window in progress
  base::Millis window_start_{0};
  std::map<Pair, double> products_;  // of run times of two routes
  std::map<std::string, std::map<std::string, double>> sums_;  // calls x time
  std::map<std::string, std::map<std::string, double>> rates_;
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_CALL_RATES_H_
