#include "almondwind/machines/announcement.h"

namespace almondwind::machines {

using base::Millis;

void AnnouncementTracker::SetUpstream(const std::string& upstream,
                                      int64_t started_at) {
  if (current_.upstream == upstream && current_.started_at == started_at) {
    return;
  }
  current_ = Announcement();
  current_.upstream = upstream;
  current_.started_at = started_at;
  rate_stated_at_ = Millis(0);
}

bool AnnouncementTracker::OnResponse(Millis sent_at, std::optional<double> rate,
                                     Millis now) {
  Announcement before = current_;
  current_.first_hand = true;
  if (rate) {
    current_.rate = rate;
    rate_stated_at_ = now;
  } else if (sent_at >= rate_stated_at_) {
    current_.rate.reset();
  }
  return before.rate != current_.rate;
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

void AnnouncementMemory::Remember(const Announcement& reported) {
  if (reported.upstream.empty()) return;
  auto it = known_.find(reported.upstream);
  if (it != known_.end() && it->second.started_at > reported.started_at) return;
  bool same =
      it != known_.end() && it->second.started_at == reported.started_at;
  // A gate whose process has just started does not know what its predecessor
  // knew.
  if (same && !reported.first_hand && reported.empty()) return;
  if (reported.empty()) {
    if (it != known_.end()) known_.erase(it);
    return;
  }
  if (it == known_.end() && known_.size() >= kMaxUpstreams) return;
  known_[reported.upstream] = reported;
}

const Announcement* AnnouncementMemory::Find(const std::string& upstream,
                                             int64_t started_at) const {
  auto it = known_.find(upstream);
  bool found = it != known_.end() && it->second.started_at == started_at;
  return found ? &it->second : nullptr;
}

}  // namespace almondwind::machines
