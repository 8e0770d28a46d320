#include "almondwind/machines/announcement.h"

#include <algorithm>

namespace almondwind::machines {

using base::Millis;

void AnnouncementTracker::SetUpstream(const std::string& upstream,
                                      int64_t started_at) {
  bool same = current_.upstream == upstream &&
              (current_.started_at == started_at || current_.started_at == 0);
  if (same) {
    current_.started_at = started_at;
    return;
  }
  current_ = Announcement();
  current_.upstream = upstream;
  current_.started_at = started_at;
  rate_stated_at_ = Millis(0);
}

bool AnnouncementTracker::OnResponse(Millis sent_at, std::optional<double> rate,
                                     bool leaving, Millis now) {
  Announcement before = current_;
  current_.first_hand = true;
  current_.leaving = current_.leaving || leaving;
  if (rate) {
    current_.rate = rate;
    rate_stated_at_ = now;
  } else if (sent_at >= rate_stated_at_) {
    current_.rate.reset();
  }
  return before.rate != current_.rate || before.leaving != current_.leaving;
}

bool AnnouncementTracker::OnReminder(const Announcement& reminder) {
  bool same = reminder.upstream == current_.upstream &&
              reminder.started_at == current_.started_at;
  if (!same || current_.first_hand || reminder.rate == current_.rate) {
    return false;
  }
  current_.rate = reminder.rate;
  return true;
}

bool AnnouncementMemory::Remember(const Announcement& reported) {
  if (reported.upstream.empty()) return false;
  auto it = known_.find(reported.upstream);
  const Announcement* known =
      it == known_.end() ? nullptr : &it->second.announcement;
  if (known != nullptr && known->started_at > reported.started_at) return false;
  bool same = known != nullptr && known->started_at == reported.started_at;
  Announcement merged = reported;
  if (same) {
    // A gate whose process has just started does not know what its predecessor
    // knew.
    if (!reported.first_hand && !reported.rate) merged.rate = known->rate;
    merged.leaving = merged.leaving || known->leaving;
  }
  bool news = merged.leaving && !(same && known->leaving);
  if (merged.empty()) {
    if (it != known_.end()) known_.erase(it);
    return false;
  }
  if (it == known_.end() && known_.size() >= kMaxUpstreams) ForgetOldest();
  Entry& entry = known_[reported.upstream];
  if (!same) entry.added = ++added_;
  entry.announcement = merged;
  return news;
}

void AnnouncementMemory::ForgetOldest() {
  auto oldest = std::min_element(known_.begin(), known_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.added < b.second.added;
                                 });
  known_.erase(oldest);
}

const Announcement* AnnouncementMemory::Find(const std::string& upstream,
                                             int64_t started_at) const {
  auto it = known_.find(upstream);
  if (it == known_.end()) return nullptr;
  const Announcement& known = it->second.announcement;
  return known.started_at == started_at ? &known : nullptr;
}

}  // namespace almondwind::machines
