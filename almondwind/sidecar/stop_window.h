// Tells which requests a node that stops still passes on.
//
// A request that runs when the stop ends is cut off, and its caller does not
// learn whether it ran. In the first half of the stop all requests are passed
// on, since hardly any takes the other half. Later only those are that end
// before the stop does, whatever happens, because their deadline comes first.
// The others are to be refused as not run.
//
//   window.Begin(now, length);
//   if (!window.Admits(now, deadline)) Refuse();
#ifndef ALMONDWIND_SIDECAR_STOP_WINDOW_H_
#define ALMONDWIND_SIDECAR_STOP_WINDOW_H_

#include "almondwind/base/clock.h"

namespace almondwind::sidecar {

class StopWindow {
 public:
  // The stop begins, and ends after `length` at the latest.
  void Begin(base::Millis now, base::Millis length) {
    begun_ = true;
    half_ = now + length / 2;
    end_ = now + length;
  }
  // Whether a request that ends by `deadline` may be passed on.
  bool Admits(base::Millis now, base::Millis deadline) const {
    return !begun_ || now < half_ || deadline <= end_;
  }
  base::Millis end() const { return end_; }

 private:
  bool begun_ = false;
  base::Millis half_{0};
  base::Millis end_{0};
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_STOP_WINDOW_H_
