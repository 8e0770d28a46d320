// A machine of the fleet as one node sees it: what the platform publishes of
// it, and what this node's own calls to it have shown.
//
// The published list lags, and health endpoints mislead, so a machine is
// judged by answers only: each one carries the gate's load. Not thread-safe.
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
  std::string service;  // "team/name"; not in the list, but in its path
  std::string zone;
  std::string region;
  std::string link;     // "ip:port" of the gate
  std::string control;  // "ip:port" for control messages
  bool leaving = false;
};

struct EjectOptions {
  int failures = 3;        // in a row, before a machine is ejected
  base::Millis base{500};  // first time away; doubles
  base::Millis max{10'000};
  base::Millis silence{250};  // no answer for this long while calls wait
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
  // The gate answered. `working`: not that its upstream is out of order; a
  // gate that refuses at once for that reason looks idle and must not attract
  // every call.
  void OnAnswer(const links::Load& load, bool working, base::Millis now,
                const EjectOptions& options, double jitter);
  // Its upstream answered a run well or badly. One that fails only a part of
  // its runs stays in use, with less of the load.
  void OnOutcome(bool good);
  // Share of runs that go well, lately; never quite 0.
  double quality() const { return quality_; }
  // The gate told its load outside an answer.
  void OnLoadReport(const links::Load& load, base::Millis now);
  // The caller went away; says nothing of the machine.
  void OnAbandoned();
  // A call ended without an answer of the gate. `jitter` is in [0, 1).
  void OnFailure(base::Millis now, const EjectOptions& options, double jitter);
  // The link broke or could not be made.
  void OnUnreachable(base::Millis now, const EjectOptions& options,
                     double jitter);
  // The gate said that it takes no new work, or takes it again.
  void OnLeaving(bool leaving) { load_.leaving = leaving; }
  // A new incarnation answered Hello: what was known of the old one is void.
  void OnNewIncarnation();

  // Whether calls may go there now. After a time away, one call at a time
  // goes there until an answer comes back.
  bool Usable(base::Millis now, const EjectOptions& options) const;
  // Expected wait in its queue, aged since the last answer, in milliseconds.
  double ExpectedWaitMillis(base::RequestClass cls, base::Millis now) const;
  // Time until a new call of `cls` would be admitted, 0 if at once.
  base::Millis RetryAfter(base::RequestClass cls, base::Millis now) const;
  // Slots free for a new call by the last report and the calls sent since; at
  // most its limit, and less than 0 where calls wait.
  double FreeSlots(base::Millis now) const;
  // Expected time until the answer of a new call, in milliseconds.
  double ExpectedLatencyMillis(base::RequestClass cls, base::Millis now) const;

 private:
  void Eject(base::Millis now, const EjectOptions& options, double jitter);

  HostEntry entry_;
  links::Load load_;
  base::Millis load_at_{0};
  base::Millis silent_since_{0};
  int outstanding_ = 0;
  int outstanding_at_load_ = 0;
  int failures_ = 0;
  double quality_ = 1;
  int ejections_ = 0;
  base::Millis ejected_until_{0};
};
using MachinePtr = boost::intrusive_ptr<Machine>;

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_MACHINE_H_
