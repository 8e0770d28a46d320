// State that one node keeps about a remote machine: its published entry, its
// latest load report, and the results of this node's own calls to it.
//
// The published list lags behind, and health endpoints can be wrong, so whether
// a machine is usable depends only on the answers to calls, each of which
// carries the load of the gate. Not thread-safe.
#ifndef ALMONDWIND_ZONES_MACHINE_H_
#define ALMONDWIND_ZONES_MACHINE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/links/message.h"

namespace almondwind::zones {

// One entry of the platform's list of hosts.
struct HostEntry {
  std::string name;
  std::string service;  // "team/name"; taken from the path of the list
  std::string zone;
  std::string region;
  std::string link;     // "ip:port" of the gate
  std::string control;  // "ip:port" for control messages
  bool leaving = false;
  int64_t started_at = 0;  // Unix time in ms; distinguishes incarnations
};

// Ejection of machines that fail or do not answer.
struct EjectOptions {
  int failures = 3;  // consecutive failures after which a machine is ejected
  base::Millis base{500};  // length of the first ejection; doubles each time
  base::Millis max{10'000};
  // Minimum time without an answer, while calls are outstanding, after which
  // the machine is not used.
  base::Millis silence{250};
};

class Machine : public boost::intrusive_ref_counter<Machine> {
 public:
  explicit Machine(HostEntry entry) : entry_(std::move(entry)) {}

  const HostEntry& entry() const { return entry_; }
  const std::string& name() const { return entry_.name; }
  const links::Load& load() const { return load_; }
  base::Millis load_at() const { return load_at_; }
  int outstanding() const { return outstanding_; }
  int failures() const { return failures_; }
  bool leaving() const { return entry_.leaving || load_.leaving; }

  void SetEntry(const HostEntry& entry) { entry_ = entry; }

  void OnSent(base::Millis now);
  // The gate has answered a call. `working` is false if the answer says that
  // the upstream does not work, which counts as a failure: a gate that refuses
  // everything immediately looks idle and would otherwise attract all calls.
  void OnAnswer(const links::Load& load, bool working, base::Millis now,
                const EjectOptions& options, double jitter);
  // The upstream has ended a run; `good`: with success. An upstream that fails
  // only some of its runs stays in use, with a smaller share of the load.
  void OnOutcome(bool good);
  // Returns the smoothed share of successful runs; never 0.
  double quality() const { return quality_; }
  // The gate has sent its load outside an answer.
  void OnLoadReport(const links::Load& load, base::Millis now);
  // The caller disconnected before the answer. Not a failure of the machine.
  void OnAbandoned();
  // A call has ended without an answer of the gate. `jitter` is in [0, 1).
  void OnFailure(base::Millis now, const EjectOptions& options, double jitter);
  // The link broke or could not be established.
  void OnUnreachable(base::Millis now, const EjectOptions& options,
                     double jitter);
  // The gate has announced that it takes no new work, or takes it again.
  void OnLeaving(bool leaving) { load_.leaving = leaving; }
  // A new incarnation has answered Hello. Discards the state of the old one.
  void OnNewIncarnation();

  // Returns whether the machine may be called now: it is neither ejected nor
  // silent. After an ejection it is half-open: one call at a time until one is
  // answered.
  bool Usable(base::Millis now, const EjectOptions& options) const;
  // Returns the expected queue wait of a new call: the reported wait less the
  // age of the report, plus the wait caused by the calls sent since.
  double ExpectedWaitMillis(base::RequestClass cls, base::Millis now) const;
  // Returns the time until a new call of `cls` would be admitted; 0:
  // immediately.
  base::Millis RetryAfter(base::RequestClass cls, base::Millis now) const;
  // Returns the number of free slots, from the last report and the calls sent
  // since; at most the limit, and negative if calls are queued.
  double FreeSlots(base::Millis now) const;
  // Returns the expected time until the answer of a new call.
  double ExpectedLatencyMillis(base::RequestClass cls, base::Millis now) const;

 private:
  void Eject(base::Millis now, const EjectOptions& options, double jitter);

  HostEntry entry_;
  links::Load load_;
  base::Millis load_at_{0};  // time of the last load report
  // Time of the last answer, or of a later call sent while no other was
  // outstanding.
  base::Millis silent_since_{0};
  int outstanding_ = 0;
  int outstanding_at_load_ = 0;  // calls outstanding at load_at_
  int failures_ = 0;
  double quality_ = 1;
  int ejections_ = 0;
  base::Millis ejected_until_{0};
};
using MachinePtr = boost::intrusive_ptr<Machine>;

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_MACHINE_H_
