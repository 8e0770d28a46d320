#include "almondwind/graph/admission.h"

#include <algorithm>
#include <limits>

namespace almondwind::graph {

using base::Millis;

namespace {
// A claim below this many slots does not bound anything.
constexpr double kMinSlots = 0.01;
constexpr double kMinRate = 0.01;  // requests a second
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
    for (const routes::Destination& part : route->destinations)
      total += part.weight;
    for (const routes::Destination& part : route->destinations) {
      double share = rate * part.weight / total / 1000;
      for (const auto& [service, cost] :
           costs.Lookup(name, part.service, routes, now)) {
        claim.slots[service] += share * cost.slot_ms;
      }
    }
    claims.push_back(std::move(claim));
  }
  return claims;
}

void AdmissionPlan::UpdateFactors() {
  for (const auto& [service, room] : capacities_) {
    double& wait = smoothed_waits_[service];
    wait += options_.wait_smoothing * (room.wait_ms - wait);
    double target = std::max(static_cast<double>(options_.wait_target.count()),
                             options_.wait_target_ratio * room.slot_ms);
    double& factor = factors_.try_emplace(service, 1).first->second;
    double off = std::clamp((target - wait) / target, -1.0, 1.0);
    factor += (off < 0 ? options_.max_decrease : options_.max_increase) * off;
    factor = std::clamp(factor, options_.min_factor, options_.max_factor);
  }
}

double AdmissionPlan::Claim::CostAt(const std::string& service) const {
  auto it = slots.find(service);
  return it == slots.end() ? 0 : it->second / std::max(per_s, kMinRate);
}

std::string AdmissionPlan::FindBottleneck(const std::vector<Claim*>& claims,
                                          const Slots& left, double& share) {
  Slots wanted;
  for (const Claim* claim : claims) {
    for (const auto& [service, slots] : claim->slots) wanted[service] += slots;
  }
  std::string scarce;
  share = 1;
  for (const auto& [service, slots] : wanted) {
    auto room = left.find(service);
    if (room == left.end() || slots < kMinSlots) continue;
    double fits = std::max(0.0, room->second) / slots;
    if (fits >= share) continue;
    share = fits;
    scarce = service;
  }
  return scarce;
}

// The priority with which a route is served: its own or, if it costs the scarce
// service far less than a more important route, that one's.
int AdmissionPlan::EffectivePriority(const Claim& claim,
                                     const std::vector<Claim*>& all,
                                     const std::string& scarce) const {
  int rank = claim.route->priority;
  for (const Claim* other : all) {
    if (other->route->priority >= rank) continue;
    double cost = other->CostAt(scarce);
    if (cost > 0 &&
        claim.CostAt(scarce) <= options_.promotion_cost_ratio * cost) {
      rank = other->route->priority;
    }
  }
  return rank;
}

// The claims that cost `scarce` next to nothing beside the dearest.
std::vector<AdmissionPlan::Claim*> AdmissionPlan::NegligibleClaims(
    const std::vector<Claim*>& peers, const std::string& scarce) const {
  double most = 0;
  for (const Claim* claim : peers) most = std::max(most, claim->CostAt(scarce));
  std::vector<Claim*> out;
  for (Claim* claim : peers) {
    if (claim->CostAt(scarce) <= options_.negligible_cost_ratio * most) {
      out.push_back(claim);
    }
  }
  return out;
}

// Grants routes of one rank their claims. While a service has no room for all,
// those that hardly need it are granted first; the rest is scaled down alike.
void AdmissionPlan::GrantClaims(std::vector<Claim*> peers, Slots& left) {
  while (!peers.empty()) {
    std::vector<Claim*> group = peers;
    double share = 1;
    std::string scarce = FindBottleneck(group, left, share);
    while (!scarce.empty()) {
      std::vector<Claim*> first = NegligibleClaims(group, scarce);
      if (first.empty() || first.size() == group.size()) break;
      group = std::move(first);
      scarce = FindBottleneck(group, left, share);
    }
    for (Claim* claim : group) {
      RoutePlan& plan = plans_[claim->route->name];
      plan.share = std::max(share, options_.min_share);
      plan.bound_by = scarce;
      for (const auto& [service, slots] : claim->slots) {
        auto room = left.find(service);
        if (room != left.end()) room->second -= slots * plan.share;
      }
      peers.erase(std::find(peers.begin(), peers.end(), claim));
    }
  }
}

void AdmissionPlan::Plan(const routes::RouteTable& routes, CostTable& costs,
                         Millis now) {
  UpdateFactors();
  Slots left;
  for (const auto& [service, room] : capacities_) {
    if (room.slots > 0) {
      left[service] =
          room.slots * options_.target_utilization * factors_[service];
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
  std::string scarce = FindBottleneck(all, left, share);
  std::map<int, std::vector<Claim*>> by_rank;
  for (Claim* claim : all) {
    by_rank[EffectivePriority(*claim, all, scarce)].push_back(claim);
  }
  if (plans_.size() > kMaxPlans) plans_.clear();  // of routes long gone
  for (auto& [name, plan] : plans_) plan.share = 1;
  for (auto& [rank, peers] : by_rank) GrantClaims(std::move(peers), left);
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
