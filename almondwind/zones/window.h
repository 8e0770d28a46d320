// Congestion window: limits the requests of one route that an entry node has in
// progress.
//
// When a service deep in the call chain refuses a call for load, the work that
// the services above it have done for the request is wasted. The window moves
// the refusal to the entry node. It adapts to the capacity of the whole chain
// like a TCP congestion window (Jacobson, 1988), with explicit overload signals
// (compare Breakwater, OSDI 2020):
//   - a refusal for load anywhere in the chain shrinks the window;
//   - a completed request grows the window while the queue wait reported by the
//     chain is below the target, and shrinks it while the wait is above
//     (compare TCP Vegas, 1994);
//   - while no queue is reported, each completed request grows the window by
//     one, so that full throughput returns soon after an overload ends.
//
// Each class may fill a share of the window. Critical requests are counted but
// always enter, because only a gate may refuse them. Not thread-safe.
#ifndef ALMONDWIND_ZONES_WINDOW_H_
#define ALMONDWIND_ZONES_WINDOW_H_

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"

namespace almondwind::zones {

struct WindowOptions {
  double start = 64;  // requests
  double min = 1;     // requests
  double max = 4096;  // requests
  int shrink_percent = 10;
  // Target queue wait in the chain. Zero: only refusals shrink the window.
  base::Millis target{15};
  // Minimum time between two reductions after refusals, so that one burst of
  // refusals shrinks the window only once.
  base::Millis cut_interval{20};
};

class Window {
 public:
  explicit Window(const WindowOptions& options)
      : options_(options), size_(options.start) {}

  // Returns whether a request of class `cls` may enter now, and counts it as in
  // progress if so.
  bool Enter(base::RequestClass cls);
  // Records the end of a request that entered. `refused_below` is whether it
  // was refused for load anywhere in the chain; `wait` is the longest queue
  // wait that the chain reported.
  void Leave(bool refused_below, base::Millis wait, base::Millis now);

  double size() const { return size_; }
  int in_progress() const { return in_progress_; }

 private:
  // Returns the change of the size for one completed request.
  double SizeChange(base::Millis wait) const;

  WindowOptions options_;
  double size_;
  int in_progress_ = 0;
  base::Millis last_cut_{0};
};

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_WINDOW_H_
