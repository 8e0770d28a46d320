#include "almondwind/graph/run_tracker.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace almondwind::graph {

using base::Millis;

namespace {

// Time over which runs a second are counted.
constexpr double kRateWindowMs = 2000;
// The mean is taken over the first runs, then smoothed.
double Weight(double smoothing, int samples) {
  return std::max(smoothing, 1.0 / samples);
}

}  // namespace

void RunTracker::Start(uint64_t run, const std::string& route,
                       base::RequestClass cls, Millis deadline) {
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
  auto range = by_deadline_.equal_range(ended.deadline.count());
  for (auto d = range.first; d != range.second; ++d) {
    if (d->second != run) continue;
    by_deadline_.erase(d);
    break;
  }
  if (!completed) return;
  if (stats_.size() >= kMaxRoutes && stats_.count(ended.route) == 0) return;
  RouteStats& stats = stats_[ended.route];
  stats.runs = Decayed(stats, now) + 1;
  stats.counted = now;
  ++stats.samples;
  double weight = Weight(options_.smoothing, stats.samples);
  stats.slot_ms +=
      weight * (static_cast<double>(took.count()) - stats.slot_ms);
  for (const auto& [callee, count] : ended.calls) stats.calls[callee];
  for (auto& [callee, mean] : stats.calls) {
    auto found = ended.calls.find(callee);
    double count = found == ended.calls.end() ? 0 : found->second;
    mean += weight * (count - mean);
  }
}

std::unordered_map<uint64_t, RunTracker::Run>::iterator RunTracker::Nearest(
    Millis deadline) {
  // A request is read later than it was sent, never earlier, so the deadline
  // computed from it errs to the late side.
  auto low = by_deadline_.lower_bound((deadline - options_.late).count());
  auto best = runs_.end();
  int64_t best_distance = 0;
  for (; low != by_deadline_.end() &&
         low->first <= (deadline + options_.early).count();
       ++low) {
    int64_t distance = std::abs(low->first - deadline.count());
    if (best != runs_.end() && distance >= best_distance) continue;
    best = runs_.find(low->second);
    best_distance = distance;
  }
  return best;
}

std::optional<Parent> RunTracker::Match(const std::string& route,
                                        Millis deadline) {
  auto run = Nearest(deadline);
  if (agreement_.size() >= kMaxRoutes && agreement_.count(route) == 0) {
    return std::nullopt;
  }
  double& share = agreement_[route].share;
  bool agrees = run != runs_.end();
  share += options_.smoothing * ((agrees ? 1.0 : 0.0) - share);
  if (!agrees || share < options_.called_share) return std::nullopt;
  ++run->second.calls[route];
  return Parent{run->first, run->second.cls};
}

std::vector<peers::RouteCost> RunTracker::Costs(Millis now) const {
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
    for (const auto& [callee, mean] : stats.calls) {
      if (mean >= kMinCalls) cost.calls.emplace_back(callee, mean);
    }
    out.push_back(std::move(cost));
  }
  return out;
}

}  // namespace almondwind::graph
