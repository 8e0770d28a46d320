// What a request of a route costs every service of the fleet.
//
// Each node reports, for the routes that its upstream runs, the time in a slot
// and the calls that a run makes. The table joins these reports: following the
// calls down gives, for a route at a service, how many requests and how much
// slot time one request causes at each service below, however deep.
//
//   table.Report("10.1.0.8:8300", "catalogue", costs, now);
//   const Costs& costs = table.Of("browse", "catalogue", routes, now);
//
// Bounds: kMaxDepth calls deep; what lies deeper is left out. Reports older
// than Options::life are dropped. Cost: Of is a look-up while no report has
// changed, then a walk of the graph. Not thread-safe.
#ifndef ALMONDWIND_GRAPH_COST_TABLE_H_
#define ALMONDWIND_GRAPH_COST_TABLE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/peers/frames.h"
#include "almondwind/routes/table.h"

namespace almondwind::graph {

struct ServiceCost {
  double requests = 0;  // at the service, caused by one request
  double slot_ms = 0;   // time in its slots, in all
};
using Costs = std::map<std::string, ServiceCost>;  // by service

struct CostTableOptions {
  base::Millis report_ttl{10'000};  // of a report
  // How long joined costs are used before they are joined again.
  base::Millis refresh_interval{500};
};

class CostTable {
 public:
  explicit CostTable(const CostTableOptions& options) : options_(options) {}

  // `node` tells what runs of its upstream, of `service`, cost.
  void Report(const std::string& node, const std::string& service,
              const std::vector<peers::RouteCost>& costs, base::Millis now);
  // What one request of `route` at `service` costs; `routes` says where the
  // called routes lead. Valid until the next call.
  const Costs& Lookup(const std::string& route, const std::string& service,
                      const routes::RouteTable& routes, base::Millis now);

 private:
  static constexpr int kMaxDepth = 20;

  struct NodeReport {
    std::string service;
    std::vector<peers::RouteCost> costs;
    base::Millis received_at{0};
  };
  // The means of all reports on one route at one service.
  struct RouteMeans {
    double weight = 0;
    double slot_ms = 0;
    std::map<std::string, double> calls;
  };
  using Key = std::pair<std::string, std::string>;  // route, service

  void MergeReports(base::Millis now);
  void AddCosts(const Key& key, double times, int depth,
                const routes::RouteTable& routes, Costs& out) const;

  const CostTableOptions options_;
  std::map<std::string, NodeReport> reports_;
  std::map<Key, RouteMeans> means_;
  std::map<Key, Costs> costs_;
  base::Millis merged_at_{0};
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_COST_TABLE_H_
