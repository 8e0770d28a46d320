#include "almondwind/machines/limiter.h"

#include <algorithm>
#include <cmath>

namespace almondwind::machines {
namespace {

constexpr double kDecreaseFactor = 0.8;
constexpr base::Millis kMinDecreaseInterval{50};
constexpr double kIncreasePerRun = 0.1;
constexpr base::Millis kMinWindowLength{200};
constexpr int kMinWindowRuns = 10;
// A saturated upstream is assumed to queue internally when its latency exceeds
// the unsaturated baseline by this factor.
constexpr double kQueueingRatio = 1.5;
constexpr double kQueueingDecreaseFactor = 0.95;

}  // namespace

int ShedLimiter::limit() const {
  return std::max(1, static_cast<int>(std::floor(limit_)));
}

void ShedLimiter::OnRunEnd(const RunSample& sample) {
  if (sample.shed) {
    if (sample.now - last_cut_ < kMinDecreaseInterval) return;
    last_cut_ = sample.now;
    limit_ = std::max(1.0, limit_ * kDecreaseFactor);
    return;
  }
  double step = sample.saturated ? kIncreasePerRun : 0;
  limit_ = std::min<double>(slots_, limit_ + step);
}

int ThroughputLimiter::limit() const {
  return std::max(1, static_cast<int>(std::floor(limit_)));
}

void ThroughputLimiter::OnRunEnd(const RunSample& sample) {
  if (sample.shed) {
    limit_ = std::max(1.0, limit_ * kDecreaseFactor);
    return;
  }
  ++window_runs_;
  window_saturated_ += sample.saturated ? 1 : 0;
  window_latency_ += static_cast<double>(sample.latency.count());
  bool due = sample.now - window_start_ >= kMinWindowLength;
  if (due && window_runs_ >= kMinWindowRuns) CloseWindow(sample);
}

void ThroughputLimiter::CloseWindow(const RunSample& sample) {
  double latency = window_latency_ / window_runs_;
  bool saturated = window_saturated_ * 2 > window_runs_;
  if (!saturated || base_latency_ == 0) {
    base_latency_ =
        base_latency_ == 0 ? latency : 0.8 * base_latency_ + 0.2 * latency;
  } else if (latency > kQueueingRatio * base_latency_) {
    // At least half of the published slots: a temporary slowdown cannot be told
    // from internal queueing, and a lower limit would then reduce goodput.
    limit_ = std::max(limit_ * kQueueingDecreaseFactor, slots_ * 0.5);
  } else {
    limit_ = std::min<double>(max_, limit_ + 1);
  }
  window_start_ = sample.now;
  window_runs_ = 0;
  window_saturated_ = 0;
  window_latency_ = 0;
}

int UsableSlots(int slots, int percent) {
  return std::max(1, slots * percent / 100);
}

std::unique_ptr<Limiter> MakeLimiter(const std::string& name, int slots,
                                     int connections) {
  if (name == "fixed") return std::make_unique<FixedLimiter>(slots);
  if (name == "throughput") {
    return std::make_unique<ThroughputLimiter>(slots, connections);
  }
  return std::make_unique<ShedLimiter>(slots);
}

}  // namespace almondwind::machines
