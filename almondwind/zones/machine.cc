#include "almondwind/zones/machine.h"

#include <algorithm>

namespace almondwind::zones {
namespace {

// The number of runs in progress in an older report is ignored.
constexpr base::Millis kMaxReportAge{1000};
constexpr int kMaxDoublings = 5;
// A machine is also given this multiple of its service time to answer before it
// counts as silent.
constexpr int64_t kSilenceServiceTimes = 6;
// Share of the service time that a fully used machine adds to its expected
// latency.
constexpr double kUseWeight = 0.25;
// Weight of the newest outcome: about ten runs tell a failing upstream from a
// healthy one.
constexpr double kQualityWeight = 0.1;
// Lower bound: a failing upstream still gets a few runs, which show when it has
// recovered.
constexpr double kMinQuality = 0.1;

}  // namespace

void Machine::OnSent(base::Millis now) {
  if (outstanding_ == 0) silent_since_ = now;
  ++outstanding_;
}

void Machine::OnAnswer(const links::Load& load, bool working, base::Millis now,
                       const EjectOptions& options, double jitter) {
  outstanding_ = std::max(0, outstanding_ - 1);
  load_ = load;
  load_at_ = now;
  silent_since_ = now;
  outstanding_at_load_ = outstanding_;
  if (!working) {
    ++failures_;
    if (failures_ >= options.failures) Eject(now, options, jitter);
    return;
  }
  failures_ = 0;
  ejections_ = 0;
  ejected_until_ = base::Millis(0);
}

void Machine::OnOutcome(bool good) {
  quality_ += kQualityWeight * ((good ? 1.0 : 0.0) - quality_);
  quality_ = std::max(quality_, kMinQuality);
}

void Machine::OnLoadReport(const links::Load& load, base::Millis now) {
  load_ = load;
  load_at_ = now;
  outstanding_at_load_ = outstanding_;
}

void Machine::OnAbandoned() { outstanding_ = std::max(0, outstanding_ - 1); }

void Machine::OnFailure(base::Millis now, const EjectOptions& options,
                        double jitter) {
  outstanding_ = std::max(0, outstanding_ - 1);
  ++failures_;
  if (failures_ >= options.failures) Eject(now, options, jitter);
}

void Machine::OnUnreachable(base::Millis now, const EjectOptions& options,
                            double jitter) {
  failures_ = options.failures;
  Eject(now, options, jitter);
}

void Machine::Eject(base::Millis now, const EjectOptions& options,
                    double jitter) {
  if (now < ejected_until_) return;
  int64_t doubled = options.base.count() << std::min(ejections_, kMaxDoublings);
  int64_t duration = std::min(options.max.count(), doubled);
  duration += static_cast<int64_t>(static_cast<double>(duration) * jitter / 2);
  ejected_until_ = now + base::Millis(duration);
  ++ejections_;
}

void Machine::OnNewIncarnation() {
  load_ = links::Load();
  load_at_ = base::Millis(0);
  outstanding_ = 0;
  outstanding_at_load_ = 0;
  failures_ = 0;
  quality_ = 1;
  ejected_until_ = base::Millis(0);
}

bool Machine::Usable(base::Millis now, const EjectOptions& options) const {
  if (now < ejected_until_) return false;
  if (failures_ >= options.failures) return outstanding_ == 0;
  base::Millis answer_time(kSilenceServiceTimes * load_.service_ms);
  base::Millis max_silence = std::max(options.silence, answer_time);
  return outstanding_ == 0 || now - silent_since_ < max_silence;
}

double Machine::ExpectedWaitMillis(base::RequestClass cls,
                                   base::Millis now) const {
  if (load_.limit == 0) return 0;
  base::Millis age = now - load_at_;
  double reported = load_.wait_ms[base::Index(cls)];
  double wait = std::max(0.0, reported - static_cast<double>(age.count()));
  int sent_since = std::max(0, outstanding_ - outstanding_at_load_);
  double busy = age > kMaxReportAge ? 0 : load_.in_progress;
  double over_limit = busy + sent_since + 1 - load_.limit;
  // The reported wait already includes the calls sent before the report.
  double extra = std::min<double>(over_limit, sent_since + 1);
  if (extra > 0) wait += extra * load_.service_ms / load_.limit;
  return wait;
}

base::Millis Machine::RetryAfter(base::RequestClass cls,
                                 base::Millis now) const {
  base::Millis reported(load_.retry_after_ms[base::Index(cls)]);
  return std::max(base::Millis(0), reported - (now - load_at_));
}

double Machine::FreeSlots(base::Millis now) const {
  bool old = now - load_at_ > kMaxReportAge;
  int sent_since = std::max(0, outstanding_ - outstanding_at_load_);
  double busy = old ? outstanding_ : load_.in_progress + sent_since;
  return static_cast<double>(load_.limit) - busy;
}

double Machine::ExpectedLatencyMillis(base::RequestClass cls,
                                      base::Millis now) const {
  double wait = ExpectedWaitMillis(cls, now);
  if (load_.limit == 0) return wait;
  // Below the limit, machines have no queue wait to compare by, so the share of
  // slots in use is added.
  bool old = now - load_at_ > kMaxReportAge;
  double busy = old ? outstanding_ : load_.in_progress;
  int sent_since = std::max(0, outstanding_ - outstanding_at_load_);
  double share = (busy + sent_since) / load_.limit;
  return wait + load_.service_ms * (1 + kUseWeight * std::min(1.0, share));
}

}  // namespace almondwind::zones
