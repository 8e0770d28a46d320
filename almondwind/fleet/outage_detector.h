// Recognizes outages of the platform's store, in which the entries of running
// upstreams expire.
//
// A node that the store refuses or that is cut off knows only its own trouble,
// and a store that holds its watches is not away. So an outage takes two signs:
// the store answered no node for OutageOptions::silence, and readers of several
// availability zones found it failing meanwhile. Peers report how long ago the
// store answered them, and whether it fails for them. The time in which this
// node did not run says nothing.
//
//   detector.OnFailing(peer_zone, now);
//   if (detector.OnAnswered(now - age)) view.OnStoreReturned(now - age);
//
// Cost: one map operation for a failure, a comparison for an answer. Not
// thread-safe.
#ifndef ALMONDWIND_FLEET_OUTAGE_DETECTOR_H_
#define ALMONDWIND_FLEET_OUTAGE_DETECTOR_H_

#include <algorithm>
#include <map>
#include <string>

#include "almondwind/base/clock.h"

namespace almondwind::fleet {

struct OutageOptions {
  // Time without an answer to any node that counts as an outage. Longer than a
  // reader takes from one answer to the next: the wait of a short watch and the
  // delay after one that returned changes, 1.3 s.
  base::Millis silence{1500};
  // Zones whose readers must have failed, or all if there are fewer.
  size_t failing_zones = 2;
};

class OutageDetector {
 public:
  explicit OutageDetector(const OutageOptions& options) : options_(options) {}

  // Sets the number of zones that have nodes.
  void SetZones(size_t zones) { zones_ = zones; }
  // Records that the store did not answer a reader in `zone`, as known at `at`.
  void OnFailing(const std::string& zone, base::Millis at) {
    failing_at_[zone] = std::max(failing_at_[zone], at);
  }
  // This node did not run until `now`: it cannot tell what was answered.
  void OnPaused(base::Millis now) {
    if (last_answer_ != base::Millis(0)) last_answer_ = now;
  }
  // Records that the store answered some node at `at`. Returns whether it had
  // been away until then. Times may come in any order.
  bool OnAnswered(base::Millis at) {
    bool first = last_answer_ == base::Millis(0);
    size_t needed =
        std::max<size_t>(1, std::min(options_.failing_zones, zones_));
    bool returned = !first && at - last_answer_ > options_.silence &&
                    FailingZones() >= needed;
    last_answer_ = std::max(last_answer_, at);
    return returned;
  }
  // Time of the newest answer; 0 before the first.
  base::Millis last_answer() const { return last_answer_; }
  // Returns in how many zones the store has failed since its newest answer.
  size_t FailingZones() const {
    return static_cast<size_t>(std::count_if(
        failing_at_.begin(), failing_at_.end(),
        [this](const auto& row) { return row.second > last_answer_; }));
  }
  // Whether the store has answered nobody for so long, until `at`, that it may
  // have been away.
  bool Unanswered(base::Millis at) const {
    return last_answer_ != base::Millis(0) &&
           at - last_answer_ > options_.silence;
  }

 private:
  const OutageOptions options_;
  size_t zones_ = 1;
  std::map<std::string, base::Millis> failing_at_;  // newest, by zone
  base::Millis last_answer_{0};
};

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_OUTAGE_DETECTOR_H_
