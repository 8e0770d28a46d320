#include "almondwind/graph/run_tracker.h"

#include <algorithm>

namespace almondwind::graph {

using base::Millis;

namespace {

// How many times likelier a run with the same deadline as the call is its
// parent than another run of the same route.
constexpr double kExactWeight = 20;

// Number of completed runs from which failed runs are no longer considered.
constexpr int kEnoughCompleted = 30;

// Returns the weight of the newest of `samples` runs: that of a plain mean over
// the first runs, that of exponential smoothing afterwards.
double Weight(double smoothing, int samples) {
  return std::max(smoothing, 1.0 / samples);
}

}  // namespace

void RunTracker::Start(uint64_t run, const std::string& route,
                       base::RequestClass cls, Millis deadline) {
  runs_[run] = {route, cls, deadline, {}};
  by_deadline_.emplace(deadline.count(), run);
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
  if (stats_.size() >= kMaxRoutes && stats_.count(ended.route) == 0) return;
  RouteStats& stats = stats_[ended.route];
  stats.runs.Add(1, now, options_.decay_window);
  UpdateMeans(completed ? stats.completed : stats.failed, ended, took);
}

void RunTracker::UpdateMeans(Means& means, const Run& run, Millis took) const {
  ++means.samples;
  double weight = Weight(options_.smoothing, means.samples);
  means.slot_ms += weight * (static_cast<double>(took.count()) - means.slot_ms);
  weight = Weight(options_.excess_smoothing, means.samples);
  for (const auto& [callee, count] : run.excess) means.excess[callee];
  for (auto& [callee, mean] : means.excess) {
    auto found = run.excess.find(callee);
    double count = found == run.excess.end() ? 0 : found->second;
    mean += weight * (count - mean);
  }
}

double RunTracker::RouteStats::ExcessCalls(const std::string& callee) const {
  double highest = 0;
  for (const Means* means : {&completed, &failed}) {
    if (means == &failed && completed.samples >= kEnoughCompleted) continue;
    auto it = means->excess.find(callee);
    if (it != means->excess.end()) highest = std::max(highest, it->second);
  }
  return highest;
}

ParentMatch RunTracker::FindParent(const std::string& route,
                                   Millis deadline) const {
  // A request is read after it was sent, so a deadline computed from its
  // remaining time can only be too late, except for rounding.
  int64_t exact_until = (deadline + options_.max_early).count();
  ParentMatch match;
  const Run* best = nullptr;
  double best_weight = 0;
  for (auto it =
           by_deadline_.lower_bound((deadline - options_.max_late).count());
       it != by_deadline_.end(); ++it) {
    const Run& run = runs_.at(it->second);
    double weight = 0;
    auto stats = stats_.find(run.route);
    if (stats != stats_.end()) weight = stats->second.ExcessCalls(route);
    if (it->first <= exact_until) weight *= kExactWeight;
    if (best != nullptr && weight <= best_weight) continue;
    best = &run;
    match.run = it->second;
    best_weight = weight;
  }
  if (best == nullptr) return match;
  match.orphan = false;
  match.cls = best->cls;
  return match;
}

int RunTracker::AddToRuns(const std::string& route, Millis from, Millis to,
                          int amount) {
  int matches = 0;
  for (auto it = by_deadline_.lower_bound(from.count());
       it != by_deadline_.end() && it->first <= to.count(); ++it) {
    runs_.at(it->second).excess[route] += amount;
    ++matches;
  }
  return matches;
}

void RunTracker::CountCall(const std::string& route, Millis deadline,
                           Millis now) {
  if (callees_.size() >= kMaxRoutes && callees_.count(route) == 0) return;
  Millis from = deadline - options_.max_late;
  Millis to = deadline + options_.max_early;
  Millis control_offset = options_.control_gap + (to - from);
  int exact = AddToRuns(route, from, to, 1);
  int chance = AddToRuns(route, from + control_offset, to + control_offset, -1);
  Callee& callee = callees_[route];
  callee.calls.Add(1, now, options_.decay_window);
  callee.excess.Add(exact - chance, now, options_.decay_window);
}

// Returns the calls of `callee` that a completed run makes, where `runs` is the
// number of runs of all routes.
double RunTracker::CallsPerRun(const RouteStats& stats,
                               const std::string& callee, double runs,
                               Millis now) const {
  const Callee& counts = callees_.at(callee);
  double calls = counts.calls.Value(now, options_.decay_window);
  double excess = counts.excess.Value(now, options_.decay_window);
  if (excess < options_.min_exact_share * calls) {
    return calls / std::max(1.0, runs);
  }
  double own_calls = stats.ExcessCalls(callee);
  return own_calls < options_.min_excess
             ? 0
             : own_calls * std::max(1.0, calls / excess);
}

std::vector<peers::RouteCost> RunTracker::Costs(Millis now) const {
  // Rarer routes and calls are left out; they do not affect any node's plan.
  constexpr double kMinRuns = 1;
  constexpr double kMinCalls = 0.02;
  double all = 0;
  for (const auto& [route, stats] : stats_) {
    all += stats.runs.Value(now, options_.decay_window);
  }
  std::vector<peers::RouteCost> out;
  for (const auto& [route, stats] : stats_) {
    double runs = stats.runs.Value(now, options_.decay_window);
    if (runs < kMinRuns) continue;
    peers::RouteCost cost;
    cost.route = route;
    const Means& means =
        stats.completed.samples > 0 ? stats.completed : stats.failed;
    cost.slot_ms = means.slot_ms;
    cost.runs_per_s =
        runs * 1000 / static_cast<double>(options_.decay_window.count());
    for (const auto& [callee, counts] : callees_) {
      double calls = CallsPerRun(stats, callee, all, now);
      if (calls >= kMinCalls) cost.calls.emplace_back(callee, calls);
    }
    out.push_back(std::move(cost));
  }
  return out;
}

}  // namespace almondwind::graph
