#include "almondwind/graph/run_tracker.h"

#include <algorithm>
#include <cmath>

namespace almondwind::graph {

using base::Millis;

namespace {

// Time over which runs a second are counted.
constexpr double kRateWindowMs = 2000;
// How much more likely a run with the call's own deadline is its parent than
// another run of the same route.
constexpr double kExactWeight = 20;
// The mean is taken over the first runs, then smoothed.
double Weight(double smoothing, int samples) {
  return std::max(smoothing, 1.0 / samples);
}

}  // namespace

void RunTracker::Start(uint64_t run, const std::string& route,
                       base::RequestClass cls, Millis deadline, Millis now) {
  rates_.Start(route, now);
  runs_[run] = {route, cls, deadline, {}};
  by_deadline_.emplace(deadline.count(), run);
}

double RunTracker::Decayed(const RouteStats& stats, Millis now) {
  auto age = static_cast<double>((now - stats.counted).count());
  return stats.runs * std::exp(-age / kRateWindowMs);
}

void RunTracker::End(uint64_t run, bool completed, Millis took, Millis now) {
  auto it = runs_.find(run);
  if (it == runs_.end()) return;
  Run ended = std::move(it->second);
  runs_.erase(it);
  rates_.End(ended.route, now);
  auto range = by_deadline_.equal_range(ended.deadline.count());
  for (auto d = range.first; d != range.second; ++d) {
    if (d->second != run) continue;
    by_deadline_.erase(d);
    break;
  }
  if (stats_.size() >= kMaxRoutes && stats_.count(ended.route) == 0) return;
  RouteStats& stats = stats_[ended.route];
  stats.runs = Decayed(stats, now) + 1;
  stats.counted = now;
  // A run that failed may have ended before its calls; its time says little.
  if (!completed && stats.samples > 0) return;
  ++stats.samples;
  double weight = Weight(options_.smoothing, stats.samples);
  stats.slot_ms +=
      weight * (static_cast<double>(took.count()) - stats.slot_ms);
}

Match RunTracker::Find(const std::string& route, Millis deadline) const {
  // A request is read later than it was sent, never earlier, so the deadline
  // computed from it errs to the late side.
  int64_t exact_until = (deadline + options_.early).count();
  Match match;
  const Run* best = nullptr;
  double best_weight = 0;
  int best_calls = 0;
  for (auto it =
           by_deadline_.lower_bound((deadline - options_.late).count());
       it != by_deadline_.end(); ++it) {
    const Run& run = runs_.at(it->second);
    double weight = rates_.PerMs(run.route, route);
    if (it->first <= exact_until) weight *= kExactWeight;
    auto made = run.calls.find(route);
    int calls = made == run.calls.end() ? 0 : made->second;
    bool better = best == nullptr || weight > best_weight ||
                  (weight == best_weight && calls < best_calls);
    if (!better) continue;
    best = &run;
    match.run = it->second;
    best_weight = weight;
    best_calls = calls;
  }
  if (best == nullptr) return match;
  match.orphan = false;
  match.cls = best->cls;
  return match;
}

void RunTracker::Count(const Match& match, const std::string& route,
                       Millis now) {
  rates_.Call(route, now);
  auto it = runs_.find(match.run);
  if (it != runs_.end()) ++it->second.calls[route];
}

std::vector<peers::RouteCost> RunTracker::Costs(Millis now) {
  rates_.Solve(now);
  // Rarer routes weigh nothing in anybody's plan.
  constexpr double kMinRuns = 0.5;
  constexpr double kMinCalls = 0.02;
  std::vector<peers::RouteCost> out;
  for (const auto& [route, stats] : stats_) {
    double runs = Decayed(stats, now);
    if (runs < kMinRuns) continue;
    peers::RouteCost cost;
    cost.route = route;
    cost.slot_ms = stats.slot_ms;
    cost.runs_per_s = runs * 1000 / kRateWindowMs;
    auto called = rates_.rates().find(route);
    if (called != rates_.rates().end()) {
      for (const auto& [callee, per_ms] : called->second) {
        double calls = per_ms * stats.slot_ms;
        if (calls >= kMinCalls) cost.calls.emplace_back(callee, calls);
      }
    }
    out.push_back(std::move(cost));
  }
  return out;
}

}  // namespace almondwind::graph
