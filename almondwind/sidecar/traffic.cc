#include "almondwind/sidecar/traffic.h"

namespace almondwind::sidecar {

using base::Millis;

namespace {
// Routes with a lower decayed request count are dropped from reports.
constexpr double kMinSeen = 0.3;
}  // namespace

Traffic::Traffic(const TrafficOptions& options, const base::Clock& clock)
    : options_(options),
      clock_(clock),
      tracker_(options.tracker),
      costs_(options.costs),
      plan_(options.admission),
      fleet_(options.fleet) {}

void Traffic::OnRunStarted(uint64_t run, const std::string& route,
                           base::RequestClass cls, Millis deadline) {
  tracker_.Start(run, route, cls, deadline);
}

void Traffic::OnRunEnded(uint64_t run, bool completed, Millis took) {
  tracker_.End(run, completed, took, clock_.Now());
}

void Traffic::CountArrival(const std::string& route, bool orphan, Millis now) {
  if (arrivals_.size() >= kMaxRoutes && arrivals_.count(route) == 0) return;
  Arrivals& arrivals = arrivals_[route];
  arrivals.demand.Add(1, now, options_.demand_window);
  arrivals.seen.Add(1, now, options_.kind_window);
  arrivals.orphans.Add(orphan ? 1 : 0, now, options_.kind_window);
}

AdmissionDecision Traffic::Admit(const routes::Route& route, Millis deadline,
                                 Millis now) {
  AdmissionDecision decision;
  decision.cls = routes::ClassOf(route.priority);
  graph::ParentMatch match = tracker_.FindParent(route.name, deadline);
  CountArrival(route.name, match.orphan, now);
  graph::RouteKind kind = fleet_.KindOf(route.name);
  if (kind == graph::RouteKind::kCalled && !match.orphan) {
    tracker_.CountCall(route.name, deadline, now);
    decision.inner = true;
    decision.cls = match.cls;
    return decision;
  }
  if (kind == graph::RouteKind::kClients && !plan_.Admit(route.name)) {
    decision.retry_after = options_.retry_after;
  }
  return decision;
}

routes::RetryBudget::Costs Traffic::RetryCosts(const std::string& route,
                                               const std::string& service) {
  routes::RetryBudget::Costs out;
  if (table_ != nullptr) {
    for (const auto& [below, cost] :
         costs_.Lookup(route, service, *table_, clock_.Now())) {
      out.emplace_back(below, cost.requests);
    }
  }
  if (out.empty()) out.emplace_back(service, 1);
  return out;
}

void Traffic::Plan(const zones::Directory& directory,
                   const zones::EjectOptions& eject) {
  Millis now = clock_.Now();
  if (table_ == nullptr) return;
  UpdateDemand(now);
  std::map<std::string, graph::ServiceCapacity> rooms;
  for (const auto& [name, machine] : directory.machines()) {
    if (machine->leaving() || !machine->Usable(now, eject)) continue;
    const links::Load& load = machine->load();
    graph::ServiceCapacity& room = rooms[machine->entry().service];
    double slots = load.limit;
    double wait = load.wait_ms[base::Index(base::RequestClass::kNormal)];
    double sum = room.slots + slots;
    if (sum <= 0) continue;
    room.wait_ms = (room.wait_ms * room.slots + wait * slots) / sum;
    room.slot_ms = (room.slot_ms * room.slots + load.service_ms * slots) / sum;
    room.slots = sum;
  }
  plan_.SetCapacities(std::move(rooms));
  plan_.Plan(*table_, costs_, now);
}

void Traffic::OnReport(const std::string& node, const std::string& zone,
                       const peers::State& state) {
  Millis now = clock_.Now();
  fleet_.Report(node, zone, state.demand, now);
  costs_.Report(node, state.service, state.costs, now);
}

void Traffic::UpdateDemand(Millis now) {
  fleet_.Update(now);
  graph::AdmissionPlan::Demand demand;
  for (const auto& [route, total] : fleet_.totals()) {
    if (fleet_.KindOf(route) != graph::RouteKind::kClients) continue;
    demand.emplace_back(route, total.per_s);
  }
  plan_.SetDemand("fleet", demand, now);
}

void Traffic::FillReport(peers::State& state) {
  Millis now = clock_.Now();
  for (auto it = arrivals_.begin(); it != arrivals_.end();) {
    peers::RouteDemand row;
    row.route = it->first;
    row.per_s = it->second.demand.Value(now, options_.demand_window) * 1000 /
                static_cast<double>(options_.demand_window.count());
    row.seen = it->second.seen.Value(now, options_.kind_window);
    row.orphans = it->second.orphans.Value(now, options_.kind_window);
    if (row.seen < kMinSeen) {
      it = arrivals_.erase(it);
      continue;
    }
    state.demand.push_back(std::move(row));
    ++it;
  }
  state.costs = tracker_.Costs(now);
}

graph::Costs Traffic::CostsOf(const std::string& route,
                              const std::string& service) {
  if (table_ == nullptr) return {};
  return costs_.Lookup(route, service, *table_, clock_.Now());
}

}  // namespace almondwind::sidecar
