// This node's view of the upstreams of the fleet.
//
// The platform's store supplies a complete list or single changes; a peer with
// a newer view supplies a complete list. Each list and change carries the
// store's revision, and an older one never replaces a newer one. After the
// store was restored, a complete list is needed before changes can be applied.
//
// Peers exchange Changes: what happened after a revision that the receiver has.
// The removals of the past are kept for that, at most View::kMaxRemovals; for
// an older revision the changes are the complete list.
//
// An entry that is removed without having been marked as draining is kept for a
// short time: entries of running upstreams expire while the store is
// unavailable and are restored soon after it returns. Sweep removes the entries
// that were not restored.
//
// A restored store may list upstreams as it did before they left. A view
// remembers departures: an entry of the first list of an epoch that is no newer
// than a departure, by the counter of the upstream's own heartbeats, counts as
// draining until the upstream writes again. The entry of an upstream that has
// ended lapses, so the doubt ends after ViewOptions::doubt_delay.
//
//   view.Replace(entries, revision, now);
//   view.Remove("i-17", revision, now);
//   if (view.Sweep(now)) UpdateDirectory(view);
//
// Not thread-safe. Cost: a single change takes one map operation, a list linear
// time.
#ifndef ALMONDWIND_FLEET_VIEW_H_
#define ALMONDWIND_FLEET_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/fleet/change_budget.h"
#include "almondwind/fleet/revision.h"

namespace almondwind::fleet {

// One incarnation of an upstream.
struct Upstream {
  std::string id;
  std::string service;
  std::string address;  // "ip:port"
  std::string zone;
  int slots = 0;  // requests that it processes concurrently
  bool draining = false;
  base::Millis cold_left{0};  // remaining warm-up time after a start
  int64_t started_at = 0;     // Unix time in ms; distinguishes incarnations
  // Counts the heartbeats of this incarnation: orders what it says of itself,
  // also when the store has gone back.
  uint64_t heartbeats = 0;
  Revision revision;  // of the entry's last change

  // Whether `draining` is remembered by this node; the store lists it as ready.
  bool doubted = false;

  // Returns whether all fields but the revision and the heartbeats are equal.
  bool EqualsIgnoringRevision(const Upstream& o) const;
};

// An upstream whose entry was removed from the store.
struct Removal {
  std::string id;
  Revision revision;  // of the removal
  // Of the removed entry; not sent to peers.
  int64_t started_at = 0;
  uint64_t heartbeats = 0;
};

// What a peer needs to bring its view from revision `since` to `revision`.
struct Changes {
  Revision since;  // not known: `upstreams` is the complete list
  Revision revision;
  std::vector<Upstream> upstreams;
  std::vector<Removal> removals;
};

struct ViewOptions {
  // How long an entry that was removed without draining is kept: normally, and
  // after an outage of the store, counted from the store's return. The delay
  // after an outage exceeds the 2 s within which the platform restores expired
  // entries. It is longer than the platform's limit for departures, which does
  // not apply so soon after an outage.
  base::Millis removal_delay = kRemovalDelay;
  base::Millis recovery_removal_delay{2200};
  // How long a departure is remembered against an entry that the restored store
  // lists: until the platform would have removed the entry of a silent
  // upstream, after three heartbeats of 1.5 s, and this node has learned of it.
  base::Millis doubt_delay{6000};
};

class View {
 public:
  explicit View(const ViewOptions& options) : options_(options) {}

  // Replaces the view by the complete list at `revision`, unless the view is as
  // new already. Entries that are newer than `revision` are kept. Returns
  // whether anything changed.
  bool Replace(const std::vector<Upstream>& upstreams, const Revision& revision,
               base::Millis now);
  // Adds or updates one upstream, unless the known entry is newer, or the entry
  // is unknown and older than the view: then it has been removed since. Returns
  // whether anything but the revision changed.
  bool Put(const Upstream& upstream);
  // Handles the removal of an entry from the store: removes a draining upstream
  // immediately, any other after the removal delay. Returns false if the entry
  // is unknown or newer.
  bool Remove(const std::string& id, const Revision& revision,
              base::Millis now);
  // Records that all changes up to `revision` have been applied.
  void Advance(const Revision& revision);
  // Records that the store was unavailable until `at`: entries that it lacks
  // are kept for the longer delay from then on.
  void OnStoreReturned(base::Millis at);
  // Removes entries whose removal is due, and ends doubts that are due. Returns
  // whether there were any.
  bool Sweep(base::Millis now);
  // Returns the time until the next of these is due, or a negative value if
  // none is pending.
  base::Millis UntilSweep(base::Millis now) const;

  // Returns the most recently started upstream at `address`, or null.
  const Upstream* AtAddress(std::string_view address) const;
  const std::map<std::string, Upstream>& upstreams() const {
    return upstreams_;
  }
  // Returns the upstreams that can be running: of several at one address, only
  // the most recently started one. The entries of its predecessors remain in
  // the store for some heartbeats.
  std::vector<const Upstream*> Current() const;
  // Returns whether the upstream's entry was removed from the store and is
  // still kept.
  bool removal_pending(const std::string& id) const {
    return pending_removals_.count(id) != 0;
  }
  // Returns the upstreams whose removal is not pending.
  std::vector<Upstream> List() const;
  // Returns what a peer whose view is complete up to `revision` lacks: the
  // complete list if `revision` is of another epoch.
  Changes ChangesSince(const Revision& revision) const;
  // Applies a peer's changes, unless the view is as new already or lacks what
  // happened before them. Returns whether anything changed.
  bool Apply(const Changes& changes, base::Millis now);
  // Store revision up to which the view is complete.
  const Revision& revision() const { return revision_; }

 private:
  static constexpr size_t kMaxRemovals = 512;

  // Adds or updates one upstream, unless the known entry is newer.
  bool Store(const Upstream& upstream);
  // Returns whether this node knows that the upstream has left since it was as
  // `entry` says.
  bool HasLeftSince(const Upstream& entry) const;
  void ScheduleRemoval(const std::string& id, base::Millis now);
  void RecordRemoval(const Upstream& upstream, const Revision& revision);

  const ViewOptions options_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, base::Millis> pending_removals_;  // due time, by id
  std::map<std::string, base::Millis> doubts_;            // the same
  Revision revision_;
  // Removals after removals_complete_from_, in the order in which they came.
  std::deque<Removal> removals_;
  Revision removals_complete_from_;
  base::Millis recovering_until_{0};
};

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_VIEW_H_
