// The gate in front of one upstream: what runs, what waits, what is refused.
//
// All work of an upstream passes its gate, so limit, queue, drain and the
// order of refusal are decided in one place next to the work.
//
//   gate.Offer(run, now);          // -> events.Start, queued, or Refused
//   gate.End(*run, ended, now);    // a run is over; the next may start
//   gate.Tick(now);                // every few ms: refuse what waited too long
//
// Order of refusal. Before a class is refused for load, everything of a lower
// class that waits is refused (evicted), and from then on the floor keeps
// lower classes out until the queue of the refused class has drained. So a
// gate never refuses a class while it holds or admits a lower one.
//
// Bounds: a queue is bounded by time (Options::queue, per class) and by
// number (Options::queue_entries); at either bound the arrival is refused.
// Offer and End are O(1) but for evictions, each paid for by its arrival.
//
// Not thread-safe; node::Node guards it. Events are called synchronously.
#ifndef ALMONDWIND_MACHINES_GATE_H_
#define ALMONDWIND_MACHINES_GATE_H_

#include <array>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/links/message.h"
#include "almondwind/machines/limiter.h"
#include "almondwind/machines/request.h"

namespace almondwind::machines {

struct GateOptions {
  std::string limiter = "shed";
  // Longest wait in the queue, per class.
  std::array<base::Millis, base::kClassCount> max_queue_wait = {
      base::Millis(400), base::Millis(60), base::Millis(40), base::Millis(20)};
  size_t queue_entries = 4096;
  // Time over which a cold upstream's limit rises to its full value, and the
  // share of the limit that it starts with, in percent.
  base::Millis ramp{2000};
  int ramp_start_percent = 20;
  // Whether classes are told apart; without, all wait in one queue.
  bool separate_classes = true;
  // Whether a class that is refused makes lower ones leave the queue. Where
  // admission is decided at the entry, what waits here belongs to requests
  // that were admitted, and refusing it would waste their work.
  bool evict = true;
};

class GateEvents {
 public:
  virtual ~GateEvents() = default;
  // Give `run` to the upstream.
  virtual void Start(Run& run) = 0;
  // `run` was not run and never will be.
  virtual void Refused(Run& run, base::Reason reason) = 0;
};

// How the upstream ended a run.
struct RunEnd {
  bool shed = false;
};

class Gate {
 public:
  // `slots` and `connections` are what the upstream publishes.
  Gate(int slots, int connections, GateOptions options, GateEvents& events);
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;
  ~Gate();

  // Decides about a new run.
  void Offer(const RunPtr& run, base::Millis now);
  // The upstream is done with a run that was started.
  void End(Run& run, RunEnd end, base::Millis now);
  // Refuses `run` if it still waits; returns whether it did.
  bool Withdraw(Run& run, base::Reason reason, base::Millis now);
  // Refuses what has waited too long, and starts what may start.
  void Tick(base::Millis now);
  // Refuses new work from now on; what runs or waits goes on.
  void Leave();
  // Takes work again. A cold upstream is ramped up.
  void Join(base::Millis now, bool cold);
  // Replaces options; what is running is not touched.
  void Configure(const GateOptions& options);

  bool leaving() const { return leaving_; }
  int in_progress() const { return static_cast<int>(running_.size()); }
  size_t queued() const;
  size_t queued(base::RequestClass cls) const {
    return queues_[base::Index(cls)].size();
  }
  int Limit(base::Millis now) const;
  // Expected queue wait of a new run of class `cls`.
  base::Millis ExpectedWait(base::RequestClass cls, base::Millis now) const;
  links::Load CurrentLoad(base::Millis now) const;
  // Number of refusals by reason.
  const std::array<uint64_t, base::kReasonCount>& refusals() const {
    return refusals_;
  }

 private:
  using Queue = boost::intrusive::list<Run>;

  size_t QueueIndex(const Run& run) const;
  base::Millis MaxWait(base::RequestClass cls) const;
  base::Millis MaxWait(const Request& request) const;
  bool BelowFloor(base::RequestClass cls) const;
  void RelaxFloor(base::Millis now);
  void Refuse(Run& run, base::Reason reason);
  void RefuseForLoad(Run& run, base::Reason reason);
  void EvictBelow(base::RequestClass cls);
  void RefuseOverdue(Queue& queue, base::Millis now);
  void StartQueued(base::Millis now);
  void StartRun(const RunPtr& run, base::Millis now);
  RunPtr Pop(Queue& queue);
  double ServiceMillis(base::Millis now) const;

  const int slots_;
  const int connections_;
  GateOptions options_;
  GateEvents& events_;
  std::unique_ptr<Limiter> limiter_;
  std::array<Queue, base::kClassCount> queues_;
  std::unordered_map<uint64_t, RunPtr> running_;
  int64_t start_time_sum_ms_ = 0;  // of the start instants, for the mean age
  double service_ms_ = 0;          // smoothed
  bool leaving_ = false;
  base::Millis ramp_start_{0};
  bool ramping_ = false;
  // Classes below the floor are refused. kBackground: no floor.
  base::RequestClass floor_ = base::RequestClass::kBackground;
  std::array<uint64_t, base::kReasonCount> refusals_{};
};

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_GATE_H_
