#include "almondwind/routes/split.h"

namespace almondwind::routes {

const Part& Splitter::Choose(const Route& route) {
  if (route.parts.size() == 1) return route.parts.front();
  if (credit_.size() > kMaxRoutes) credit_.clear();
  double total = 0;
  for (const Part& part : route.parts) total += part.weight;
  auto [it, fresh] = credit_.try_emplace(route.name);
  std::map<std::string, double>& credit = it->second;
  if (fresh) {
    for (const Part& part : route.parts) {
      credit[part.service] =
          std::uniform_real_distribution<double>(0, total)(random_);
    }
  }
  const Part* best = nullptr;
  double best_credit = 0;
  for (const Part& part : route.parts) {
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
