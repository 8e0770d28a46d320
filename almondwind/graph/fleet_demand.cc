#include "almondwind/graph/fleet_demand.h"

#include <algorithm>

namespace almondwind::graph {

using base::Millis;

void FleetDemand::Report(const std::string& node, const std::string& zone,
                         const std::vector<peers::RouteDemand>& rows,
                         Millis now) {
  reports_[node] = {zone, rows, now};
}

double FleetDemand::ScaleOf(const std::string& zone, size_t heard) const {
  auto size = zone_sizes_.find(zone);
  if (size == zone_sizes_.end() || heard == 0) return 1;
  double scale = static_cast<double>(size->second) / static_cast<double>(heard);
  return std::clamp(scale, 1.0, options_.max_scale);
}

void FleetDemand::Update(Millis now) {
  std::map<std::string, size_t> heard;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at > options_.report_ttl) {
      it = reports_.erase(it);
      continue;
    }
    ++heard[it->second.zone];
    ++it;
  }
  totals_.clear();
  for (const auto& [node, report] : reports_) {
    double scale = ScaleOf(report.zone, heard[report.zone]);
    for (const peers::RouteDemand& row : report.rows) {
      peers::RouteDemand& total = totals_[row.route];
      total.route = row.route;
      total.per_s += scale * row.per_s;
      total.seen += scale * row.seen;
      total.orphans += scale * row.orphans;
    }
  }
}

double FleetDemand::PerSecond(const std::string& route) const {
  auto it = totals_.find(route);
  return it == totals_.end() ? 0 : it->second.per_s;
}

RouteKind FleetDemand::KindOf(const std::string& route) const {
  auto it = totals_.find(route);
  if (it == totals_.end() || it->second.seen < options_.kind_samples) {
    return RouteKind::kUnknown;
  }
  bool called = it->second.orphans < options_.called_orphans * it->second.seen;
  return called ? RouteKind::kCalled : RouteKind::kClients;
}

}  // namespace almondwind::graph
