// Demand of the whole fleet for every route, estimated from the reports of the
// nodes that this one is linked to.
//
// A node hears all nodes of its own zone but only some of other zones. The
// reports of a zone are therefore scaled by the number of its nodes over the
// number of those heard. A zone that is not heard at all, for example because
// it is cut off, adds nothing: its requests do not reach this part of the
// fleet.
//
// The reports also tell the routes that clients use from those that upstreams
// call: requests that no run in progress on their host can have made (orphans,
// see run_tracker.h) are rare among the latter.
//
//   FleetDemand demand(options);
//   demand.SetZoneSizes({{"z1", 33}, {"z2", 32}});
//   demand.Report("10.1.0.8:8300", "z1", rows, now);
//   demand.Update(now);  // a few times per second
//   double per_s = demand.PerSecond("browse");
//
// Cost: Update visits all reports; lookups are those of a map. Not thread-safe.
#ifndef ALMONDWIND_GRAPH_FLEET_DEMAND_H_
#define ALMONDWIND_GRAPH_FLEET_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/names.h"
#include "almondwind/peers/frames.h"

namespace almondwind::graph {

// Who sends the requests of a route.
enum class RouteKind : uint8_t { kUnknown, kCalled, kClients };
constexpr base::Names<3> kRouteKindNames = {"unknown", "called", "clients"};

struct FleetDemandOptions {
  base::Millis report_ttl{2500};  // older reports are dropped
  // Largest factor by which the reports of a zone are scaled. While links come
  // up, a single node's report must not stand for a whole zone.
  double max_scale = 8;
  // Maximum share of orphans among the requests of a called route. It is above
  // zero because an aborted run may leave one or two calls behind. It is low
  // because clients' requests with short deadlines can match a run by chance,
  // and are then orphans only on hosts with little load.
  double called_orphans = 0.04;
  // Requests of a route, on all nodes, that are needed to classify it.
  double kind_samples = 25;
};

class FleetDemand {
 public:
  explicit FleetDemand(const FleetDemandOptions& options) : options_(options) {}

  // Sets the number of nodes in each zone. A zone that is missing is not
  // scaled.
  void SetZoneSizes(std::map<std::string, size_t> sizes) {
    zone_sizes_ = std::move(sizes);
  }
  void Report(const std::string& node, const std::string& zone,
              const std::vector<peers::RouteDemand>& rows, base::Millis now);
  // Recomputes the estimates from the reports that are not too old.
  void Update(base::Millis now);

  // Returns the requests per second of `route` in the fleet; 0 if unknown.
  double PerSecond(const std::string& route) const;
  RouteKind KindOf(const std::string& route) const;
  // Returns the estimates by route: requests per second, and over a longer
  // window all requests and the orphans among them.
  const std::map<std::string, peers::RouteDemand>& totals() const {
    return totals_;
  }

 private:
  struct NodeReport {
    std::string zone;
    std::vector<peers::RouteDemand> rows;
    base::Millis received_at{0};
  };

  double ScaleOf(const std::string& zone, size_t heard) const;

  const FleetDemandOptions options_;
  std::map<std::string, size_t> zone_sizes_;
  std::map<std::string, NodeReport> reports_;  // by node
  std::map<std::string, peers::RouteDemand> totals_;
};

}  // namespace almondwind::graph

#endif  // ALMONDWIND_GRAPH_FLEET_DEMAND_H_
