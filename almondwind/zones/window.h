// Limit on the requests of one route that an entry node has in progress.
//
// A deep service at its limit refuses calls for which the layers above have
// already worked. The window moves that refusal to the entry: it follows what
// the whole chain below completes, like a congestion window (Jacobson, 1988)
// with an explicit signal (compare Breakwater, OSDI 2020). A refusal for load
// anywhere below cuts it. A completed request moves it by the queue wait that
// its chain reports: up while that is below the target, down while above
// (compare TCP Vegas, 1994), and up fast while there is no queue at all, so
// that service is back as soon as the strain ends.
//
// Classes share the window, each up to its share of it; critical requests
// pass always, for only a gate may refuse these. Not thread-safe.
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
  // Queue wait in the chain that the window aims at. Zero: only refusals cut.
  base::Millis target{15};
  // At most one cut in this time, so that one burst of refusals counts once.
  base::Millis cut_interval{20};
};

class Window {
 public:
  explicit Window(const WindowOptions& options)
      : options_(options), size_(options.start) {}

  // Whether a request of `cls` may enter now; counts it if so.
  bool Enter(base::RequestClass cls);
  // A request that entered has ended. `refused_below`: for load, anywhere in
  // the chain. `wait`: the longest queue wait that the chain reports.
  void Leave(bool refused_below, base::Millis wait, base::Millis now);

  double size() const { return size_; }
  int in_progress() const { return in_progress_; }

 private:
  double SizeChange(base::Millis wait) const;

  WindowOptions options_;
  double size_;
  int in_progress_ = 0;
  base::Millis last_cut_{0};
};

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_WINDOW_H_
