// Recognizes an upstream that leaves by its own answers, without the platform's
// store.
//
// An upstream that is going to shut down closes the connection with each of its
// answers, and its health page says that it does not serve. Either sign alone
// may mean something else: answers close connections now and then, or always at
// some upstreams, and a page may fail for load. So some closing answers in a
// row cause one probe of the page, and the page decides. A page that says later
// that the upstream serves takes that back.
//
// An upstream that leaves serves on for a while, and the list of upstreams
// normally says first that it leaves. So the page is asked only some time after
// the last answer that kept its connection: the upstream was not leaving then.
//
//   detector.OnAnswer(!response.keep_alive, now);
//   if (detector.ShouldProbe(now)) SendProbe();  // reports to OnHealth
//   if (detector.OnHealth(health, now)) ...      // leaving() has changed
//
// Cost: a comparison for each answer. Not thread-safe.
#ifndef ALMONDWIND_MACHINES_LEAVING_DETECTOR_H_
#define ALMONDWIND_MACHINES_LEAVING_DETECTOR_H_

#include <cstdint>

#include "almondwind/base/clock.h"
#include "almondwind/base/names.h"

namespace almondwind::machines {

// What the health page of an upstream says.
enum class Health : uint8_t { kServing, kNotServing, kUnknown };
constexpr base::Names<3> kHealthNames = {"serving", "not_serving", "unknown"};

struct LeavingDetectorOptions {
  // Closing answers in a row after which the page is asked.
  int closing_answers = 3;
  // Time after the last answer that kept its connection, before which the page
  // is not asked.
  base::Millis delay{1000};
  // Time to the next probe: while the page does not say that the upstream
  // serves, and after it has, for upstreams that close all their connections.
  base::Millis probe_interval{1000};
  base::Millis serving_interval{10'000};
};

class LeavingDetector {
 public:
  explicit LeavingDetector(const LeavingDetectorOptions& options)
      : options_(options) {}

  // The upstream has answered a request; `closes`: it closes the connection.
  void OnAnswer(bool closes, base::Millis now) {
    row_ = closes ? row_ + 1 : 0;
    if (!closes) kept_at_ = now;
  }
  // Returns whether the page is to be asked. If so, OnHealth must follow.
  bool ShouldProbe(base::Millis now) {
    bool suspected = leaving_ || (row_ >= options_.closing_answers &&
                                  now - kept_at_ >= options_.delay);
    if (probing_ || !suspected || now < next_probe_) return false;
    probing_ = true;
    return true;
  }
  // Returns whether leaving() has changed.
  bool OnHealth(Health health, base::Millis now) {
    probing_ = false;
    bool serving = health == Health::kServing;
    next_probe_ =
        now + (serving ? options_.serving_interval : options_.probe_interval);
    if (health == Health::kUnknown) return false;
    bool before = leaving_;
    leaving_ = !serving;
    if (serving) row_ = 0;
    return leaving_ != before;
  }
  // Forgets the upstream, as another process has taken its place.
  void Reset() {
    row_ = 0;
    leaving_ = false;
    kept_at_ = base::Millis(0);
    next_probe_ = base::Millis(0);
  }

  bool leaving() const { return leaving_; }
  // Time of the next probe while leaving.
  base::Millis next_probe() const { return next_probe_; }

 private:
  LeavingDetectorOptions options_;
  int row_ = 0;  // closing answers
  bool probing_ = false;
  bool leaving_ = false;
  base::Millis kept_at_{0};  // of the last answer that kept its connection
  base::Millis next_probe_{0};
};

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_LEAVING_DETECTOR_H_
