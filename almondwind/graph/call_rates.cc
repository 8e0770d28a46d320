#include "almondwind/graph/call_rates.h"

#include <algorithm>
#include <cmath>

namespace almondwind::graph {

using base::Millis;

namespace {
// Coordinate descent on a few routes settles within these sweeps.
constexpr int kSweeps = 40;
// Keeps rates of routes that hardly run from growing out of noise: the weight
// of one window in which one run lasted as long.
constexpr double kRidgeMs = 60;
// Sums below this share of one call are dropped.
constexpr double kForget = 1e-3;
}  // namespace

void CallRates::Integrate(Millis now) {
  for (auto& [route, running] : running_) {
    running.run_ms += running.runs *
                      static_cast<double>((now - running.since).count());
    running.since = now;
  }
}

void CallRates::Advance(Millis now) {
  if (window_start_ == Millis(0)) window_start_ = now;
  if (now - window_start_ < options_.window) return;
  Integrate(now);
  CloseWindow(now);
}

void CallRates::Fade(double factor) {
  for (auto& [pair, value] : products_) value *= factor;
  for (auto& [callee, by_route] : sums_) {
    for (auto& [route, value] : by_route) value *= factor;
  }
}

void CallRates::CloseWindow(Millis now) {
  auto span = static_cast<double>((now - window_start_).count());
  Fade(std::exp(-span / static_cast<double>(options_.memory.count())));
  for (const auto& [a, first] : running_) {
    if (first.run_ms <= 0) continue;
    for (const auto& [b, second] : running_) {
      if (second.run_ms > 0) products_[{a, b}] += first.run_ms * second.run_ms;
    }
    for (const auto& [callee, count] : calls_) {
      sums_[callee][a] += count * first.run_ms;
    }
  }
  for (auto it = running_.begin(); it != running_.end();) {
    it->second.run_ms = 0;
    it = it->second.runs == 0 ? running_.erase(it) : std::next(it);
  }
  calls_.clear();
  window_start_ = now;
}

void CallRates::Start(const std::string& route, Millis now) {
  Advance(now);
  if (running_.size() >= kMaxRoutes && running_.count(route) == 0) return;
  auto [it, fresh] = running_.try_emplace(route);
  if (fresh) it->second.since = now;
  Integrate(now);
  ++it->second.runs;
}

void CallRates::End(const std::string& route, Millis now) {
  Advance(now);
  auto it = running_.find(route);
  if (it == running_.end()) return;
  Integrate(now);
  it->second.runs = std::max(0, it->second.runs - 1);
}

void CallRates::Call(const std::string& callee, Millis now) {
  Advance(now);
  if (sums_.size() >= kMaxCalled && sums_.count(callee) == 0) return;
  calls_[callee] += 1;
}

void CallRates::Solve(Millis now) {
  Advance(now);
  rates_.clear();
  for (auto it = sums_.begin(); it != sums_.end();) {
    auto& [callee, by_route] = *it;
    std::map<std::string, double> rate;
    for (int sweep = 0; sweep < kSweeps; ++sweep) {
      for (const auto& [route, sum] : by_route) {
        auto own = products_.find({route, route});
        if (own == products_.end()) continue;
        double rest = sum;
        for (const auto& [other, value] : rate) {
          if (other == route) continue;
          auto both = products_.find({route, other});
          if (both != products_.end()) rest -= both->second * value;
        }
        rate[route] = std::max(0.0, rest / (own->second + kRidgeMs * kRidgeMs));
      }
    }
    double most = 0;
    for (const auto& [route, sum] : by_route) most = std::max(most, sum);
    for (const auto& [route, value] : rate) rates_[route][callee] = value;
    it = most < kForget ? sums_.erase(it) : std::next(it);
  }
  for (auto it = products_.begin(); it != products_.end();) {
    it = it->second < kForget ? products_.erase(it) : std::next(it);
  }
}

double CallRates::PerMs(const std::string& route,
                        const std::string& callee) const {
  auto it = rates_.find(route);
  if (it == rates_.end()) return 0;
  auto found = it->second.find(callee);
  return found == it->second.end() ? 0 : found->second;
}

}  // namespace almondwind::graph
