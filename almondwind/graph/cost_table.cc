#include "almondwind/graph/cost_table.h"

#include <algorithm>

namespace almondwind::graph {

using base::Millis;

namespace {
// Below this a route causes nothing worth following.
constexpr double kMinTimes = 0.001;
}  // namespace

void CostTable::Report(const std::string& node, const std::string& service,
                       const std::vector<peers::RouteCost>& costs, Millis now) {
  reports_[node] = {service, costs, now};
}

void CostTable::Join(Millis now) {
  edges_.clear();
  costs_.clear();
  joined_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.at > options_.life) {
      it = reports_.erase(it);
      continue;
    }
    for (const peers::RouteCost& cost : it->second.costs) {
      Edge& edge = edges_[{cost.route, it->second.service}];
      double weight = std::max(cost.runs_per_s, 0.01);
      edge.weight += weight;
      edge.slot_ms += weight * cost.slot_ms;
      for (const auto& [callee, count] : cost.calls) {
        edge.calls[callee] += weight * count;
      }
    }
    ++it;
  }
  for (auto& [key, edge] : edges_) {
    edge.slot_ms /= edge.weight;
    for (auto& [callee, count] : edge.calls) count /= edge.weight;
  }
}

void CostTable::Add(const Key& key, double times, int depth,
                    const routes::RouteTable& routes, Costs& out) const {
  ServiceCost& cost = out[key.second];
  cost.requests += times;
  auto it = edges_.find(key);
  if (it == edges_.end()) return;
  cost.slot_ms += times * it->second.slot_ms;
  if (depth >= kMaxDepth) return;
  for (const auto& [callee, count] : it->second.calls) {
    const routes::Route* route = routes.Find(callee);
    if (route == nullptr) continue;  // removed since
    double total = 0;
    for (const routes::Part& part : route->parts) total += part.weight;
    for (const routes::Part& part : route->parts) {
      double below = times * count * part.weight / total;
      if (below < kMinTimes) continue;
      Add({callee, part.service}, below, depth + 1, routes, out);
    }
  }
}

const Costs& CostTable::Of(const std::string& route, const std::string& service,
                           const routes::RouteTable& routes, Millis now) {
  if (joined_ == Millis(0) || now - joined_ >= options_.refresh) Join(now);
  auto [it, fresh] = costs_.try_emplace({route, service});
  if (fresh) Add({route, service}, 1, 0, routes, it->second);
  return it->second;
}

}  // namespace almondwind::graph
