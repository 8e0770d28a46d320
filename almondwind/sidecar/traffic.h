// Measures the requests that pass this node and decides their admission.
//
// Connects the tracker of the upstream's runs, the table of route costs and the
// admission plan. The last two are fed by the reports of all nodes; the demand
// and costs in this node's own report are also computed here.
#ifndef ALMONDWIND_SIDECAR_TRAFFIC_H_
#define ALMONDWIND_SIDECAR_TRAFFIC_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "almondwind/base/fading.h"
#include "almondwind/graph/admission.h"
#include "almondwind/graph/cost_table.h"
#include "almondwind/graph/fleet_demand.h"
#include "almondwind/graph/run_tracker.h"
#include "almondwind/sidecar/dispatcher.h"
#include "almondwind/sidecar/gate_server.h"
#include "almondwind/zones/directory.h"

namespace almondwind::sidecar {

struct TrafficOptions {
  graph::RunTrackerOptions tracker;
  graph::CostTableOptions costs;
  graph::AdmissionOptions admission;
  graph::FleetDemandOptions fleet;
  // Averaging time of a route's request rate: long compared to the gaps between
  // requests, short compared to the seconds that a surge lasts.
  base::Millis demand_window{1000};
  // Time over which requests and orphans (requests that no run in progress can
  // have made, see run_tracker.h) are counted, to tell routes that upstreams
  // call from routes that clients use.
  base::Millis kind_window{15'000};
  // Retry delay given to callers whose requests the plan refuses.
  base::Millis retry_after{900};
};

class Traffic : public RunObserver, public Admission {
 public:
  Traffic(const TrafficOptions& options, const base::Clock& clock);

  void OnRunStarted(uint64_t run, const std::string& route,
                    base::RequestClass cls, base::Millis deadline) override;
  void OnRunEnded(uint64_t run, bool completed, base::Millis took) override;

  AdmissionDecision Admit(const routes::Route& route, base::Millis deadline,
                          base::Millis now) override;
  routes::RetryBudget::Costs RetryCosts(const std::string& route,
                                        const std::string& service) override;

  void SetTable(routes::RouteTablePtr table) { table_ = std::move(table); }
  // Updates the plan from the loads that the upstreams of `directory` report.
  void Plan(const zones::Directory& directory,
            const zones::EjectOptions& eject);
  // Records a report of a peer in `zone`, or of this node itself.
  void OnReport(const std::string& node, const std::string& zone,
                const peers::State& state);
  void SetZoneSizes(std::map<std::string, size_t> sizes) {
    fleet_.SetZoneSizes(std::move(sizes));
  }
  // Fills in demand and costs in this node's report.
  void FillReport(peers::State& state);

  const graph::AdmissionPlan& plan() const { return plan_; }
  // Who sends a route's requests: "clients", "called" (by upstreams) or
  // "unknown".
  std::string KindName(const std::string& route) const {
    return std::string(
        base::NameOf(graph::kRouteKindNames, fleet_.KindOf(route)));
  }
  // Slot time and requests that one request of `route` at `service` causes, by
  // service.
  graph::Costs CostsOf(const std::string& route, const std::string& service);

 private:
  struct Arrivals {
    base::DecayingCount demand;
    base::DecayingCount seen;
    base::DecayingCount orphans;
  };
  void CountArrival(const std::string& route, bool orphan, base::Millis now);
  // Passes the demand of clients' routes to the plan.
  void UpdateDemand(base::Millis now);

  static constexpr size_t kMaxRoutes = 4096;  // further routes are not counted

  const TrafficOptions options_;
  const base::Clock& clock_;
  routes::RouteTablePtr table_;
  graph::RunTracker tracker_;
  graph::CostTable costs_;
  graph::AdmissionPlan plan_;
  std::map<std::string, Arrivals> arrivals_;  // at this node, by route
  graph::FleetDemand fleet_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_TRAFFIC_H_
