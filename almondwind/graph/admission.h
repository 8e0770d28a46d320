// Admission of callers' requests by what they cost the scarcest service.
//
// The service at the end of a chain bounds what whole requests can finish. A
// call that it refuses wastes what the layers above have done, so the refusal
// belongs at the entry, before any work. From the room of every service and
// the demand and cost of every route the plan follows: routes are served in
// the order of their priority, each gets what it asks for while there is room;
// routes of one priority share alike what is left. Two exceptions follow from
// cost: a route that costs the scarce service next to nothing goes first, and a
// route that costs it far less than a more important one is served as often as
// that one, for refusing it would hardly make room. No route is shut out: a few
// requests always enter, or its cost could never be learned anew. All entries
// compute it from the same reports, so callers of all zones are treated alike.
//
// Costs are measured and capacity changes faster than its measurement, so a
// factor for each service corrects the plan: it falls while requests wait
// long there, and recovers while they do not.
//
//   admission.SetRoom("pricing", {45, 0});
//   admission.SetDemand(node, {{"browse", 94.0}}, now);
//   admission.Plan(routes, costs, now);         // a few times a second
//   if (!admission.Enter("browse")) Refuse();
//
// Cost: Plan is linear in routes with demand times services below them; Enter
// a look-up. Not thread-safe.
#ifndef ALMONDWIND_GRAPH_ADMISSION_H_
#define ALMONDWIND_GRAPH_ADMISSION_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/graph/cost_table.h"
#include "almondwind/routes/table.h"

namespace almondwind::graph {

struct AdmissionOptions {
  // Share of the slots that the gates use, which the plan fills. The factor
  // below takes off what a queue shows to be too much.
  double target_utilization = 1.0;
  // Mean wait in a service's queues at which its factor stays as it is: the
  // larger of a time and a share of the time that a request holds a slot.
  base::Millis wait_target{20};
  double wait_target_ratio = 0.2;
  double wait_smoothing = 0.25;  // weight of the newest report in the mean
  // Change of the factor by a plan: down at twice the target or more, up while
  // nothing waits. A queue that has formed costs more than room left over.
  double max_decrease = 0.06;
  double max_increase = 0.03;
  double min_factor = 0.6;
  // Not above 1: a factor that has risen while there was room to spare would
  // let the next surge in whole.
  double max_factor = 1;
  // Cost at the scarce service, as a share of the dearest route's of the same
  // rank, up to which a route goes first.
  double negligible_cost_ratio = 0.15;
  // Cost at the scarce service, as a share of a more important route's, up to
  // which a route is ranked with it.
  double promotion_cost_ratio = 0.34;
  // Share of a route's requests that always enters.
  double min_share = 0.03;
  base::Millis demand_ttl{2500};  // of a node's report
};

// What a service can take at once.
struct ServiceCapacity {
  double slots = 0;    // of all its upstreams that take work
  double wait_ms = 0;  // mean wait in front of them
  double slot_ms = 0;  // mean time of a request in a slot
};

class AdmissionPlan {
 public:
  using Demand = std::vector<std::pair<std::string, double>>;

  explicit AdmissionPlan(const AdmissionOptions& options) : options_(options) {}

  void SetCapacities(std::map<std::string, ServiceCapacity> rooms) {
    capacities_ = std::move(rooms);
  }
  // Requests a second, by route, that came to `node`.
  void SetDemand(const std::string& node, const Demand& demand,
                 base::Millis now);
  void Plan(const routes::RouteTable& routes, CostTable& costs,
            base::Millis now);
  // Whether the next request of `route` may enter.
  bool Admit(const std::string& route);

  // Share of a route's requests that enter.
  double share(const std::string& route) const;
  const std::map<std::string, ServiceCapacity>& capacities() const {
    return capacities_;
  }
  // Correction of a service's room, and the slots that all ask for there.
  double factor(const std::string& service) const;
  double wanted(const std::string& service) const;
  // Service that bounds a route; empty: none does.
  const std::string& bound_by(const std::string& route) const;

 private:
  struct NodeDemand {
    Demand demand;
    base::Millis received_at{0};
  };
  struct RoutePlan {
    double share = 1;
    double credit = 0.5;  // spreads refusals evenly
    std::string bound_by;
  };
  // One route's part in a round of planning.
  struct Claim {
    const routes::Route* route = nullptr;
    double per_s = 0;
    std::map<std::string, double> slots;  // that it would fill, by service

    // Slots of `service` that one request a second fills.
    double CostAt(const std::string& service) const;
  };
  using Slots = std::map<std::string, double>;  // by service

  std::vector<Claim> CollectClaims(const routes::RouteTable& routes,
                                   CostTable& costs, base::Millis now);
  void UpdateFactors();
  // The service whose room is the smallest share of what `claims` want, if
  // that is less than all of it; sets `share`.
  static std::string FindBottleneck(const std::vector<Claim*>& claims,
                                    const Slots& left, double& share);
  int EffectivePriority(const Claim& claim, const std::vector<Claim*>& all,
                        const std::string& scarce) const;
  void GrantClaims(std::vector<Claim*> peers, Slots& left);
  std::vector<Claim*> NegligibleClaims(const std::vector<Claim*>& peers,
                                       const std::string& scarce) const;

  const AdmissionOptions options_;
  std::map<std::string, ServiceCapacity> capacities_;
  std::map<std::string, double> factors_;         // by service
  std::map<std::string, double> smoothed_waits_;  // smoothed, by service
  std::map<std::string, double> wanted_;          // slots, by service
  std::map<std::string, NodeDemand> demand_;
  std::map<std::string, RoutePlan> plans_;
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_ADMISSION_H_
