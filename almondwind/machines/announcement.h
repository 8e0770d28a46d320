// What an upstream says about itself in its responses.
//
// An upstream in need states a request rate that it takes from all nodes
// together, for as long as it says so. Every request to an upstream passes the
// gate beside it, so the gate alone keeps the rate. It tells the other nodes,
// which remember it: if the gate's process restarts, they remind the new one.
//
// An upstream that is going to shut down says so in all its responses, at times
// before the platform's store does. That is final for its process: no older
// entry, list or report brings it back.
//
//   AnnouncementTracker tracker;  // at the gate
//   if (tracker.OnResponse(sent_at, stated, now)) gate.SetRate(...);
//   AnnouncementMemory memory;    // at every node
//   memory.Remember(state.announcement);
//   if (auto* known = memory.Find(id, started_at)) call.reminder = *known;
//
// Bounds: AnnouncementMemory::kMaxUpstreams; beyond them the oldest is
// forgotten. Cost: constant, but linear in the bound once it is reached. Not
// thread-safe.
#ifndef ALMONDWIND_MACHINES_ANNOUNCEMENT_H_
#define ALMONDWIND_MACHINES_ANNOUNCEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "almondwind/base/clock.h"

namespace almondwind::machines {

// What one process of an upstream has announced.
struct Announcement {
  std::string upstream;  // id; empty: nothing is known
  // Unix time in ms, distinguishes incarnations; 0: not known to the gate yet.
  int64_t started_at = 0;
  // Whether the gate has had a response from it, and so knows the rest itself.
  bool first_hand = false;
  // Requests per second that it takes from all nodes together.
  std::optional<double> rate;
  bool leaving = false;

  bool empty() const { return !rate && !leaving; }
};

class AnnouncementTracker {
 public:
  const Announcement& current() const { return current_; }

  // Sets the upstream behind the gate. Forgets what another process of it, or
  // another upstream, had announced.
  void SetUpstream(const std::string& upstream, int64_t started_at);
  // A response to a request that was sent at `sent_at`. Responses overtake each
  // other: one without a rate ends the limit only if its request was sent after
  // the newest response with a rate had come. Returns whether anything but
  // first_hand has changed.
  bool OnResponse(base::Millis sent_at, std::optional<double> rate,
                  bool leaving, base::Millis now);
  // What another node remembers. Ignored once the upstream has responded to
  // this process. Returns whether anything has changed.
  bool OnReminder(const Announcement& reminder);

 private:
  Announcement current_;
  base::Millis rate_stated_at_{0};  // time of the newest response with a rate
};

class AnnouncementMemory {
 public:
  static constexpr size_t kMaxUpstreams = 1024;

  // Records what a gate reports of its upstream. Returns whether it is news
  // that the upstream is leaving.
  bool Remember(const Announcement& reported);
  // Returns what the process `started_at` of `upstream` has announced, or null.
  const Announcement* Find(const std::string& upstream,
                           int64_t started_at) const;

 private:
  struct Entry {
    Announcement announcement;
    uint64_t added = 0;  // order in which the entries came
  };

  void ForgetOldest();

  std::unordered_map<std::string, Entry> known_;  // by upstream id
  uint64_t added_ = 0;
};

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_ANNOUNCEMENT_H_
