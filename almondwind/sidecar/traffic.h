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

#include "almondwind/base/fading.h"
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
  // Over this time requests and orphans are counted to tell called routes from
  // clients' routes.
  base::Millis kind_window{15'000};
  // Most orphans among the requests of a called route. A run that is broken
  // off may leave a call or two behind; clients' requests with short deadlines
  // are orphans at least on hosts with little to do.
  double called_orphans = 0.04;
  // Requests of a route, on all nodes, before its kind is decided; until then
  // they are let in.
  double kind_samples = 25;
  // Told to callers that the plan refuses.
  base::Millis come_back{900};
};

class Traffic : public RunObserver, public Admission {
 public:
  Traffic(const TrafficOptions& options, const base::Clock& clock);

  void OnRunStarted(uint64_t run, const std::string& route,
                    base::RequestClass cls, base::Millis deadline) override;
  void OnRunEnded(uint64_t run, bool completed, base::Millis took) override;

  Entry Enter(const routes::Route& route, base::Millis deadline,
              base::Millis now) override;
  routes::RetryBudget::Costs RepeatCosts(const std::string& route,
                                         const std::string& service) override;

  void SetTable(routes::RouteTablePtr table) { table_ = std::move(table); }
  // Plans anew from what the upstreams of `directory` report.
  void Plan(const zones::Directory& directory,
            const zones::EjectOptions& eject);
  // A peer's report, or this node's own.
  void OnReport(const std::string& node, const peers::State& state);
  // Fills in this node's part of its report.
  void Fill(peers::State& state);

  const graph::AdmissionPlan& plan() const { return plan_; }
  // "clients", "called" or "unknown": who sends a route's requests.
  std::string KindName(const std::string& route) const;
  // Slot time and requests that one request of `route` causes, by service.
  graph::Costs CostsOf(const std::string& route, const std::string& service);

 private:
  struct Arrivals {
    base::DecayingCount demand;
    base::DecayingCount seen;
    base::DecayingCount orphans;
  };
  struct Report {
    std::vector<peers::RouteDemand> demand;
    base::Millis at{0};
  };
  enum class RouteKind : uint8_t { kUnknown, kCalled, kClients };

  void Count(const std::string& route, bool orphan, base::Millis now);
  // Tells the routes' kinds and gives the plan the demand of clients' routes.
  void TakeReports(base::Millis now);
  RouteKind KindOf(const std::string& route) const;

  static constexpr size_t kMaxRoutes = 4096;  // beyond: not counted

  const TrafficOptions options_;
  const base::Clock& clock_;
  routes::RouteTablePtr table_;
  graph::RunTracker tracker_;
  graph::CostTable costs_;
  graph::AdmissionPlan plan_;
  std::map<std::string, Arrivals> arrivals_;  // here, by route
  std::map<std::string, Report> reports_;     // by node
  std::map<std::string, RouteKind> kinds_;    // by route
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_TRAFFIC_H_
