// Admission of callers' requests at the entry, by their cost at the bottleneck.
//
// The service with the least capacity for its load, often the last of a call
// chain, limits how many requests complete. If it refuses a call, the work that
// the services above it did for the request is wasted, so requests are refused
// at the entry, before any work is done. The plan follows from the capacity of
// every service and the demand and cost of every route:
//   - Routes are served in the order of their priority. Each gets its whole
//     demand while capacity is left; routes of one priority are scaled down by
//     the same share.
//   - Of the routes of one priority, those whose cost at the bottleneck is
//     negligible are served first.
//   - A route that costs the bottleneck far less than a more important route
//     gets the priority of that route, since refusing it would free little.
//   - A minimum share of each route is always admitted; otherwise its cost
//     could not be measured again.
// All entries compute the plan from the same reports, so that callers in all
// zones are treated alike.
//
// Costs are measured, and capacity can change faster than the measurements. A
// correction factor for each service therefore scales its capacity in the plan:
// it falls while queue waits at the service are long, and recovers afterwards.
//
//   AdmissionPlan admission(options);
//   admission.SetCapacities({{"pricing", {45, 0, 30}}});
//   admission.SetDemand(node, {{"browse", 94.0}}, now);
//   admission.Plan(routes, costs, now);  // a few times a second
//   if (!admission.Admit("browse")) Refuse();
//
// Cost: Plan compares the routes with demand in pairs and visits every service
// that they reach; Admit is a lookup. Not thread-safe.
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
  // Fraction of the gates' concurrency limits that the plan fills. The
  // correction factor reduces it where queues show that this is too much.
  double target_utilization = 1.0;
  // Mean queue wait of a service at which its factor does not change: the
  // larger of wait_target and wait_target_ratio times the mean time that a
  // request holds a slot.
  base::Millis wait_target{20};
  double wait_target_ratio = 0.2;
  double wait_smoothing = 0.25;  // weight of the newest report in the mean
  // Largest changes of the factor per plan: the decrease at twice the target
  // wait or more, the increase while nothing waits. The decrease is the faster
  // one, since a queue costs more than unused capacity.
  double max_decrease = 0.06;
  double max_increase = 0.03;
  double min_factor = 0.6;
  // At most 1: a factor that rose further while capacity was unused would admit
  // the whole of the next surge.
  double max_factor = 1;
  // A route is served before the others of its priority if its cost at the
  // bottleneck is at most this fraction of the highest among them.
  double negligible_cost_ratio = 0.15;
  // A route is served with the priority of a more important route if its cost
  // at the bottleneck is at most this fraction of that route's.
  double promotion_cost_ratio = 0.34;
  // Share of each route's requests that is always admitted.
  double min_share = 0.03;
  base::Millis demand_ttl{2500};  // older demand reports are dropped
};

// Capacity of a service over all its upstreams that accept requests.
struct ServiceCapacity {
  double slots = 0;    // requests that it processes concurrently
  double wait_ms = 0;  // mean queue wait
  double slot_ms = 0;  // mean time that a request holds a slot
};

class AdmissionPlan {
 public:
  using Demand = std::vector<std::pair<std::string, double>>;

  explicit AdmissionPlan(const AdmissionOptions& options) : options_(options) {}

  // Sets the capacity of every service, by its name.
  void SetCapacities(std::map<std::string, ServiceCapacity> capacities) {
    capacities_ = std::move(capacities);
  }
  // Sets the requests per second, by route, that arrived at `node`.
  void SetDemand(const std::string& node, const Demand& demand,
                 base::Millis now);
  // Updates the factors by the latest queue waits, then computes the shares.
  void Plan(const routes::RouteTable& routes, CostTable& costs,
            base::Millis now);
  // Returns whether to admit the next request of `route`.
  bool Admit(const std::string& route);

  // Share of the route's requests that is admitted.
  double share(const std::string& route) const;
  const std::map<std::string, ServiceCapacity>& capacities() const {
    return capacities_;
  }
  // Correction factor of the service's capacity.
  double factor(const std::string& service) const;
  // Slots of the service that the demand of all routes would fill.
  double wanted(const std::string& service) const;
  // Service whose capacity limits the route; empty if none does.
  const std::string& bound_by(const std::string& route) const;

 private:
  struct NodeDemand {
    Demand demand;
    base::Millis received_at{0};
  };
  struct RoutePlan {
    double share = 1;
    // Grows by `share` with each request, and an admitted request takes 1, so
    // that refusals are spaced evenly.
    double credit = 0.5;
    std::string bound_by;
  };
  // Demand of one route while a plan is computed.
  struct Claim {
    const routes::Route* route = nullptr;
    double per_s = 0;                     // requests
    std::map<std::string, double> slots;  // filled by the demand, by service

    // Returns the slots of `service` that one request per second fills.
    double CostAt(const std::string& service) const;
  };
  using Slots = std::map<std::string, double>;  // by service

  std::vector<Claim> CollectClaims(const routes::RouteTable& routes,
                                   CostTable& costs, base::Millis now);
  void UpdateFactors();
  // Returns the service whose remaining capacity is the smallest share of what
  // `claims` need, and sets `share` to it; empty, with a share of 1, if all
  // services have enough.
  static std::string FindBottleneck(const std::vector<Claim*>& claims,
                                    const Slots& remaining, double& share);
  int EffectivePriority(const Claim& claim, const std::vector<Claim*>& all,
                        const std::string& bottleneck) const;
  void GrantClaims(std::vector<Claim*> claims, Slots& remaining);
  std::vector<Claim*> NegligibleClaims(const std::vector<Claim*>& claims,
                                       const std::string& bottleneck) const;

  const AdmissionOptions options_;
  std::map<std::string, ServiceCapacity> capacities_;
  std::map<std::string, double> factors_;         // by service
  std::map<std::string, double> smoothed_waits_;  // ms, by service
  std::map<std::string, double> wanted_;          // slots, by service
  std::map<std::string, NodeDemand> demand_;
  std::map<std::string, RoutePlan> plans_;
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_ADMISSION_H_
