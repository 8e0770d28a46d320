// Limits on how many requests an upstream works on at once.
//
// A Limiter starts from the slots that the upstream's owner publishes and
// adapts to what the gate itself sees; health and load endpoints are never
// asked. All spans are milliseconds. Not thread-safe; the gate owns it.
#ifndef ALMONDWIND_MACHINES_LIMITER_H_
#define ALMONDWIND_MACHINES_LIMITER_H_

#include <memory>
#include <string>

#include "almondwind/base/clock.h"

namespace almondwind::machines {

// What the end of a run tells a limiter.
struct RunSample {
  base::Millis now{0};
  base::Millis latency{0};
  bool shed = false;       // the upstream refused it for load
  bool saturated = false;  // the limit was reached when it ended
};

class Limiter {
 public:
  virtual ~Limiter() = default;
  virtual int limit() const = 0;
  virtual void OnRunEnd(const RunSample& sample) = 0;
};

// The published slots, whatever happens.
class FixedLimiter : public Limiter {
 public:
  explicit FixedLimiter(int slots) : slots_(slots) {}
  int limit() const override { return slots_; }
  void OnRunEnd(const RunSample&) override {}

 private:
  int slots_;
};

// Additive increase towards the slots, multiplicative decrease when the
// upstream itself sheds (Chiu and Jain, 1989). The published slots bound it
// from above; an upstream that publishes too many sheds, and is found out.
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

// Follows throughput: shrinks while a smaller limit completes as much, and
// grows while a larger one completes more. Finds the real number of slots
// where the published one is wrong in either direction and the upstream
// queues inside instead of shedding. Window-based hill climbing; compare
// adaptive concurrency limits (Netflix, 2018).
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
  double base_latency_ = 0;  // smoothed, of windows below saturation
};

// Returns how many of an upstream's slots to use, at least one. Upstreams that
// slow down when nearly full finish more with a few slots left free.
int UsableSlots(int slots, int percent);

// Returns the limiter called `name` ("fixed", "shed", "throughput"); the
// policy check has refused all other names.
std::unique_ptr<Limiter> MakeLimiter(const std::string& name, int slots,
                                     int connections);

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_LIMITER_H_
