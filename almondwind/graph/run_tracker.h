// Which calls the runs of one upstream make, learned from what it sends.
//
// An upstream's own calls name no parent, but they end no later than it: a call
// carries what is left of its parent's deadline, or less if the call has a
// limit of its own. So
//   - a request that would outlive every run in progress is no call of these
//     (an orphan); a route whose requests are hardly ever orphans, on any node,
//     is a called route, and one with many is a route of clients;
//   - a call belongs to a run that outlives it: most likely to one with the
//     same deadline, and of a route that often makes such calls.
// How many calls a route makes is not taken from this assignment, which errs
// with many runs at a time, but from CallRates.
//
//   tracker.Start(run, "browse", critical, deadline, now);
//   Match match = tracker.Find("lookup", deadline);   // of a request
//   if (!match.orphan) tracker.Count(match, "lookup", now);
//   tracker.End(run, completed, took, now);
//
// Bounds: kMaxRoutes routes; beyond it new ones are not learned. Cost: a
// look-up in an ordered map of the runs. Not thread-safe.
#ifndef ALMONDWIND_GRAPH_RUN_TRACKER_H_
#define ALMONDWIND_GRAPH_RUN_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/graph/call_rates.h"
#include "almondwind/peers/frames.h"

namespace almondwind::graph {

struct RunTrackerOptions {
  // How much earlier or later than its parent's a call's deadline may be: both
  // are rounded to 1 ms, and the request waits some ms to be read.
  base::Millis early{2};
  base::Millis late{8};
  double smoothing = 0.05;  // weight of the newest run
};

// What a request may belong to.
struct Match {
  bool orphan = true;  // outlives every run in progress
  uint64_t run = 0;    // the likeliest parent; 0: none
  base::RequestClass cls = base::RequestClass::kNormal;  // of the parent
};

class RunTracker {
 public:
  explicit RunTracker(const RunTrackerOptions& options) : options_(options) {}

  void Start(uint64_t run, const std::string& route, base::RequestClass cls,
             base::Millis deadline, base::Millis now);
  // `completed`: the upstream answered with success after `took` in its slot.
  void End(uint64_t run, bool completed, base::Millis took, base::Millis now);
  // The run that a request of `route` may be a call of.
  Match Find(const std::string& route, base::Millis deadline) const;
  // The request is a call of `match`.
  void Count(const Match& match, const std::string& route, base::Millis now);

  // What the runs of each route cost, for the peers.
  std::vector<peers::RouteCost> Costs(base::Millis now);

 private:
  static constexpr size_t kMaxRoutes = 256;

  struct Run {
    std::string route;
    base::RequestClass cls;
    base::Millis deadline;
    std::map<std::string, int> calls;
  };
  struct RouteStats {
    double slot_ms = 0;
    double runs = 0;  // decayed, over kRateWindow
    base::Millis counted{0};
    int samples = 0;
  };

  static double Decayed(const RouteStats& stats, base::Millis now);

  const RunTrackerOptions options_;
  std::unordered_map<uint64_t, Run> runs_;
  std::multimap<int64_t, uint64_t> by_deadline_;  // ms, run
  std::map<std::string, RouteStats> stats_;
  CallRates rates_{CallRatesOptions()};
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_RUN_TRACKER_H_
