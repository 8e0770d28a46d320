#include "almondwind/graph/cost_table.h"

#include <algorithm>

namespace almondwind::graph {

using base::Millis;

namespace {
// Calls that are rarer than this per request of the route are not followed.
constexpr double kMinRequests = 0.001;
}  // namespace

void CostTable::Report(const std::string& node, const std::string& service,
                       const std::vector<peers::RouteCost>& costs, Millis now) {
  reports_[node] = {service, costs, now};
}

void CostTable::MergeReports(Millis now) {
  means_.clear();
  costs_.clear();
  merged_at_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at > options_.report_ttl) {
      it = reports_.erase(it);
      continue;
    }
    for (const peers::RouteCost& cost : it->second.costs) {
      RouteMeans& means = means_[{cost.route, it->second.service}];
      // At least 0.01 runs per second, so that the weights never add up to 0.
      double weight = std::max(cost.runs_per_s, 0.01);
      means.weight += weight;
      means.slot_ms += weight * cost.slot_ms;
      for (const auto& [callee, count] : cost.calls) {
        means.calls[callee] += weight * count;
      }
    }
    ++it;
  }
  for (auto& [key, means] : means_) {
    means.slot_ms /= means.weight;
    for (auto& [callee, count] : means.calls) count /= means.weight;
  }
}

void CostTable::AddCosts(const Key& key, double requests, int depth,
                         const routes::RouteTable& routes, Costs& out) const {
  ServiceCost& cost = out[key.second];
  cost.requests += requests;
  auto it = means_.find(key);
  if (it == means_.end()) return;
  cost.slot_ms += requests * it->second.slot_ms;
  if (depth >= kMaxDepth) return;
  for (const auto& [callee, count] : it->second.calls) {
    const routes::Route* route = routes.Find(callee);
    if (route == nullptr) continue;  // the route has been removed
    double total = 0;
    for (const routes::Destination& destination : route->destinations) {
      total += destination.weight;
    }
    for (const routes::Destination& destination : route->destinations) {
      double below = requests * count * destination.weight / total;
      if (below < kMinRequests) continue;
      AddCosts({callee, destination.service}, below, depth + 1, routes, out);
    }
  }
}

const Costs& CostTable::Lookup(const std::string& route,
                               const std::string& service,
                               const routes::RouteTable& routes, Millis now) {
  if (merged_at_ == Millis(0) ||
      now - merged_at_ >= options_.refresh_interval) {
    MergeReports(now);
  }
  auto [it, inserted] = costs_.try_emplace({route, service});
  if (inserted) AddCosts({route, service}, 1, 0, routes, it->second);
  return it->second;
}

}  // namespace almondwind::graph
