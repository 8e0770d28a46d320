#include "almondwind/graph/run_tracker.h"

#include <algorithm>

namespace almondwind::graph {

using base::Millis;

namespace {

// How much more likely a run with the call's own deadline is its parent than
// another run of the same route.
constexpr double kExactWeight = 20;

// Completed runs after which failed ones teach nothing more.
constexpr int kEnoughSamples = 30;

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
  stats.runs.Add(1, now, options_.memory);
  Learn(completed ? stats.completed : stats.failed, ended, took);
}

void RunTracker::Learn(Means& means, const Run& run, Millis took) const {
  ++means.samples;
  double weight = Weight(options_.smoothing, means.samples);
  means.slot_ms += weight * (static_cast<double>(took.count()) - means.slot_ms);
  weight = Weight(options_.net_smoothing, means.samples);
  for (const auto& [callee, count] : run.net) means.net[callee];
  for (auto& [callee, mean] : means.net) {
    auto found = run.net.find(callee);
    double count = found == run.net.end() ? 0 : found->second;
    mean += weight * (count - mean);
  }
}

double RunTracker::RouteStats::Net(const std::string& callee) const {
  double most = 0;
  for (const Means* means : {&completed, &failed}) {
    if (means == &failed && completed.samples >= kEnoughSamples) continue;
    auto it = means->net.find(callee);
    if (it != means->net.end()) most = std::max(most, it->second);
  }
  return most;
}

Match RunTracker::Find(const std::string& route, Millis deadline) const {
  // A request is read later than it was sent, never earlier, so the deadline
  // computed from it errs to the late side.
  int64_t exact_until = (deadline + options_.early).count();
  Match match;
  const Run* best = nullptr;
  double best_weight = 0;
  for (auto it = by_deadline_.lower_bound((deadline - options_.late).count());
       it != by_deadline_.end(); ++it) {
    const Run& run = runs_.at(it->second);
    double weight = 0;
    auto stats = stats_.find(run.route);
    if (stats != stats_.end()) weight = stats->second.Net(route);
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

int RunTracker::Mark(const std::string& route, Millis from, Millis to,
                     int amount) {
  int marked = 0;
  for (auto it = by_deadline_.lower_bound(from.count());
       it != by_deadline_.end() && it->first <= to.count(); ++it) {
    runs_.at(it->second).net[route] += amount;
    ++marked;
  }
  return marked;
}

void RunTracker::Count(const std::string& route, Millis deadline, Millis now) {
  if (callees_.size() >= kMaxRoutes && callees_.count(route) == 0) return;
  Millis from = deadline - options_.late;
  Millis to = deadline + options_.early;
  Millis beside = options_.aside + (to - from);
  int exact = Mark(route, from, to, 1);
  int chance = Mark(route, from + beside, to + beside, -1);
  Callee& callee = callees_[route];
  callee.calls.Add(1, now, options_.memory);
  callee.net.Add(exact - chance, now, options_.memory);
}

// Calls of `callee` that a completed run makes, where `runs` is the number of
// all routes' runs.
double RunTracker::CallsOf(const RouteStats& stats, const std::string& callee,
                           double runs, Millis now) const {
  const Callee& of = callees_.at(callee);
  double calls = of.calls.Now(now, options_.memory);
  double net = of.net.Now(now, options_.memory);
  if (net < options_.min_exact * calls) return calls / std::max(1.0, runs);
  double own = stats.Net(callee);
  return own < options_.min_net ? 0 : own * std::max(1.0, calls / net);
}

std::vector<peers::RouteCost> RunTracker::Costs(Millis now) const {
  // Rarer routes weigh nothing in anybody's plan.
  constexpr double kMinRuns = 1;
  constexpr double kMinCalls = 0.02;
  double all = 0;
  for (const auto& [route, stats] : stats_) {
    all += stats.runs.Now(now, options_.memory);
  }
  std::vector<peers::RouteCost> out;
  for (const auto& [route, stats] : stats_) {
    double runs = stats.runs.Now(now, options_.memory);
    if (runs < kMinRuns) continue;
    peers::RouteCost cost;
    cost.route = route;
    const Means& means =
        stats.completed.samples > 0 ? stats.completed : stats.failed;
    cost.slot_ms = means.slot_ms;
    cost.runs_per_s =
        runs * 1000 / static_cast<double>(options_.memory.count());
    for (const auto& [callee, counts] : callees_) {
      double calls = CallsOf(stats, callee, all, now);
      if (calls >= kMinCalls) cost.calls.emplace_back(callee, calls);
    }
    out.push_back(std::move(cost));
  }
  return out;
}

}  // namespace almondwind::graph
