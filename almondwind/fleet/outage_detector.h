// Recognizes outages of the platform's store from the times at which it has
// answered any node.
//
// A node that the store refuses or that is cut off knows only its own trouble;
// the entries of running upstreams expire only if the store itself is away.
// Peers report how long ago the store answered them. If it answered none of
// them for OutageOptions::silence, it was away until the next answer.
//
//   if (detector.OnAnswered(now - age)) view.OnStoreReturned(now - age);
//
// Cost: one comparison. Not thread-safe.
#ifndef ALMONDWIND_FLEET_OUTAGE_DETECTOR_H_
#define ALMONDWIND_FLEET_OUTAGE_DETECTOR_H_

#include <algorithm>

#include "almondwind/base/clock.h"

namespace almondwind::fleet {

struct OutageOptions {
  // Time without an answer to any node that counts as an outage. Longer than a
  // reader takes from one answer to the next: the wait of a short watch and the
  // delay after one that returned changes, 1.3 s.
  base::Millis silence{1500};
};

class OutageDetector {
 public:
  explicit OutageDetector(const OutageOptions& options) : options_(options) {}

  // Records that the store answered some node at `at`. Returns whether it had
  // been away until then. Times may come in any order.
  bool OnAnswered(base::Millis at) {
    bool first = last_answer_ == base::Millis(0);
    bool returned = !first && at - last_answer_ > options_.silence;
    last_answer_ = std::max(last_answer_, at);
    return returned;
  }
  // Time of the newest answer; 0 before the first.
  base::Millis last_answer() const { return last_answer_; }

 private:
  const OutageOptions options_;
  base::Millis last_answer_{0};
};

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_OUTAGE_DETECTOR_H_
