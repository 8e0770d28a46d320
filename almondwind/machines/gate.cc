#include "almondwind/machines/gate.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace almondwind::machines {

using base::Index;
using base::Millis;
using base::Reason;
using base::RequestClass;

namespace {
constexpr double kSmoothing = 0.1;  // weight of the newest sample
}  // namespace

Gate::Gate(int slots, int connections, GateOptions options, GateEvents& events)
    : slots_(slots),
      connections_(connections),
      options_(std::move(options)),
      events_(events),
      limiter_(MakeLimiter(options_.limiter, slots, connections)) {}

Gate::~Gate() {
  for (Queue& queue : queues_) {
    while (!queue.empty()) Pop(queue);
  }
}

void Gate::Configure(const GateOptions& options) {
  if (options.limiter != options_.limiter) {
    limiter_ = MakeLimiter(options.limiter, slots_, connections_);
  }
  options_ = options;
}

size_t Gate::QueueIndex(const Run& run) const {
  return options_.separate_classes ? Index(run.request->cls)
                                   : Index(RequestClass::kNormal);
}

Millis Gate::MaxWait(RequestClass cls) const {
  RequestClass c = options_.separate_classes ? cls : RequestClass::kNormal;
  return options_.max_queue_wait[Index(c)];
}

Millis Gate::MaxWait(const Request& request) const {
  return request.max_wait > Millis(0) ? request.max_wait : MaxWait(request.cls);
}

size_t Gate::queued() const {
  size_t total = 0;
  for (const Queue& queue : queues_) total += queue.size();
  return total;
}

int Gate::Limit(Millis now) const {
  int full = limiter_->limit();
  if (!ramping_) return full;
  double done =
      static_cast<double>((now - ramp_start_).count()) /
      static_cast<double>(std::max<int64_t>(1, options_.ramp.count()));
  if (done >= 1) return full;
  double start = options_.ramp_start_percent / 100.0;
  double share = start + (1 - start) * std::max(0.0, done);
  return std::max(1, static_cast<int>(std::floor(full * share)));
}

double Gate::ServiceMillis(Millis now) const {
  if (running_.empty()) return service_ms_;
  double mean_age = static_cast<double>(now.count()) -
                    static_cast<double>(start_time_sum_ms_) /
                        static_cast<double>(running_.size());
  // A slowdown raises the age of running runs before slow runs end and raise
  // the smoothed service time.
  return std::max(service_ms_, mean_age);
}

Millis Gate::ExpectedWait(RequestClass cls, Millis now) const {
  int limit = Limit(now);
  size_t ahead = 0;
  size_t last = options_.separate_classes ? Index(cls) : base::kClassCount - 1;
  for (size_t i = 0; i <= last; ++i) ahead += queues_[i].size();
  Millis pace = pacer_.WaitFor(static_cast<double>(ahead) + 1, now);
  if (ahead == 0 && in_progress() < limit) return pace;
  // Number of runs that must end before a new run can start.
  double ends =
      static_cast<double>(ahead) + 1 + std::max(0, in_progress() - limit);
  Millis slot(std::llround(ends * ServiceMillis(now) / limit));
  // Runs that wait for the rate alone do not wait for a slot too.
  return pacer_.rate() && in_progress() < limit ? pace : std::max(pace, slot);
}

// Little's law: runs in progress are the rate times the time of one run.
int Gate::ReportedLimit(Millis now) const {
  int limit = Limit(now);
  if (!pacer_.rate() || service_ms_ == 0) return limit;
  double runs = *pacer_.rate() * service_ms_ / 1000;
  return std::clamp(static_cast<int>(std::ceil(runs)), 1, limit);
}

bool Gate::BelowFloor(RequestClass cls) const {
  return options_.separate_classes && options_.evict &&
         Index(cls) > Index(floor_);
}

// The floor is raised when a class is refused, and is relaxed only when the
// expected wait is at most half of that class's maximum. The hysteresis keeps
// the floor from changing with every arrival.
void Gate::RelaxFloor(Millis now) {
  while (floor_ != RequestClass::kBackground &&
         ExpectedWait(floor_, now) <= MaxWait(floor_) / 2) {
    floor_ = static_cast<RequestClass>(Index(floor_) + 1);
  }
}

void Gate::Refuse(Run& run, Reason reason) {
  run.state = RunState::kDone;
  ++refusals_[static_cast<size_t>(reason)];
  events_.Refused(run, reason);
}

void Gate::EvictBelow(RequestClass cls) {
  if (!options_.separate_classes || !options_.evict) return;
  for (size_t i = base::kClassCount - 1; i > Index(cls); --i) {
    while (!queues_[i].empty()) {
      RunPtr lower = Pop(queues_[i]);
      Refuse(*lower, Reason::kEvicted);
    }
  }
}

void Gate::RefuseForLoad(Run& run, Reason reason) {
  RequestClass cls = run.request->cls;
  EvictBelow(cls);
  if (Index(cls) < Index(floor_)) floor_ = cls;
  Refuse(run, reason);
}

RunPtr Gate::Pop(Queue& queue) {
  // Takes over the reference that the queue holds on each of its runs.
  RunPtr run(&queue.front(), /*add_ref=*/false);
  queue.pop_front();
  return run;
}

void Gate::Offer(const RunPtr& run, Millis now) {
  if (leaving_) return Refuse(*run, Reason::kLeaving);
  if (run->request->deadline <= now) return Refuse(*run, Reason::kDeadline);
  RelaxFloor(now);
  RequestClass cls = run->request->cls;
  if (BelowFloor(cls)) return RefuseForLoad(*run, Reason::kOverload);
  Queue& queue = queues_[QueueIndex(*run)];
  if (ExpectedWait(cls, now) > MaxWait(*run->request) ||
      queue.size() >= options_.queue_entries) {
    return RefuseForLoad(*run, Reason::kOverload);
  }
  run->state = RunState::kQueued;
  run->enqueued = now;
  intrusive_ptr_add_ref(run.get());
  queue.push_back(*run);
  StartQueued(now);
}

void Gate::StartRun(const RunPtr& run, Millis now) {
  pacer_.Take(now);
  run->state = RunState::kRunning;
  run->started = now;
  start_time_sum_ms_ += now.count();
  running_.emplace(run->id, run);
  events_.Start(*run);
}

void Gate::StartQueued(Millis now) {
  for (size_t i = 0; i < base::kClassCount; ++i) {
    Queue& queue = queues_[i];
    while (!queue.empty() && in_progress() < Limit(now) && pacer_.Ready(now)) {
      RunPtr run = Pop(queue);
      // Deadlines and waits are checked again when a run is dispatched: after
      // a pause of the process the queue is full of runs that have expired.
      if (run->request->deadline <= now) {
        RefuseForLoad(*run, Reason::kDeadline);
      } else if (now - run->enqueued > MaxWait(*run->request)) {
        RefuseForLoad(*run, Reason::kQueueTimeout);
      } else {
        StartRun(run, now);
      }
    }
  }
}

void Gate::End(Run& run, RunEnd end, Millis now) {
  auto it = running_.find(run.id);
  if (it == running_.end()) return;
  RunPtr keep = it->second;
  RunSample sample;
  sample.now = now;
  sample.latency = now - run.started;
  sample.shed = end.shed;
  sample.saturated = in_progress() >= limiter_->limit();
  running_.erase(it);
  start_time_sum_ms_ -= run.started.count();
  run.state = RunState::kDone;
  if (!end.shed && !run.cancelled) {
    auto ms = static_cast<double>(sample.latency.count());
    service_ms_ =
        service_ms_ == 0 ? ms : service_ms_ + kSmoothing * (ms - service_ms_);
  }
  limiter_->OnRunEnd(sample);
  StartQueued(now);
  RelaxFloor(now);
}

bool Gate::Withdraw(Run& run, Reason reason, Millis now) {
  if (run.state != RunState::kQueued) return false;
  Queue& queue = queues_[QueueIndex(run)];
  queue.erase(queue.iterator_to(run));
  RunPtr keep(&run, /*add_ref=*/false);
  Refuse(run, reason);
  RelaxFloor(now);
  return true;
}

// Requests of one class may differ in their maximum wait, so the whole queue is
// scanned.
void Gate::RefuseOverdue(Queue& queue, Millis now) {
  std::vector<RunPtr> overdue;
  for (Run& run : queue) {
    bool late = run.request->deadline <= now ||
                now - run.enqueued > MaxWait(*run.request);
    if (late) overdue.emplace_back(&run);
  }
  for (const RunPtr& run : overdue) {
    // An earlier refusal in this loop may have evicted this run.
    if (run->state != RunState::kQueued) continue;
    queue.erase(queue.iterator_to(*run));
    intrusive_ptr_release(run.get());
    bool expired = run->request->deadline <= now;
    RefuseForLoad(*run, expired ? Reason::kDeadline : Reason::kQueueTimeout);
  }
}

void Gate::Tick(Millis now) {
  // Starts with the highest class: a refusal there evicts all lower classes.
  for (Queue& queue : queues_) RefuseOverdue(queue, now);
  StartQueued(now);
  RelaxFloor(now);
}

void Gate::Leave() { leaving_ = true; }

void Gate::RefuseQueued(Reason reason, Millis now) {
  for (Queue& queue : queues_) {
    while (!queue.empty()) {
      RunPtr run = Pop(queue);
      Refuse(*run, reason);
    }
  }
  RelaxFloor(now);
}

void Gate::Join(Millis now, bool cold) {
  leaving_ = false;
  ramping_ = cold;
  ramp_start_ = now;
}

links::Load Gate::CurrentLoad(Millis now) const {
  links::Load load;
  load.in_progress = static_cast<uint32_t>(in_progress());
  load.limit = static_cast<uint32_t>(ReportedLimit(now));
  load.service_ms = static_cast<uint32_t>(std::lround(ServiceMillis(now)));
  load.leaving = leaving_;
  // Classes below the floor are admitted again only once it is relaxed.
  Millis floor_wait = ExpectedWait(floor_, now) - MaxWait(floor_) / 2;
  for (size_t i = 0; i < base::kClassCount; ++i) {
    auto cls = static_cast<RequestClass>(i);
    Millis wait = ExpectedWait(cls, now);
    Millis excess = wait - MaxWait(cls);
    if (BelowFloor(cls)) excess = std::max(excess, floor_wait);
    load.wait_ms[i] = static_cast<uint32_t>(wait.count());
    load.retry_after_ms[i] =
        static_cast<uint32_t>(std::max<int64_t>(0, excess.count()));
  }
  return load;
}

}  // namespace almondwind::machines
