// Tests of the gate: order of refusal, maximum waits, dispatch after a pause of
// the process, ramping, and the limiters.

#define BOOST_TEST_MODULE gate
#include "almondwind/machines/gate.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "almondwind/machines/limiter.h"

namespace almondwind::machines {
namespace {

using base::Millis;
using base::Reason;
using base::RequestClass;

struct Harness : public GateEvents {
  explicit Harness(int slots, GateOptions options = {})
      : gate(slots, 100, options, *this) {}

  RunPtr Offer(RequestClass cls, int64_t deadline_ms = 10'000) {
    RunPtr run = new Run();
    run->id = ++last_id;
    RequestPtr request = new Request();
    request->cls = cls;
    request->deadline = now + Millis(deadline_ms);
    run->request = request;
    gate.Offer(run, now);
    return run;
  }
  void EndOne() {
    if (running.empty()) return;
    RunPtr run = running.front();
    running.erase(running.begin());
    gate.End(*run, {}, now);
  }
  void Start(Run& run) override { running.emplace_back(&run); }
  void Refused(Run& run, Reason reason) override {
    refused[run.id] = reason;
    for (size_t c = base::Index(run.request->cls) + 1; c < 4; ++c) {
      bool load =
          reason == Reason::kOverload || reason == Reason::kQueueTimeout;
      bool held = gate.queued(static_cast<RequestClass>(c)) > 0;
      lower_held_at_refusal = lower_held_at_refusal || (load && held);
    }
  }

  Millis now{1000};
  uint64_t last_id = 0;
  std::vector<RunPtr> running;
  std::map<uint64_t, Reason> refused;
  bool lower_held_at_refusal = false;
  Gate gate;
};

// Completes one run per slot, so that the gate's smoothed service time is 50
// ms.
void WarmUp(Harness& h, int slots) {
  for (int i = 0; i < slots; ++i) h.Offer(RequestClass::kNormal);
  h.now = h.now + Millis(50);
  for (int i = 0; i < slots; ++i) h.EndOne();
}

}  // namespace

BOOST_AUTO_TEST_CASE(limit_is_kept) {
  Harness h(3);
  for (int i = 0; i < 10; ++i) h.Offer(RequestClass::kHigh);
  BOOST_TEST(h.gate.in_progress() == 3);
  BOOST_TEST(h.gate.queued() == 7U);
}

BOOST_AUTO_TEST_CASE(critical_evicts_lower_before_it_is_refused) {
  Harness h(1);
  WarmUp(h, 1);
  h.Offer(RequestClass::kNormal);  // occupies the slot
  RunPtr low = h.Offer(RequestClass::kBackground);
  h.now = h.now + Millis(10);
  bool refused = false;
  for (int i = 0; i < 40 && !refused; ++i) {
    RunPtr run = h.Offer(RequestClass::kCritical);
    refused = h.refused.count(run->id) != 0;
  }
  BOOST_TEST(refused);
  BOOST_TEST(h.refused.count(low->id) == 1U);
  // The floor keeps lower classes out until the wait of the refused class has
  // dropped.
  RunPtr after = h.Offer(RequestClass::kHigh);
  BOOST_TEST((h.refused.at(after->id) == Reason::kOverload));
  BOOST_TEST(!h.lower_held_at_refusal);
}

BOOST_AUTO_TEST_CASE(expired_in_queue_is_refused_at_dispatch) {
  Harness h(1);
  RunPtr first = h.Offer(RequestClass::kNormal);
  RunPtr late = h.Offer(RequestClass::kCritical, 100);
  // The process was paused: the first run ends with no tick in between.
  h.now = h.now + Millis(5000);
  h.EndOne();
  BOOST_TEST((h.refused.at(late->id) == Reason::kDeadline));
  BOOST_TEST(h.running.empty());
}

BOOST_AUTO_TEST_CASE(leaving_refuses_new_and_finishes_old) {
  Harness h(1);
  h.Offer(RequestClass::kNormal);
  RunPtr waiting = h.Offer(RequestClass::kNormal);
  h.gate.Leave();
  RunPtr late = h.Offer(RequestClass::kCritical);
  BOOST_TEST((h.refused.at(late->id) == Reason::kLeaving));
  h.EndOne();
  BOOST_TEST((waiting->state == RunState::kRunning));
}

// Pattern: an upstream in need states a rate. Failure: its gate kept to slots
// only, and short runs freed them many times a second.
BOOST_AUTO_TEST_CASE(a_stated_rate_is_kept_whatever_slots_are_free) {
  for (double rate : {0.0, 0.7, 3.0, 20.3, 250.0}) {
    Harness h(50);
    h.gate.SetRate(rate, h.now);
    size_t started = 0;
    for (int ms = 0; ms < 8000; ++ms, h.now = h.now + Millis(1)) {
      h.Offer(RequestClass::kNormal);
      if (ms % 10 == 0) h.gate.Tick(h.now);
      started += h.running.size();
      while (!h.running.empty()) h.EndOne();
    }
    double kept = std::max(rate, machines::Pacer::kMinRate);
    BOOST_TEST(static_cast<double>(started) <= 8 * kept + kept / 10 + 2, rate);
    BOOST_TEST(static_cast<double>(started) >= 8 * kept * 0.9 - 1, rate);
    h.gate.SetRate(std::nullopt, h.now);
    BOOST_TEST(h.gate.ExpectedWait(RequestClass::kCritical, h.now).count() ==
               0);
  }
}

// Routers choose by free slots, and the plan counts them. A rate is reported as
// the slots that it fills.
BOOST_AUTO_TEST_CASE(a_stated_rate_is_reported_as_slots) {
  Harness h(10);
  WarmUp(h, 10);  // runs of 50 ms
  BOOST_TEST(h.gate.CurrentLoad(h.now).limit == 10U);
  h.gate.SetRate(60, h.now);
  BOOST_TEST(h.gate.CurrentLoad(h.now).limit == 3U);
  h.gate.SetRate(1000, h.now);
  BOOST_TEST(h.gate.CurrentLoad(h.now).limit == 10U);
  h.gate.SetRate(0, h.now);
  BOOST_TEST(h.gate.CurrentLoad(h.now).limit == 1U);
}

BOOST_AUTO_TEST_CASE(cold_upstream_is_ramped) {
  Harness h(10);
  h.gate.Join(h.now, /*cold=*/true);
  BOOST_TEST(h.gate.Limit(h.now) == 2);
  BOOST_TEST(h.gate.Limit(h.now + Millis(1000)) == 6);
  BOOST_TEST(h.gate.Limit(h.now + Millis(2000)) == 10);
}

BOOST_AUTO_TEST_CASE(shedding_upstream_lowers_the_limit_and_it_returns) {
  Harness h(10);
  for (int i = 0; i < 5; ++i) {
    h.Offer(RequestClass::kNormal);
    h.now = h.now + Millis(60);
    RunPtr run = h.running.back();
    h.running.pop_back();
    h.gate.End(*run, {true}, h.now);
  }
  int low = h.gate.Limit(h.now);
  BOOST_TEST(low < 5);
  for (int i = 0; i < 400; ++i) {
    while (h.gate.in_progress() < h.gate.Limit(h.now)) {
      h.Offer(RequestClass::kNormal);
    }
    h.now = h.now + Millis(1);
    h.EndOne();
  }
  BOOST_TEST(h.gate.Limit(h.now) == 10);
}

// Checks invariants after random operations: no run is lost, the limit is kept,
// and no class is refused for load while a lower one is queued.
BOOST_AUTO_TEST_CASE(random_against_oracle) {
  bool good = rc::check([](std::vector<uint8_t> steps) {
    Harness h(2);
    std::vector<RunPtr> all;
    for (uint8_t step : steps) {
      auto cls = static_cast<RequestClass>(step % 4);
      switch (step / 4 % 5) {
        case 0:
        case 1:
          all.push_back(h.Offer(cls, 20 + step));
          break;
        case 2:
          h.EndOne();
          break;
        case 3:
          h.now = h.now + Millis(step);
          break;
        default:
          h.gate.Tick(h.now);
      }
      RC_ASSERT(h.gate.in_progress() <= 2);
      size_t live = static_cast<size_t>(h.gate.in_progress()) + h.gate.queued();
      size_t done = 0;
      for (const RunPtr& run : all) done += run->state == RunState::kDone;
      RC_ASSERT(live + done == all.size());
      RC_ASSERT(!h.lower_held_at_refusal);
    }
  });
  BOOST_TEST(good);
}

namespace {

// Returns how many requests an upstream with `slots` slots completes in one
// minute of overload behind a gate with limit `limit`. While the share of slots
// taken is `slow_share` or more, all runs take `slow_factor` times as long.
int CompletedUnderLoad(int slots, int limit, double slow_share,
                       double slow_factor) {
  constexpr double kWorkMs = 30;
  constexpr int kMinuteMs = 60'000;
  Harness h(limit);
  std::map<uint64_t, double> left;  // remaining work by run, in ms
  int completed = 0;
  for (int ms = 0; ms < kMinuteMs; ++ms) {
    h.now = h.now + Millis(1);
    while (h.gate.queued() < 3) h.Offer(RequestClass::kNormal);
    double taken = static_cast<double>(h.running.size()) / slots;
    double step = taken >= slow_share ? 1 / slow_factor : 1;
    std::vector<RunPtr> ended;
    for (const RunPtr& run : h.running) {
      auto [it, fresh] = left.emplace(run->id, kWorkMs);
      if ((it->second -= step) <= 0) ended.push_back(run);
    }
    for (const RunPtr& run : ended) {
      h.running.erase(std::find(h.running.begin(), h.running.end(), run));
      h.gate.End(*run, {}, h.now);
      ++completed;
    }
  }
  return completed;
}

}  // namespace

// Guards against lost throughput at an upstream that slows down when nearly all
// of its slots are taken, such as the last service of every call chain: at full
// load it completes the least.
BOOST_AUTO_TEST_CASE(an_upstream_that_slows_when_full_is_not_filled) {
  constexpr int kUsablePercent = 94;
  for (int slots : {15, 22, 65, 124}) {
    int usable = UsableSlots(slots, kUsablePercent);
    int full = CompletedUnderLoad(slots, slots, 0.95, 1.3);
    int left_free = CompletedUnderLoad(slots, usable, 0.95, 1.3);
    BOOST_TEST(left_free > full * 1.15);
    // Bounds the cost for an upstream that does not slow down.
    int steady = CompletedUnderLoad(slots, slots, 0.95, 1);
    BOOST_TEST(left_free > steady * 0.9);
  }
  BOOST_TEST(UsableSlots(1, kUsablePercent) == 1);
  BOOST_TEST(UsableSlots(4, kUsablePercent) == 3);
}

}  // namespace almondwind::machines
