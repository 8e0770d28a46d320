#include "almondwind/routes/split.h"

namespace almondwind::routes {

const Destination& Splitter::Choose(const Route& route) {
  if (route.destinations.size() == 1) return route.destinations.front();
  if (credit_.size() > kMaxRoutes) credit_.clear();
  double total = 0;
  for (const Destination& destination : route.destinations) {
    total += destination.weight;
  }
  auto [it, inserted] = credit_.try_emplace(route.name);
  std::map<std::string, double>& credit = it->second;
  if (inserted) {
    for (const Destination& destination : route.destinations) {
      credit[destination.service] =
          std::uniform_real_distribution<double>(0, total)(random_);
    }
  }
  const Destination* best = nullptr;
  double best_credit = 0;
  for (const Destination& destination : route.destinations) {
    double& value = credit[destination.service];
    value += destination.weight;
    if (destination.weight <= 0) continue;
    if (best == nullptr || value > best_credit) {
      best = &destination;
      best_credit = value;
    }
  }
  credit[best->service] -= total;
  return *best;
}

}  // namespace almondwind::routes
