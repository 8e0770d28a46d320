// Which calls the runs of one upstream make, learned from what it sends.
//
// An upstream's own calls name no parent, but they expire with it: a call
// carries what is left of its parent's deadline. So a request from this host
// whose deadline is that of a run in progress is taken for a call of that run.
// Clients' requests come from the same host; one whose deadline agrees by
// chance is told by its route: a called route agrees nearly always, a client's
// route only now and then.
//
//   tracker.Start(run, "browse", critical, deadline);
//   Parent parent = tracker.Match("lookup", deadline, now);  // of a request
//   tracker.End(run, completed, took);
//
// Bounds: kMaxRoutes routes; beyond it new ones are not learned. Cost: a
// look-up in an ordered map of the runs. Not thread-safe.
#ifndef ALMONDWIND_GRAPH_RUN_TRACKER_H_
#define ALMONDWIND_GRAPH_RUN_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/peers/frames.h"

namespace almondwind::graph {

struct RunTrackerOptions {
  // How much earlier or later than its parent's a call's deadline may be: both
  // are rounded to 1 ms, and the request waits some ms to be read.
  base::Millis early{2};
  base::Millis late{8};
  // Share of a route's requests that must agree for it to count as called.
  double called_share = 0.7;
  double smoothing = 0.05;  // weight of the newest run
};

// The run that a request belongs to.
struct Parent {
  uint64_t run = 0;
  base::RequestClass cls = base::RequestClass::kNormal;  // of the root request
};

class RunTracker {
 public:
  explicit RunTracker(const RunTrackerOptions& options) : options_(options) {}

  void Start(uint64_t run, const std::string& route, base::RequestClass cls,
             base::Millis deadline);
  // `completed`: the upstream answered with success after `took` in its slot.
  void End(uint64_t run, bool completed, base::Millis took, base::Millis now);
  // The parent of a request of `route` that arrived now; counts the call.
  std::optional<Parent> Match(const std::string& route, base::Millis deadline);

  // What the runs of each route cost, for the peers.
  std::vector<peers::RouteCost> Costs(base::Millis now) const;

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
    std::map<std::string, double> calls;
    int samples = 0;
  };
  struct Agreement {
    double share = 1;  // of a route's requests that had a parent
  };

  static double Decayed(const RouteStats& stats, base::Millis now);
  std::unordered_map<uint64_t, Run>::iterator Nearest(base::Millis deadline);

  const RunTrackerOptions options_;
  std::unordered_map<uint64_t, Run> runs_;
  std::multimap<int64_t, uint64_t> by_deadline_;  // ms, run
  std::map<std::string, RouteStats> stats_;
  std::map<std::string, Agreement> agreement_;
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_RUN_TRACKER_H_
