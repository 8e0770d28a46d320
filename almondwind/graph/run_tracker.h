// Which calls the runs of one upstream make, learned from what it sends.
//
// An upstream's own calls name no parent, but they end no later than it: a call
// carries what is left of its parent's deadline, or less if the call has a
// limit of its own. So
//   - a request that would outlive every run in progress is no call of these
//     (an orphan); a route whose requests are hardly ever orphans, on any node,
//     is a called route, and one with many is a route of clients;
//   - runs whose deadline a call has are likely its parents. How many are so by
//     chance shows a window beside it, in which no parent can be; what is left
//     says which routes make the calls, and in which proportion. The calls
//     without a parent's deadline are taken to divide in the same proportion.
//
//   tracker.Start(run, "browse", critical, deadline);
//   Match match = tracker.Find("lookup", deadline);   // of a request
//   if (!match.orphan) tracker.Count("lookup", deadline, now);
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
#include "almondwind/base/fading.h"
#include "almondwind/base/outcome.h"
#include "almondwind/peers/frames.h"

namespace almondwind::graph {

struct RunTrackerOptions {
  // How much earlier or later than its parent's a call's deadline may be: both
  // are rounded to 1 ms, and the request waits some ms to be read.
  base::Millis max_early{1};
  base::Millis max_late{3};
  // From the end of that window to the one beside it.
  base::Millis control_gap{25};
  double smoothing = 0.03;  // weight of the newest run in its route's time
  // The same for its calls, of which chance adds and takes some.
  double excess_smoothing = 0.006;
  // Time over which calls are counted.
  base::Millis decay_window{15'000};
  // Below this share of calls with a parent's deadline, routes cannot be told
  // apart, and all are taken to make the calls alike.
  double min_exact_share = 0.08;
  // Calls with the deadline of a run, on average, from which a route is taken
  // to make them; less may be chance.
  double min_excess = 0.12;
};

// What a request may belong to.
struct ParentMatch {
  bool orphan = true;  // outlives every run in progress
  uint64_t run = 0;    // the likeliest parent; 0: none
  base::RequestClass cls = base::RequestClass::kNormal;  // of the parent
};

class RunTracker {
 public:
  explicit RunTracker(const RunTrackerOptions& options) : options_(options) {}

  void Start(uint64_t run, const std::string& route, base::RequestClass cls,
             base::Millis deadline);
  // `completed`: the upstream answered with success after `took` in its slot.
  void End(uint64_t run, bool completed, base::Millis took, base::Millis now);
  // The run that a request of `route` may be a call of.
  ParentMatch FindParent(const std::string& route, base::Millis deadline) const;
  // A request of `route` is a call of one of the runs.
  void CountCall(const std::string& route, base::Millis deadline,
                 base::Millis now);

  // What the runs of each route cost, for the peers.
  std::vector<peers::RouteCost> Costs(base::Millis now) const;

 private:
  static constexpr size_t kMaxRoutes = 256;

  struct Run {
    std::string route;
    base::RequestClass cls;
    base::Millis deadline;
    // Calls with its deadline, less those beside it; by called route.
    std::map<std::string, int> excess;
  };
  struct Callee {
    base::DecayingCount calls;
    base::DecayingCount
        excess;  // of them, with the deadline of a run, less those by chance
  };
  // Means over runs of a route.
  struct Means {
    int samples = 0;
    double slot_ms = 0;
    std::map<std::string, double> excess;  // calls of a run, by called route
  };
  struct RouteStats {
    base::DecayingCount runs;
    Means completed;
    // A run that fails makes a part of its calls only. While none completes,
    // this part still says that the route makes them: without it, a route that
    // overload lets fail would seem to cost nothing and be let in for ever.
    Means failed;

    // The calls of `callee` by the larger of the two.
    double ExcessCalls(const std::string& callee) const;
  };

  // Adds `amount` to all runs with deadlines from `from` to `to`; returns how
  // many there are.
  int AddToRuns(const std::string& route, base::Millis from, base::Millis to,
                int amount);
  double CallsPerRun(const RouteStats& stats, const std::string& callee,
                     double runs, base::Millis now) const;
  void UpdateMeans(Means& means, const Run& run, base::Millis took) const;

  const RunTrackerOptions options_;
  std::unordered_map<uint64_t, Run> runs_;
  std::multimap<int64_t, uint64_t> by_deadline_;  // ms, run
  std::map<std::string, RouteStats> stats_;
  std::map<std::string, Callee> callees_;
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_RUN_TRACKER_H_
