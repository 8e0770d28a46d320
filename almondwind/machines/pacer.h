// Limits the rate at which a gate starts runs, by a token bucket.
//
// The pattern: an upstream in need states how many requests per second it
// takes. Concurrency does not bound a rate: fast runs free their slots soon.
// The bucket is small, so that the rate holds over any span of a second.
//
//   pacer.SetRate(20.3, now);
//   if (pacer.Ready(now)) { pacer.Take(now); Start(run); }
//
// At least kMinRate starts are allowed, also if the upstream states less: its
// responses alone tell when the limit ends.
//
// Cost: constant. Not thread-safe.
#ifndef ALMONDWIND_MACHINES_PACER_H_
#define ALMONDWIND_MACHINES_PACER_H_

#include <algorithm>
#include <optional>

#include "almondwind/base/clock.h"

namespace almondwind::machines {

class Pacer {
 public:
  // Starts per second that are always allowed.
  static constexpr double kMinRate = 0.5;
  // Capacity of the bucket, in seconds of the rate and at least one start.
  static constexpr double kBurstSeconds = 0.1;

  // nullopt: no limit. The bucket of a new limit is empty but for one start.
  void SetRate(std::optional<double> per_s, base::Millis now) {
    if (per_s) per_s = std::max(*per_s, kMinRate);
    if (!rate_) tokens_ = 1;
    Refill(now);
    rate_ = per_s;
    tokens_ = std::min(tokens_, Capacity());
  }
  const std::optional<double>& rate() const { return rate_; }

  bool Ready(base::Millis now) const {
    return !rate_ || TokensAt(now) >= 1 - kRounding;
  }
  void Take(base::Millis now) {
    if (!rate_) return;
    Refill(now);
    tokens_ -= 1;
  }
  // Returns the time until `starts` more runs can have started.
  base::Millis WaitFor(double starts, base::Millis now) const {
    if (!rate_) return base::Millis(0);
    double missing = std::max(0.0, starts - TokensAt(now) - kRounding);
    return base::Millis(static_cast<int64_t>(missing / *rate_ * 1000));
  }

 private:
  static constexpr double kRounding = 1e-6;

  double Capacity() const {
    return rate_ ? std::max(1.0, *rate_ * kBurstSeconds) : 1.0;
  }
  double TokensAt(base::Millis now) const {
    double elapsed = static_cast<double>((now - refilled_at_).count()) / 1000;
    return std::min(Capacity(), tokens_ + std::max(0.0, elapsed) * *rate_);
  }
  void Refill(base::Millis now) {
    if (rate_) tokens_ = TokensAt(now);
    refilled_at_ = now;
  }

  std::optional<double> rate_;
  double tokens_ = 1;
  base::Millis refilled_at_{0};
};

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_PACER_H_
