#include "almondwind/sidecar/traffic.h"

#include <algorithm>
#include <cmath>

namespace almondwind::sidecar {

using base::Millis;

namespace {
// Routes asked for less often are left out of reports.
constexpr double kMinRate = 0.05;
}  // namespace

Traffic::Traffic(const TrafficOptions& options)
    : options_(options),
      tracker_(options.tracker),
      costs_(options.costs),
      plan_(options.admission) {}

void Traffic::OnRunStarted(uint64_t run, const std::string& route,
                           base::RequestClass cls, Millis deadline) {
  tracker_.Start(run, route, cls, deadline);
}

void Traffic::OnRunEnded(uint64_t run, bool completed, Millis took) {
  tracker_.End(run, completed, took, now_);
}

double Traffic::RateNow(const Rate& rate, Millis now) const {
  double age = static_cast<double>((now - rate.at).count());
  return rate.per_s *
         std::exp(-age / static_cast<double>(options_.demand_window.count()));
}

void Traffic::Count(const std::string& route, Millis now) {
  if (demand_.size() >= kMaxRoutes && demand_.count(route) == 0) return;
  Rate& rate = demand_[route];
  double window_s = static_cast<double>(options_.demand_window.count()) / 1000;
  rate.per_s = RateNow(rate, now) + 1 / window_s;
  rate.at = now;
}

Entry Traffic::Enter(const routes::Route& route, Millis deadline, Millis now) {
  now_ = now;
  Entry entry;
  entry.cls = routes::ClassOf(route.priority);
  if (auto parent = tracker_.Match(route.name, deadline)) {
    entry.inner = true;
    entry.cls = parent->cls;
    return entry;
  }
  Count(route.name, now);
  if (!plan_.Enter(route.name)) entry.come_back = options_.come_back;
  return entry;
}

routes::RetryBudget::Costs Traffic::RepeatCosts(const std::string& route,
                                                const std::string& service) {
  routes::RetryBudget::Costs out;
  if (table_ != nullptr) {
    for (const auto& [below, cost] :
         costs_.Of(route, service, *table_, now_)) {
      out.emplace_back(below, cost.requests);
    }
  }
  if (out.empty()) out.emplace_back(service, 1);
  return out;
}

void Traffic::Plan(const zones::Directory& directory,
                   const zones::EjectOptions& eject, Millis now) {
  now_ = now;
  if (table_ == nullptr) return;
  std::map<std::string, graph::Room> rooms;
  for (const auto& [name, machine] : directory.machines()) {
    if (machine->leaving() || !machine->Usable(now, eject)) continue;
    const links::Load& load = machine->load();
    graph::Room& room = rooms[machine->entry().service];
    double slots = load.limit;
    double wait = load.wait_ms[base::Index(base::RequestClass::kNormal)];
    double sum = room.slots + slots;
    if (sum <= 0) continue;
    room.wait_ms = (room.wait_ms * room.slots + wait * slots) / sum;
    room.slot_ms = (room.slot_ms * room.slots + load.service_ms * slots) / sum;
    room.slots = sum;
  }
  plan_.SetRooms(std::move(rooms));
  plan_.Plan(*table_, costs_, now);
}

void Traffic::OnReport(const std::string& node, const peers::State& state,
                       Millis now) {
  now_ = now;
  plan_.SetDemand(node, state.demand, now);
  costs_.Report(node, state.service, state.costs, now);
}

void Traffic::Fill(peers::State& state, Millis now) {
  for (auto it = demand_.begin(); it != demand_.end();) {
    double rate = RateNow(it->second, now);
    if (rate < kMinRate) {
      it = demand_.erase(it);
      continue;
    }
    state.demand.emplace_back(it->first, rate);
    ++it;
  }
  state.costs = tracker_.Costs(now);
}

}  // namespace almondwind::sidecar
