#include "almondwind/graph/admission.h"

#include <algorithm>
#include <limits>

namespace almondwind::graph {

using base::Millis;

namespace {
// Services of which the claims need fewer slots cannot be a bottleneck.
constexpr double kMinSlots = 0.01;
constexpr double kMinRate = 0.01;  // requests per second
constexpr size_t kMaxPlans = 4096;
}  // namespace

void AdmissionPlan::SetDemand(const std::string& node, const Demand& demand,
                              Millis now) {
  demand_[node] = {demand, now};
}

std::vector<AdmissionPlan::Claim> AdmissionPlan::CollectClaims(
    const routes::RouteTable& routes, CostTable& costs, Millis now) {
  std::map<std::string, double> per_s;
  for (auto it = demand_.begin(); it != demand_.end();) {
    if (now - it->second.received_at > options_.demand_ttl) {
      it = demand_.erase(it);
      continue;
    }
    for (const auto& [route, rate] : it->second.demand) per_s[route] += rate;
    ++it;
  }
  std::vector<Claim> claims;
  for (const auto& [name, rate] : per_s) {
    const routes::Route* route = routes.Find(name);
    if (route == nullptr) continue;
    Claim claim{route, rate, {}};
    double total = 0;
    for (const routes::Destination& destination : route->destinations) {
      total += destination.weight;
    }
    for (const routes::Destination& destination : route->destinations) {
      double share = rate * destination.weight / total / 1000;
      for (const auto& [service, cost] :
           costs.Lookup(name, destination.service, routes, now)) {
        claim.slots[service] += share * cost.slot_ms;
      }
    }
    claims.push_back(std::move(claim));
  }
  return claims;
}

void AdmissionPlan::UpdateFactors() {
  for (const auto& [service, capacity] : capacities_) {
    double& wait = smoothed_waits_[service];
    wait += options_.wait_smoothing * (capacity.wait_ms - wait);
    double target = std::max(static_cast<double>(options_.wait_target.count()),
                             options_.wait_target_ratio * capacity.slot_ms);
    double& factor = factors_.try_emplace(service, 1).first->second;
    double error = std::clamp((target - wait) / target, -1.0, 1.0);
    factor +=
        (error < 0 ? options_.max_decrease : options_.max_increase) * error;
    factor = std::clamp(factor, options_.min_factor, options_.max_factor);
  }
}

double AdmissionPlan::Claim::CostAt(const std::string& service) const {
  auto it = slots.find(service);
  return it == slots.end() ? 0 : it->second / std::max(per_s, kMinRate);
}

std::string AdmissionPlan::FindBottleneck(const std::vector<Claim*>& claims,
                                          const Slots& remaining,
                                          double& share) {
  Slots needed;
  for (const Claim* claim : claims) {
    for (const auto& [service, slots] : claim->slots) needed[service] += slots;
  }
  std::string bottleneck;
  share = 1;
  for (const auto& [service, slots] : needed) {
    auto capacity = remaining.find(service);
    if (capacity == remaining.end() || slots < kMinSlots) continue;
    double fraction = std::max(0.0, capacity->second) / slots;
    if (fraction >= share) continue;
    share = fraction;
    bottleneck = service;
  }
  return bottleneck;
}

// Returns the priority with which a route is served: its own or, if it costs
// the bottleneck far less than a more important route, that of the latter.
int AdmissionPlan::EffectivePriority(const Claim& claim,
                                     const std::vector<Claim*>& all,
                                     const std::string& bottleneck) const {
  int priority = claim.route->priority;
  for (const Claim* other : all) {
    if (other->route->priority >= priority) continue;
    double cost = other->CostAt(bottleneck);
    if (cost > 0 &&
        claim.CostAt(bottleneck) <= options_.promotion_cost_ratio * cost) {
      priority = other->route->priority;
    }
  }
  return priority;
}

// Returns the claims whose cost at `bottleneck` is negligible compared with the
// highest.
std::vector<AdmissionPlan::Claim*> AdmissionPlan::NegligibleClaims(
    const std::vector<Claim*>& claims, const std::string& bottleneck) const {
  double highest = 0;
  for (const Claim* claim : claims) {
    highest = std::max(highest, claim->CostAt(bottleneck));
  }
  std::vector<Claim*> out;
  for (Claim* claim : claims) {
    if (claim->CostAt(bottleneck) <= options_.negligible_cost_ratio * highest) {
      out.push_back(claim);
    }
  }
  return out;
}

// Sets the shares of routes that are served with one priority, and deducts the
// slots that they use from `remaining`. While a service cannot serve all
// claims, those with a negligible cost there are granted first; the others are
// scaled down by the same share.
void AdmissionPlan::GrantClaims(std::vector<Claim*> claims, Slots& remaining) {
  while (!claims.empty()) {
    std::vector<Claim*> group = claims;
    double share = 1;
    std::string bottleneck = FindBottleneck(group, remaining, share);
    while (!bottleneck.empty()) {
      std::vector<Claim*> negligible = NegligibleClaims(group, bottleneck);
      if (negligible.empty() || negligible.size() == group.size()) break;
      group = std::move(negligible);
      bottleneck = FindBottleneck(group, remaining, share);
    }
    for (Claim* claim : group) {
      RoutePlan& plan = plans_[claim->route->name];
      plan.share = std::max(share, options_.min_share);
      plan.bound_by = bottleneck;
      for (const auto& [service, slots] : claim->slots) {
        auto capacity = remaining.find(service);
        if (capacity != remaining.end()) capacity->second -= slots * plan.share;
      }
      claims.erase(std::find(claims.begin(), claims.end(), claim));
    }
  }
}

void AdmissionPlan::Plan(const routes::RouteTable& routes, CostTable& costs,
                         Millis now) {
  UpdateFactors();
  Slots remaining;
  for (const auto& [service, capacity] : capacities_) {
    if (capacity.slots > 0) {
      remaining[service] =
          capacity.slots * options_.target_utilization * factors_[service];
    }
  }
  std::vector<Claim> claims = CollectClaims(routes, costs, now);
  wanted_.clear();
  std::vector<Claim*> all;
  for (Claim& claim : claims) {
    all.push_back(&claim);
    for (const auto& [service, slots] : claim.slots) wanted_[service] += slots;
  }
  double share = 1;
  std::string bottleneck = FindBottleneck(all, remaining, share);
  std::map<int, std::vector<Claim*>> by_priority;
  for (Claim* claim : all) {
    by_priority[EffectivePriority(*claim, all, bottleneck)].push_back(claim);
  }
  if (plans_.size() > kMaxPlans) plans_.clear();  // drops those of old routes
  for (auto& [name, plan] : plans_) plan.share = 1;
  for (auto& [priority, group] : by_priority) {
    GrantClaims(std::move(group), remaining);
  }
}

bool AdmissionPlan::Admit(const std::string& route) {
  auto it = plans_.find(route);
  if (it == plans_.end()) return true;
  RoutePlan& plan = it->second;
  plan.credit += plan.share;
  if (plan.credit < 1) return false;
  plan.credit -= 1;
  return true;
}

double AdmissionPlan::share(const std::string& route) const {
  auto it = plans_.find(route);
  return it == plans_.end() ? 1 : it->second.share;
}

double AdmissionPlan::factor(const std::string& service) const {
  auto it = factors_.find(service);
  return it == factors_.end() ? 1 : it->second;
}

double AdmissionPlan::wanted(const std::string& service) const {
  auto it = wanted_.find(service);
  return it == wanted_.end() ? 0 : it->second;
}

const std::string& AdmissionPlan::bound_by(const std::string& route) const {
  static const std::string kNone;
  auto it = plans_.find(route);
  return it == plans_.end() ? kNone : it->second.bound_by;
}

}  // namespace almondwind::graph
