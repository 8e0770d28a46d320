// The cost of a request at every service that its calls reach.
//
// Each node reports, for the routes that its upstream serves, the slot time and
// the calls of a run. The table merges these reports and follows the calls: for
// a route at a service, it gives the number of requests and the slot time that
// one request causes at that service and at each service below it.
//
//   table.Report("10.1.0.8:8300", "catalogue", costs, now);
//   const Costs& costs = table.Lookup("browse", "catalogue", routes, now);
//
// Bounds: calls more than kMaxDepth levels deep are left out, and reports older
// than report_ttl are dropped. Cost: Lookup merges all reports once per
// refresh_interval and traverses the call graph once per route and service
// after a merge; otherwise it is a map lookup. Not thread-safe.
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
  double requests = 0;  // requests at the service per request of the route
  double slot_ms = 0;   // total time that these hold slots there
};
using Costs = std::map<std::string, ServiceCost>;  // by service

struct CostTableOptions {
  base::Millis report_ttl{10'000};  // older reports are dropped
  // How long merged costs are used before the reports are merged again.
  base::Millis refresh_interval{500};
};

class CostTable {
 public:
  explicit CostTable(const CostTableOptions& options) : options_(options) {}

  // Stores the costs that `node` reports for runs of its upstream, which
  // belongs to `service`.
  void Report(const std::string& node, const std::string& service,
              const std::vector<peers::RouteCost>& costs, base::Millis now);
  // Returns the costs of one request of `route` at `service`; `routes` gives
  // the destinations of the called routes. The result is valid until the next
  // call.
  const Costs& Lookup(const std::string& route, const std::string& service,
                      const routes::RouteTable& routes, base::Millis now);

 private:
  static constexpr int kMaxDepth = 20;

  struct NodeReport {
    std::string service;
    std::vector<peers::RouteCost> costs;
    base::Millis received_at{0};
  };
  // Means over all reports on one route at one service, weighted by their rate.
  struct RouteMeans {
    double weight = 0;
    double slot_ms = 0;
    std::map<std::string, double> calls;
  };
  using Key = std::pair<std::string, std::string>;  // route, service

  // Recomputes `means_` from the reports.
  void MergeReports(base::Millis now);
  // Adds to `out` the costs of `requests` requests at `key` and of their calls,
  // where `depth` calls lead to `key`.
  void AddCosts(const Key& key, double requests, int depth,
                const routes::RouteTable& routes, Costs& out) const;

  const CostTableOptions options_;
  std::map<std::string, NodeReport> reports_;
  std::map<Key, RouteMeans> means_;
  std::map<Key, Costs> costs_;
  base::Millis merged_at_{0};
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_COST_TABLE_H_
