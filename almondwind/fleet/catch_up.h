// Decides when a node asks its peers for a newer version of a document.
//
// Peers report the versions that they have. A node that is behind waits for as
// long as others may be expected to deliver the newer version, then asks, and
// asks again if nothing has come. The delay counts from the first report of
// anything newer, not from the report of the peer that is asked.
//
//   catch_up.OnReported(theirs, ours, delay, now);
//   if (catch_up.ShouldAsk(ours, now)) Ask();
//   if (catch_up.behind()) timer.Start(catch_up.due() - now, ...);
//
// Cost: a few comparisons. Not thread-safe.
#ifndef ALMONDWIND_FLEET_CATCH_UP_H_
#define ALMONDWIND_FLEET_CATCH_UP_H_

#include <algorithm>

#include "almondwind/base/clock.h"
#include "almondwind/fleet/change_budget.h"
#include "almondwind/fleet/revision.h"

namespace almondwind::fleet {

// Returns how long the node that is in place `turn` of its zone waits for the
// others before it asks a peer of another zone.
inline base::Millis AskDelay(size_t turn) {
  constexpr auto kLastTurn =
      static_cast<size_t>(kMaxAskDelay.count() / kAskStagger.count());
  return kAskStagger * static_cast<int64_t>(std::min(turn + 1, kLastTurn));
}

struct CatchUpOptions {
  // Time after which a request is repeated: a large configuration on a slow
  // link takes most of it.
  base::Millis retry_delay{300};
};

class CatchUp {
 public:
  explicit CatchUp(const CatchUpOptions& options) : options_(options) {}

  // A peer has reported version `theirs`; this node has `ours`. `delay`: how
  // long others may be expected to deliver it. Returns whether the node has
  // just fallen behind.
  bool OnReported(const Revision& theirs, const Revision& ours,
                  base::Millis delay, base::Millis now) {
    Update(ours, now);
    if (theirs <= ours) return false;
    bool fell_behind = !behind_;
    if (fell_behind) {
      behind_ = true;
      asked_ = false;
      since_ = now;
      due_ = now + delay;
      ours_ = ours;
    }
    newest_ = std::max(newest_, theirs);
    if (!asked_) due_ = std::min(due_, since_ + delay);
    return fell_behind;
  }

  // Returns whether to ask now. If so, the next request is due after the retry
  // delay.
  bool ShouldAsk(const Revision& ours, base::Millis now) {
    Update(ours, now);
    if (!behind_ || now < due_) return false;
    asked_ = true;
    due_ = now + options_.retry_delay;
    return true;
  }

  bool behind() const { return behind_; }
  // Time of the first report of anything newer, and of the next request; valid
  // while behind.
  base::Millis since() const { return since_; }
  base::Millis due() const { return due_; }

 private:
  void Update(const Revision& ours, base::Millis now) {
    if (ours >= newest_) behind_ = false;
    if (!behind_ || ours == ours_) return;
    // The request was answered, and there is something newer since.
    ours_ = ours;
    asked_ = false;
    due_ = now;
  }

  CatchUpOptions options_;
  bool behind_ = false;
  bool asked_ = false;
  Revision newest_;  // that any peer has reported
  Revision ours_;
  base::Millis since_{0};
  base::Millis due_{0};
};

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_CATCH_UP_H_
