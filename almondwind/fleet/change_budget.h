// How long a change of the platform's store takes until all nodes act on it.
//
// Every delay on the way is stated here, and the components take their defaults
// from here, so that their sums can be compared with the limits of the platform
// (testing/change_budget_test.cc). The sums hold if the store answers a reader
// of any availability zone, whether it answers the readers of the others or
// not.
//
//   store -> first node -> report to other zones -> request -> all nodes
//         -> out of use
#ifndef ALMONDWIND_FLEET_CHANGE_BUDGET_H_
#define ALMONDWIND_FLEET_CHANGE_BUDGET_H_

#include "almondwind/base/clock.h"

namespace almondwind::fleet {

// Delay of a reader from a watch that returned changes to its next watch.
constexpr base::Millis kWatchPause{500};
// Interval of a node's reports of its state, which tell its peers that it knows
// something newer.
constexpr base::Millis kReportInterval{500};
// A node whose zone has not delivered a change asks a peer of another zone. The
// nodes of a zone ask one after another, in the order of the reader election,
// so that usually only the first one transfers it between the zones. The delay
// of the later ones is bounded, because the first ones may be paused.
constexpr base::Millis kAskStagger{50};
constexpr base::Millis kMaxAskDelay{200};
// Request and response between two zones, and the same in the own zone.
constexpr base::Millis kTransferTime{100};
// How long an entry that was removed without having been marked as draining is
// kept in use, in case it is restored.
constexpr base::Millis kRemovalDelay{400};

// How long the gate beside an upstream that itself says that it leaves waits
// for the list of upstreams to say so (machines/leaving_detector.h). The
// upstream serves on meanwhile.
constexpr base::Millis kOwnSignDelay{1000};

// From the change to the first node that knows it.
constexpr base::Millis TimeToFirstNode() { return kWatchPause; }
// From the first node to the last.
constexpr base::Millis TimeToOtherNodes() {
  return kReportInterval + kMaxAskDelay + kTransferTime;
}
// Until a change is in force at all nodes.
constexpr base::Millis TimeInForce() {
  return TimeToFirstNode() + TimeToOtherNodes();
}
// Until no node sends requests to an upstream that has left.
constexpr base::Millis TimeToLastUse() { return TimeInForce() + kRemovalDelay; }

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_CHANGE_BUDGET_H_
