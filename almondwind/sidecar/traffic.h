// What this node learns of the requests that pass it, and the admission that
// follows from it.
//
// Three things are joined here: the tracker of the upstream's runs, the table
// of what routes cost, and the plan of admission; peers' reports feed the last
// two. The node's own report is made here too.
#ifndef ALMONDWIND_SIDECAR_TRAFFIC_H_
#define ALMONDWIND_SIDECAR_TRAFFIC_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "almondwind/graph/admission.h"
#include "almondwind/graph/cost_table.h"
#include "almondwind/graph/run_tracker.h"
#include "almondwind/sidecar/dispatcher.h"
#include "almondwind/sidecar/gate_server.h"
#include "almondwind/zones/directory.h"

namespace almondwind::sidecar {

struct TrafficOptions {
  graph::RunTrackerOptions tracker;
  graph::CostTableOptions costs;
  graph::AdmissionOptions admission;
  // Over this time a route's requests a second are averaged: long against the
  // gaps between requests, short against the seconds that a surge lasts.
  base::Millis demand_window{1000};
  // Told to callers that the plan refuses.
  base::Millis come_back{900};
};

class Traffic : public RunObserver, public Admission {
 public:
  explicit Traffic(const TrafficOptions& options);

  void OnRunStarted(uint64_t run, const std::string& route,
                    base::RequestClass cls, base::Millis deadline) override;
  void OnRunEnded(uint64_t run, bool completed, base::Millis took) override;

  Entry Enter(const routes::Route& route, base::Millis deadline,
              base::Millis now) override;
  routes::RetryBudget::Costs RepeatCosts(const std::string& route,
                                         const std::string& service) override;

  void SetTable(routes::RouteTablePtr table) { table_ = std::move(table); }
  // The time now, before a call without it.
  void SetNow(base::Millis now) { now_ = now; }
  // Plans anew from what the upstreams of `directory` report.
  void Plan(const zones::Directory& directory,
            const zones::EjectOptions& eject, base::Millis now);
  // A peer's report, or this node's own.
  void OnReport(const std::string& node, const peers::State& state,
                base::Millis now);
  // Fills in this node's part of its report.
  void Fill(peers::State& state, base::Millis now);

  const graph::AdmissionPlan& plan() const { return plan_; }

 private:
  struct Rate {
    double per_s = 0;
    base::Millis at{0};
  };

  void Count(const std::string& route, base::Millis now);
  double RateNow(const Rate& rate, base::Millis now) const;

  static constexpr size_t kMaxRoutes = 4096;  // beyond: not counted

  const TrafficOptions options_;
  routes::RouteTablePtr table_;
  graph::RunTracker tracker_;
  graph::CostTable costs_;
  graph::AdmissionPlan plan_;
  std::map<std::string, Rate> demand_;  // callers' requests here, by route
  base::Millis now_{0};
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_TRAFFIC_H_
