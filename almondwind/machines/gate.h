// Admission control in front of one upstream: decides which runs start, which
// wait in a queue, and which are refused.
//
// All work of an upstream passes its gate, so the concurrency limit, the
// queue, draining and the order of refusal are decided in one place.
//
//   gate.Offer(run, now);          // starts, queues or refuses the run
//   gate.End(*run, ended, now);    // a run has ended; starts the next one
//   gate.Tick(now);                // every few ms: refuses overdue runs
//
// Order of refusal: before the gate refuses a run for load, it evicts all
// queued runs of lower classes. It also raises the floor to the class of the
// refused run, which keeps lower classes out until the expected wait of that
// class has dropped to half of its maximum. So a gate never refuses a class for
// load while it holds or admits a lower one.
//
// Bounds: each queue is bounded by waiting time (GateOptions::max_queue_wait,
// per class) and by length (GateOptions::queue_entries). A run that arrives
// when either bound is reached is refused. Offer and End take amortized
// constant time: each run is evicted at most once.
//
// Not thread-safe; callers must serialize access. Events are called
// synchronously.
#ifndef ALMONDWIND_MACHINES_GATE_H_
#define ALMONDWIND_MACHINES_GATE_H_

#include <array>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/links/message.h"
#include "almondwind/machines/limiter.h"
#include "almondwind/machines/pacer.h"
#include "almondwind/machines/request.h"

namespace almondwind::machines {

struct GateOptions {
  std::string limiter = "shed";
  // Maximum wait in the queue, per class.
  std::array<base::Millis, base::kClassCount> max_queue_wait = {
      base::Millis(400), base::Millis(60), base::Millis(40), base::Millis(20)};
  size_t queue_entries = 4096;
  // Slow start of a cold upstream: its limit starts at `ramp_start_percent` of
  // the full value and rises linearly to the full value within `ramp`.
  base::Millis ramp{2000};
  int ramp_start_percent = 20;
  // Whether each class has a queue of its own. If false, all requests share
  // the queue and the maximum wait of the class normal.
  bool separate_classes = true;
  // Whether queued runs of lower classes are evicted before a class is refused.
  // Disabled where admission is decided at the entry node: the runs queued here
  // then belong to requests that are already admitted, and evicting them would
  // waste the work done for these.
  bool evict = true;
};

class GateEvents {
 public:
  virtual ~GateEvents() = default;
  // The gate has admitted `run`; the implementation sends it to the upstream.
  virtual void Start(Run& run) = 0;
  // The gate has refused `run`: it was not run and never will be.
  virtual void Refused(Run& run, base::Reason reason) = 0;
};

// Result of a run at the upstream.
struct RunEnd {
  bool shed = false;  // the upstream refused the run for load
};

class Gate {
 public:
  // `slots` and `connections` are the numbers that the upstream publishes.
  Gate(int slots, int connections, GateOptions options, GateEvents& events);
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;
  ~Gate();

  // Starts, queues or refuses a new run.
  void Offer(const RunPtr& run, base::Millis now);
  // Records that the upstream has ended a started run; starts queued runs.
  void End(Run& run, RunEnd end, base::Millis now);
  // Refuses `run` if it is still queued. Returns whether it was.
  bool Withdraw(Run& run, base::Reason reason, base::Millis now);
  // Refuses runs that have waited too long, and starts queued runs.
  void Tick(base::Millis now);
  // Starts draining: new runs are refused, running and queued runs continue.
  void Leave();
  // Refuses all queued runs.
  void RefuseQueued(base::Reason reason, base::Millis now);
  // Stops draining and admits runs again. If `cold`, the limit is ramped up.
  void Join(base::Millis now, bool cold);
  // Limits the runs that start per second; nullopt: no limit.
  void SetRate(std::optional<double> per_s, base::Millis now) {
    pacer_.SetRate(per_s, now);
  }
  // Replaces the options. Runs in progress are not affected.
  void Configure(const GateOptions& options);

  bool leaving() const { return leaving_; }
  int in_progress() const { return static_cast<int>(running_.size()); }
  size_t queued() const;
  size_t queued(base::RequestClass cls) const {
    return queues_[base::Index(cls)].size();
  }
  // Returns the current limit on runs in progress, reduced during a ramp.
  int Limit(base::Millis now) const;
  // Returns the expected queue wait of a new run of class `cls`.
  base::Millis ExpectedWait(base::RequestClass cls, base::Millis now) const;
  // Returns the load report that is sent to routers with each answer.
  links::Load CurrentLoad(base::Millis now) const;
  // Returns the number of refusals by reason.
  const std::array<uint64_t, base::kReasonCount>& refusals() const {
    return refusals_;
  }

 private:
  using Queue = boost::intrusive::list<Run>;

  size_t QueueIndex(const Run& run) const;
  // Returns the maximum queue wait of a class, or of one request.
  base::Millis MaxWait(base::RequestClass cls) const;
  base::Millis MaxWait(const Request& request) const;
  bool BelowFloor(base::RequestClass cls) const;
  void RelaxFloor(base::Millis now);
  void Refuse(Run& run, base::Reason reason);
  // Evicts lower classes and raises the floor, then refuses `run`.
  void RefuseForLoad(Run& run, base::Reason reason);
  void EvictBelow(base::RequestClass cls);
  void RefuseOverdue(Queue& queue, base::Millis now);
  void StartQueued(base::Millis now);
  void StartRun(const RunPtr& run, base::Millis now);
  RunPtr Pop(Queue& queue);
  // Returns the limit that is reported to routers: with a limited rate, the
  // runs in progress at which the upstream ends that many per second.
  int ReportedLimit(base::Millis now) const;
  // Returns the estimated time that the upstream takes for one run.
  double ServiceMillis(base::Millis now) const;

  const int slots_;
  const int connections_;
  GateOptions options_;
  GateEvents& events_;
  std::unique_ptr<Limiter> limiter_;
  Pacer pacer_;
  std::array<Queue, base::kClassCount> queues_;
  std::unordered_map<uint64_t, RunPtr> running_;
  // Sum of the start times of the runs in progress; gives their mean age.
  int64_t start_time_sum_ms_ = 0;
  double service_ms_ = 0;  // smoothed time of one run
  bool leaving_ = false;
  base::Millis ramp_start_{0};
  bool ramping_ = false;
  // Classes below the floor are refused. kBackground: none is refused.
  base::RequestClass floor_ = base::RequestClass::kBackground;
  std::array<uint64_t, base::kReasonCount> refusals_{};
};

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_GATE_H_
