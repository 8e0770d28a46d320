// Learns which calls the runs of one upstream make, from the requests that the
// upstream sends.
//
// The calls do not name their parent run, but a call ends no later than its
// parent: it carries the time left until the parent's deadline, or less if the
// call has a shorter timeout of its own. It follows that:
//   - A request whose deadline is later than that of every run in progress is
//     not a call of any of them; it is called an orphan. A route whose requests
//     are hardly ever orphans, on any node, is called by services; a route with
//     many orphans is used by clients.
//   - Runs with the same deadline as a call are likely its parents. A control
//     window next to that deadline, where a run matches only by chance, shows
//     how many of the matches are due to chance. The excess of matches over the
//     control window tells which routes make the calls, and in what proportion.
//     Calls that do not have a run's deadline are divided in the same
//     proportion.
//
//   tracker.Start(run, "browse", cls, deadline);
//   ParentMatch match = tracker.FindParent("lookup", deadline);
//   if (!match.orphan) tracker.CountCall("lookup", deadline, now);
//   tracker.End(run, completed, took, now);
//
// Bounds: kMaxRoutes routes; further routes are not learned. Cost: FindParent
// visits the runs whose deadline is not before the request's, CountCall those
// with a deadline near it; Start and End update a map of the runs by deadline.
// Not thread-safe.
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
  // How much earlier or later than its parent's the computed deadline of a call
  // may be: both are rounded to 1 ms, and some milliseconds may pass before the
  // request is read.
  base::Millis max_early{1};
  base::Millis max_late{3};
  // Distance from the end of that window to the control window.
  base::Millis control_gap{25};
  double smoothing = 0.03;  // weight of the newest run in the mean slot time
  // Weight of the newest run in the mean number of calls. Lower, since matches
  // by chance add noise.
  double excess_smoothing = 0.006;
  // Window over which runs and calls are counted.
  base::Millis decay_window{15'000};
  // If a smaller share of the calls has a parent's deadline, the calling routes
  // cannot be told apart, and all are taken to make equally many of the calls.
  double min_exact_share = 0.08;
  // Mean excess of calls per run from which a route is taken to make them; a
  // smaller excess may be chance.
  double min_excess = 0.12;
};

// The run that a request may be a call of.
struct ParentMatch {
  bool orphan = true;  // its deadline is later than every run's
  uint64_t run = 0;    // the most likely parent; 0 if there is none
  base::RequestClass cls = base::RequestClass::kNormal;  // of the parent
};

class RunTracker {
 public:
  explicit RunTracker(const RunTrackerOptions& options) : options_(options) {}

  void Start(uint64_t run, const std::string& route, base::RequestClass cls,
             base::Millis deadline);
  // Records that a run ended after it held a slot for `took`. `completed`: the
  // upstream answered with success.
  void End(uint64_t run, bool completed, base::Millis took, base::Millis now);
  // Returns the most likely parent of a request of `route`.
  ParentMatch FindParent(const std::string& route, base::Millis deadline) const;
  // Counts a request of `route` as a call of one of the runs in progress.
  void CountCall(const std::string& route, base::Millis deadline,
                 base::Millis now);

  // Returns the mean cost of a run of each route, for the peers.
  std::vector<peers::RouteCost> Costs(base::Millis now) const;

 private:
  static constexpr size_t kMaxRoutes = 256;

  struct Run {
    std::string route;
    base::RequestClass cls;
    base::Millis deadline;
    // Calls with its deadline less those in the control window, by called
    // route.
    std::map<std::string, int> excess;
  };
  struct Callee {
    base::DecayingCount calls;
    base::DecayingCount excess;  // matches less those in the control window
  };
  // Means over the runs of a route.
  struct Means {
    int samples = 0;
    double slot_ms = 0;
    std::map<std::string, double> excess;  // per run, by called route
  };
  struct RouteStats {
    base::DecayingCount runs;
    Means completed;
    // A run that fails makes only some of its calls. While no run completes,
    // these still show that the route makes them. Otherwise a route whose runs
    // fail under overload would seem to cost nothing and always be admitted.
    Means failed;

    // Returns the mean excess of calls of `callee`: the larger of the two
    // means, or that of completed runs alone once there are enough of these.
    double ExcessCalls(const std::string& callee) const;
  };

  // Adds `amount` to the excess of calls of `route` for all runs with deadlines
  // from `from` to `to`. Returns the number of these runs.
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
