// Tests of upstreams that leave without announcing it, while nodes have trouble
// with the platform's store.

#define BOOST_TEST_MODULE sidecar_departures
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

// Three nodes of one zone: two that read the store and one that follows them,
// whose upstream leaves.
struct Zone : World {
  explicit Zone(int port) : World(3, port) {
    for (int i = 0; i < 3; ++i) Publish(i, "1 s 1000 safe 2");
    BOOST_REQUIRE(Until([&] {
      // A node that the store has not answered for long would read by itself.
      for (size_t i = 0; i < 3; ++i) Confirm(i);
      return Followers() == 1;
    }));
    for (size_t i = 0; i < 3; ++i) {
      if (feeds[i]->mode == fleet::WatchMode::kNone) follower = i;
    }
    reader = (follower + 1) % 3;
    other_reader = (follower + 2) % 3;
  }
  size_t Followers() const {
    size_t count = 0;
    for (const auto& feed : feeds) {
      count += feed->mode == fleet::WatchMode::kNone ? 1 : 0;
    }
    return count;
  }
  FeedEvents& feed(size_t i) { return *feeds[i]->events; }
  // The store answers node `i` that nothing has changed.
  void Confirm(size_t i) { feed(i).OnRevision({1, 2}); }
  // Runs for `span`, in which the store answers the other reader only.
  void RunConfirmed(Millis span) {
    for (Millis end = clock.Now() + span; clock.Now() < end;) {
      Run(Millis(200));
      Confirm(other_reader);
    }
  }
  std::string leaving() const { return "u" + std::to_string(follower); }
  // The store reports to node `i` that the entry of the leaving upstream was
  // removed.
  void Remove(size_t i) {
    feed(i).OnUpstreamGone(leaving(), {1, 3});
    feed(i).OnRevision({1, 3});
  }
  // Returns whether the leaving upstream gets any of `count` requests.
  bool LeavingIsUsed(int count = 30) {
    const std::vector<http::Request>& seen = upstreams[follower]->seen;
    size_t before = seen.size();
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(Call(i % 3));
      callers.back()->Send(Get("r" + std::to_string(i)));
    }
    for (const auto& caller : callers) {
      Until([&] { return !caller->answers.empty() || caller->ended; });
    }
    return seen.size() > before;
  }

  size_t follower = 0;
  size_t reader = 0;
  size_t other_reader = 0;
};

// The platform allows 2 s between the removal of an entry and the last request
// that the upstream gets.
constexpr Millis kRemovalBound{1700};

}  // namespace

// Failure: an upstream got requests seconds after its entry was removed,
// because one reader that the store had refused for a moment made its whole
// zone keep vanished entries, though the store had served the other nodes all
// the time.
BOOST_AUTO_TEST_CASE(a_refused_reader_does_not_prolong_the_use_of_departed) {
  Zone zone(25000);
  zone.feed(zone.reader).OnAvailable(false, "status 503");
  zone.RunConfirmed(Millis(600));
  zone.feed(zone.reader).OnAvailable(true, "watch answered");
  zone.Confirm(zone.reader);
  zone.Remove(zone.reader);
  zone.Remove(zone.other_reader);
  zone.Run(kRemovalBound);
  BOOST_TEST(!zone.LeavingIsUsed());
}

// Failure: the same after an outage of the store, of which a reader learned
// only seconds after its end, from the removal itself: its watch had been
// waiting.
BOOST_AUTO_TEST_CASE(the_return_of_the_store_is_not_dated_from_a_late_answer) {
  Zone zone(25040);
  zone.feed(zone.reader).OnAvailable(false, "connection lost");
  zone.feed(zone.other_reader).OnAvailable(false, "connection lost");
  zone.Run(Millis(2500));
  zone.feed(zone.other_reader).OnAvailable(true, "watch answered");
  zone.Confirm(zone.other_reader);
  zone.RunConfirmed(Millis(3000));
  zone.feed(zone.reader).OnAvailable(true, "watch answered");
  zone.Remove(zone.reader);
  zone.Remove(zone.other_reader);
  zone.Run(kRemovalBound);
  BOOST_TEST(!zone.LeavingIsUsed());
}

// Failure: the removal of an entry was delayed while it was pending, and then
// never carried out: its timer fired at the old time and was not started again.
BOOST_AUTO_TEST_CASE(a_removal_that_was_delayed_is_carried_out) {
  Zone zone(25120);
  zone.Run(Millis(2500));
  for (size_t i : {0, 1, 2}) {
    zone.feed(i).OnAvailable(false, "connection lost");
    zone.feed(i).OnUpstreamGone(zone.leaving(), {1, 3});
    zone.feed(i).OnAvailable(true, "watch answered");
    zone.feed(i).OnRevision({1, 3});
  }
  zone.Run(Millis(2400));
  BOOST_TEST(!zone.LeavingIsUsed());
}

// Failure of a fix of the two above: entries that expired in an outage of the
// store are restored within two seconds of its return; a node that gave them up
// earlier would take running upstreams out of use.
BOOST_AUTO_TEST_CASE(entries_that_expired_in_an_outage_are_kept_by_all) {
  Zone zone(25080);
  zone.feed(zone.reader).OnAvailable(false, "connection lost");
  zone.feed(zone.other_reader).OnAvailable(false, "connection lost");
  zone.Run(Millis(2500));
  zone.feed(zone.other_reader).OnAvailable(true, "watch answered");
  zone.Remove(zone.other_reader);
  zone.Run(Millis(1600));
  BOOST_TEST(zone.LeavingIsUsed());
  zone.Run(Millis(800));
  BOOST_TEST(!zone.LeavingIsUsed());
}

}  // namespace almondwind::sidecar::testing
