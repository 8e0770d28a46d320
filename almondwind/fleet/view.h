// The upstreams of the fleet as this node knows them.
//
// Entries come from the platform's store, as one list or as single changes, or
// whole from a peer that is ahead. Every list and change bears the store's
// revision; an older one never replaces a newer one.
//
// An entry that vanishes without having announced that it leaves is kept for a
// moment: while the store was unavailable, entries of living upstreams lapse,
// and they are back soon after its return. Sweep removes what did not return.
//
//   view.Replace(entries, revision, now);
//   view.Remove("i-17", revision, now);
//   if (view.Sweep(now)) UpdateDirectory(view);
//
// Not thread-safe. Cost: a change is one map operation, a list linear.
#ifndef ALMONDWIND_FLEET_VIEW_H_
#define ALMONDWIND_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "almondwind/base/clock.h"

namespace almondwind::fleet {

// One upstream, in one incarnation.
struct Upstream {
  std::string id;
  std::string service;
  std::string address;  // "ip:port"
  std::string zone;
  int slots = 0;  // requests that it works on at once
  bool draining = false;
  base::Millis cold_left{0};  // time for which it is still slow after its start
  int64_t started_at = 0;     // Unix time in ms; tells incarnations apart
  uint64_t revision = 0;      // the store's, of the entry's last change

  // Whether all but the revision is the same.
  bool EqualsIgnoringRevision(const Upstream& o) const;
};

struct ViewOptions {
  // How long an entry that vanished without notice is kept, in the ordinary
  // and while the store recovers. Both stay below the drain bound of 2 s that
  // the platform gives and, the second, above the 2 s in which it restores
  // lapsed entries, measured from the store's return.
  base::Millis removal_delay{1000};
  base::Millis recovery_removal_delay{2200};
};

class View {
 public:
  explicit View(const ViewOptions& options) : options_(options) {}

  // Takes the whole list as it was at `revision`; ignored if not newer.
  // Single entries may be newer than that. Returns whether anything changed.
  bool Replace(const std::vector<Upstream>& upstreams, uint64_t revision,
               base::Millis now);
  // One upstream changed, or came.
  bool Put(const Upstream& upstream);
  // One upstream's entry is gone.
  bool Remove(const std::string& id, uint64_t revision, base::Millis now);
  // All changes up to `revision` have been seen.
  void Advance(uint64_t revision);
  // The store was unavailable until now: vanished entries are kept longer.
  void OnStoreReturned(base::Millis now);
  // Removes entries whose hold is over; returns whether there were any.
  bool Sweep(base::Millis now);
  // Time until Sweep has work, or a negative span if nothing is held.
  base::Millis UntilSweep(base::Millis now) const;

  // Returns the upstream at `address` with the latest start, or null.
  const Upstream* AtAddress(std::string_view address) const;
  const std::map<std::string, Upstream>& upstreams() const {
    return upstreams_;
  }
  // Upstreams that can be there: of several at one address only the one that
  // started last, since the others' entries outlive them for some heartbeats.
  std::vector<const Upstream*> Current() const;
  std::vector<Upstream> List() const;
  // Store revision up to which the view is complete; 0: nothing is known.
  uint64_t revision() const { return revision_; }

 private:
  void ScheduleRemoval(const std::string& id, base::Millis now);

  const ViewOptions options_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, base::Millis>
      pending_removals_;  // removed at that instant
  uint64_t revision_ = 0;
  base::Millis recovering_until_{0};
};

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_VIEW_H_
