// A count that decays exponentially: an amount added t milliseconds ago weighs
// exp(-t / window).
//
//   DecayingCount requests;
//   requests.Add(1, now, window);
//   double recent = requests.Value(now, window);  // of about the last window
//
// Holds two words; each call computes one exponential. The caller passes the
// window on each call, so that one setting can serve many counts. Not
// thread-safe.
#ifndef ALMONDWIND_BASE_FADING_H_
#define ALMONDWIND_BASE_FADING_H_

#include <cmath>

#include "almondwind/base/clock.h"

namespace almondwind::base {

class DecayingCount {
 public:
  double Value(Millis now, Millis window) const {
    auto age = static_cast<double>((now - updated_at_).count());
    return value_ * std::exp(-age / static_cast<double>(window.count()));
  }
  void Add(double amount, Millis now, Millis window) {
    value_ = Value(now, window) + amount;
    updated_at_ = now;
  }

 private:
  double value_ = 0;
  Millis updated_at_{0};
};

}  // namespace almondwind::base

#endif  // ALMONDWIND_BASE_FADING_H_
