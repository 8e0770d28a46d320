#include "almondwind/fleet/view.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace almondwind::fleet {

using base::Millis;

bool Upstream::EqualsIgnoringRevision(const Upstream& o) const {
  return std::tie(id, service, address, zone, slots, draining, doubted,
                  started_at) == std::tie(o.id, o.service, o.address, o.zone,
                                          o.slots, o.draining, o.doubted,
                                          o.started_at) &&
         cold_left == o.cold_left;
}

bool View::Replace(const std::vector<Upstream>& upstreams,
                   const Revision& revision, Millis now) {
  if (revision <= revision_ && revision_.known()) return false;
  bool new_epoch = revision.epoch != revision_.epoch || !revision_.known();
  // What came and went before this list is not known.
  removals_complete_from_ = revision;
  bool changed = false;
  std::set<std::string> present;
  for (const Upstream& upstream : upstreams) {
    present.insert(upstream.id);
    Upstream entry = upstream;
    entry.doubted = new_epoch && HasLeftSince(entry);
    entry.draining = entry.draining || entry.doubted;
    changed = Store(entry) || changed;
    if (entry.doubted) doubts_[entry.id] = now + options_.doubt_delay;
  }
  std::vector<std::string> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (present.count(id) == 0 && upstream.revision < revision) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    changed = Remove(id, revision, now) || changed;
  }
  Advance(revision);
  return changed;
}

bool View::HasLeftSince(const Upstream& entry) const {
  auto known = upstreams_.find(entry.id);
  if (known != upstreams_.end()) {
    return known->second.draining &&
           known->second.started_at == entry.started_at &&
           known->second.heartbeats >= entry.heartbeats && !entry.draining;
  }
  auto removal = std::find_if(
      removals_.rbegin(), removals_.rend(),
      [&entry](const Removal& removal) { return removal.id == entry.id; });
  return removal != removals_.rend() &&
         removal->started_at == entry.started_at &&
         removal->heartbeats >= entry.heartbeats;
}

bool View::Put(const Upstream& upstream) {
  bool known = upstreams_.count(upstream.id) != 0;
  if (!known && revision_.known() && upstream.revision <= revision_) {
    return false;
  }
  return Store(upstream);
}

bool View::Store(const Upstream& upstream) {
  Upstream& known = upstreams_[upstream.id];
  if (upstream.revision < known.revision) return false;
  pending_removals_.erase(upstream.id);
  doubts_.erase(upstream.id);
  bool changed = !known.EqualsIgnoringRevision(upstream);
  known = upstream;
  return changed;
}

bool View::Remove(const std::string& id, const Revision& revision, Millis now) {
  auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return false;
  if (revision < it->second.revision) return false;
  it->second.revision = revision;
  RecordRemoval(it->second, revision);
  ScheduleRemoval(id, now);
  return true;
}

void View::RecordRemoval(const Upstream& upstream, const Revision& revision) {
  removals_.push_back(
      {upstream.id, revision, upstream.started_at, upstream.heartbeats});
  if (removals_.size() <= kMaxRemovals) return;
  removals_complete_from_ =
      std::max(removals_complete_from_, removals_.front().revision);
  removals_.pop_front();
}

void View::ScheduleRemoval(const std::string& id, Millis now) {
  auto it = upstreams_.find(id);
  if (it == upstreams_.end() || pending_removals_.count(id) != 0) return;
  if (it->second.draining) {
    upstreams_.erase(it);
    doubts_.erase(id);
    return;
  }
  Millis due = now + options_.removal_delay;
  pending_removals_[id] = std::max(due, recovering_until_);
}

void View::Advance(const Revision& revision) {
  revision_ = std::max(revision_, revision);
}

void View::OnStoreReturned(Millis at) {
  recovering_until_ =
      std::max(recovering_until_, at + options_.recovery_removal_delay);
  for (auto& [id, due] : pending_removals_) {
    due = std::max(due, recovering_until_);
  }
}

bool View::Sweep(Millis now) {
  bool changed = false;
  for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    upstreams_.erase(it->first);
    it = pending_removals_.erase(it);
    changed = true;
  }
  for (auto it = doubts_.begin(); it != doubts_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    Upstream& upstream = upstreams_.at(it->first);
    upstream.draining = false;
    upstream.doubted = false;
    it = doubts_.erase(it);
    changed = true;
  }
  return changed;
}

Millis View::UntilSweep(Millis now) const {
  std::optional<Millis> first;
  for (const auto* due_times : {&pending_removals_, &doubts_}) {
    for (const auto& [id, due] : *due_times) {
      first = std::min(first.value_or(due), due);
    }
  }
  return first ? std::max(Millis(0), *first - now) : Millis(-1);
}

const Upstream* View::AtAddress(std::string_view address) const {
  const Upstream* found = nullptr;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.address != address) continue;
    if (found == nullptr || upstream.started_at > found->started_at) {
      found = &upstream;
    }
  }
  return found;
}

std::vector<const Upstream*> View::Current() const {
  std::map<std::string_view, const Upstream*> by_address;
  for (const auto& [id, upstream] : upstreams_) {
    const Upstream*& latest = by_address[upstream.address];
    if (latest == nullptr || upstream.started_at > latest->started_at) {
      latest = &upstream;
    }
  }
  std::vector<const Upstream*> out;
  for (const auto& [address, upstream] : by_address) out.push_back(upstream);
  return out;
}

std::vector<Upstream> View::List() const {
  std::vector<Upstream> out;
  for (const auto& [id, upstream] : upstreams_) {
    if (pending_removals_.count(id) == 0) out.push_back(upstream);
  }
  return out;
}

Changes View::ChangesSince(const Revision& revision) const {
  Changes changes;
  changes.revision = revision_;
  if (revision.epoch != revision_.epoch || !revision.known() ||
      revision < removals_complete_from_) {
    changes.upstreams = List();
    return changes;
  }
  changes.since = revision;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.revision > revision && pending_removals_.count(id) == 0) {
      changes.upstreams.push_back(upstream);
    }
  }
  for (const Removal& removal : removals_) {
    if (removal.revision > revision) changes.removals.push_back(removal);
  }
  return changes;
}

bool View::Apply(const Changes& changes, Millis now) {
  if (changes.revision <= revision_ && revision_.known()) return false;
  if (!changes.since.known()) {
    return Replace(changes.upstreams, changes.revision, now);
  }
  if (changes.since.epoch != revision_.epoch || changes.since > revision_) {
    return false;
  }
  bool changed = false;
  for (const Upstream& upstream : changes.upstreams) {
    // What this view has up to its revision may include a later removal.
    if (upstream.revision <= revision_) continue;
    changed = Put(upstream) || changed;
  }
  for (const Removal& removal : changes.removals) {
    if (removal.revision <= revision_) continue;
    changed = Remove(removal.id, removal.revision, now) || changed;
  }
  Advance(changes.revision);
  return changed;
}

}  // namespace almondwind::fleet
