#include "almondwind/graph/admission.h"

#include <algorithm>
#include <limits>

namespace almondwind::graph {

using base::Millis;

namespace {
// A claim below this many slots does not bound anything.
constexpr double kMinSlots = 0.01;
}  // namespace

void AdmissionPlan::SetDemand(const std::string& node, const Demand& demand,
                              Millis now) {
  demand_[node] = {demand, now};
}

std::vector<AdmissionPlan::Claim> AdmissionPlan::Claims(
    const routes::RouteTable& routes, CostTable& costs, Millis now) {
  std::map<std::string, double> per_s;
  for (auto it = demand_.begin(); it != demand_.end();) {
    if (now - it->second.at > options_.demand_life) {
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
    for (const routes::Part& part : route->parts) total += part.weight;
    for (const routes::Part& part : route->parts) {
      double share = rate * part.weight / total / 1000;
      for (const auto& [service, cost] :
           costs.Of(name, part.service, routes, now)) {
        claim.slots[service] += share * cost.slot_ms;
      }
    }
    claims.push_back(std::move(claim));
  }
  return claims;
}

void AdmissionPlan::Correct() {
  for (const auto& [service, room] : rooms_) {
    double& factor = factors_.try_emplace(service, 1).first->second;
    double target =
        std::max(static_cast<double>(options_.wait_target.count()),
                 options_.wait_share * room.slot_ms);
    bool waits = room.wait_ms > target;
    factor = waits ? factor * options_.fall : factor + options_.rise;
    factor = std::clamp(factor, options_.min_factor, options_.max_factor);
  }
}

// Grants routes of one priority their claims, scaled down alike where a
// service has no room for all of them. A route that the scarce service does
// not bound is not scaled.
void AdmissionPlan::Grant(std::vector<Claim*> peers,
                          std::map<std::string, double>& left) {
  while (!peers.empty()) {
    std::map<std::string, double> wanted;
    for (const Claim* claim : peers) {
      for (const auto& [service, slots] : claim->slots) wanted[service] += slots;
    }
    std::string scarce;
    double share = 1;
    for (const auto& [service, slots] : wanted) {
      auto room = left.find(service);
      if (room == left.end() || slots < kMinSlots) continue;
      double fits = std::max(0.0, room->second) / slots;
      if (fits >= share) continue;
      share = fits;
      scarce = service;
    }
    std::vector<Claim*> rest;
    for (Claim* claim : peers) {
      auto at = claim->slots.find(scarce);
      bool bound = scarce.empty() ||
                   (at != claim->slots.end() && at->second >= kMinSlots);
      if (!bound) {
        rest.push_back(claim);
        continue;
      }
      RoutePlan& plan = plans_[claim->route->name];
      plan.share = share;
      plan.bound_by = scarce;
      for (const auto& [service, slots] : claim->slots) {
        auto room = left.find(service);
        if (room != left.end()) room->second -= slots * share;
      }
    }
    peers = std::move(rest);
  }
}

void AdmissionPlan::Plan(const routes::RouteTable& routes, CostTable& costs,
                         Millis now) {
  Correct();
  std::map<std::string, double> left;
  for (const auto& [service, room] : rooms_) {
    if (room.slots > 0) {
      left[service] = room.slots * options_.fill * factors_[service];
    }
  }
  std::vector<Claim> claims = Claims(routes, costs, now);
  wanted_.clear();
  for (const Claim& claim : claims) {
    for (const auto& [service, slots] : claim.slots) wanted_[service] += slots;
  }
  std::map<int, std::vector<Claim*>> by_priority;
  for (Claim& claim : claims) {
    by_priority[claim.route->priority].push_back(&claim);
  }
  for (auto& [name, plan] : plans_) plan.share = 1;
  for (auto& [priority, peers] : by_priority) Grant(std::move(peers), left);
}

bool AdmissionPlan::Enter(const std::string& route) {
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
