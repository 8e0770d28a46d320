#include "almondwind/routes/split.h"

namespace almondwind::routes {

const Destination& Splitter::Choose(const Route& route) {
  if (route.destinations.size() == 1) return route.destinations.front();
  if (credit_.size() > kMaxRoutes) credit_.clear();
  double total = 0;
  for (const Destination& part : route.destinations) total += part.weight;
  auto [it, fresh] = credit_.try_emplace(route.name);
  std::map<std::string, double>& credit = it->second;
  if (fresh) {
    for (const Destination& part : route.destinations) {
      credit[part.service] =
          std::uniform_real_distribution<double>(0, total)(random_);
    }
  }
  const Destination* best = nullptr;
  double best_credit = 0;
  for (const Destination& part : route.destinations) {
    double& value = credit[part.service];
    value += part.weight;
    if (part.weight <= 0) continue;
    if (best == nullptr || value > best_credit) {
      best = &part;
      best_credit = value;
    }
  }
  credit[best->service] -= total;
  return *best;
}

}  // namespace almondwind::routes
