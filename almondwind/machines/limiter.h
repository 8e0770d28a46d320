// Concurrency limits: how many runs an upstream may have in progress.
//
// A Limiter starts from the number of slots that the upstream publishes and
// adapts it to the latencies and refusals that the gate observes. It never
// queries health or load endpoints. Not thread-safe; the gate owns it.
#ifndef ALMONDWIND_MACHINES_LIMITER_H_
#define ALMONDWIND_MACHINES_LIMITER_H_

#include <memory>
#include <string>

#include "almondwind/base/clock.h"

namespace almondwind::machines {

// Observation of one ended run.
struct RunSample {
  base::Millis now{0};
  base::Millis latency{0};
  bool shed = false;       // the upstream refused it for load
  bool saturated = false;  // runs in progress were at the limit when it ended
};

class Limiter {
 public:
  virtual ~Limiter() = default;
  virtual int limit() const = 0;
  virtual void OnRunEnd(const RunSample& sample) = 0;
};

// Always returns the published number of slots.
class FixedLimiter : public Limiter {
 public:
  explicit FixedLimiter(int slots) : slots_(slots) {}
  int limit() const override { return slots_; }
  void OnRunEnd(const RunSample&) override {}

 private:
  int slots_;
};

// Additive increase up to the published slots, multiplicative decrease when the
// upstream itself sheds load (AIMD; Chiu and Jain, 1989). An upstream that
// publishes too many slots sheds, which lowers its limit to what it can serve.
class ShedLimiter : public Limiter {
 public:
  explicit ShedLimiter(int slots) : slots_(slots), limit_(slots) {}
  int limit() const override;
  void OnRunEnd(const RunSample& sample) override;

 private:
  int slots_;
  double limit_;
  base::Millis last_cut_{0};
};

// Estimates the real number of slots of an upstream that queues internally
// instead of shedding, where the published number may be too high or too low.
// For each measurement window that was mostly saturated, compares the mean
// latency with the smoothed latency of unsaturated windows: grows the limit by
// one while it stays near that baseline, and shrinks it when it is much higher.
// Window-based hill climbing; compare adaptive concurrency limits (Netflix,
// 2018).
class ThroughputLimiter : public Limiter {
 public:
  ThroughputLimiter(int slots, int connections)
      : slots_(slots), max_(connections), limit_(slots) {}
  int limit() const override;
  void OnRunEnd(const RunSample& sample) override;

 private:
  void CloseWindow(const RunSample& sample);

  int slots_;
  int max_;
  double limit_;
  base::Millis window_start_{0};
  int window_runs_ = 0;
  int window_saturated_ = 0;
  double window_latency_ = 0;
  double base_latency_ = 0;  // smoothed, of unsaturated windows
};

// Returns `percent` of `slots`, at least one. An upstream that slows down when
// nearly all of its slots are taken completes more with a few slots left free.
int UsableSlots(int slots, int percent);

// Returns the limiter called `name`: "fixed", "shed" or "throughput". The
// policy check rejects all other names.
std::unique_ptr<Limiter> MakeLimiter(const std::string& name, int slots,
                                     int connections);

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_LIMITER_H_
