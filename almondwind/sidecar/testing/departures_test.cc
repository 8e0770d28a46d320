// Tests of upstreams that leave without announcing it, while nodes have trouble
// with the platform's store.

#define BOOST_TEST_MODULE sidecar_departures
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

// Three nodes of one zone. Node 0 and 1 read the store; node 2 follows them.
struct Zone : World {
  explicit Zone(int port) : World(3, port) {
    for (int i = 0; i < 3; ++i) Publish(i, "1 s 1000 safe 2");
    BOOST_REQUIRE(Until([&] {
      return nodes[0]->peers_up() == 2 && nodes[2]->peers_up() == 2;
    }));
    Confirm(0);
    Confirm(1);
  }
  FeedEvents& feed(size_t i) { return *feeds[i]->events; }
  // The store answers node `i` that nothing has changed.
  void Confirm(size_t i) { feed(i).OnRevision(2); }
  // Runs for `span`, in which the store answers node 1 only.
  void RunConfirmed(Millis span) {
    for (Millis end = clock.Now() + span; clock.Now() < end;) {
      Run(Millis(200));
      Confirm(1);
    }
  }
  // The store reports to node `i` that the entry of upstream 2 was removed.
  void Remove(size_t i) {
    feed(i).OnUpstreamGone("u2", 3);
    feed(i).OnRevision(3);
  }
  // Returns whether upstream 2 gets any of `count` requests.
  bool UpstreamTwoIsUsed(int count = 30) {
    size_t before = upstreams[2]->seen.size();
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(Call(i % 3));
      callers.back()->Send(Get("r" + std::to_string(i)));
    }
    for (const auto& caller : callers) {
      Until([&] { return !caller->answers.empty() || caller->ended; });
    }
    return upstreams[2]->seen.size() > before;
  }
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
  zone.feed(0).OnAvailable(false, "status 503");
  zone.RunConfirmed(Millis(600));
  zone.feed(0).OnAvailable(true, "watch answered");
  zone.Confirm(0);
  zone.Remove(0);
  zone.Remove(1);
  zone.Run(kRemovalBound);
  BOOST_TEST(!zone.UpstreamTwoIsUsed());
}

// Failure: the same after an outage of the store, of which a reader learned
// only seconds after its end, from the removal itself: its watch had been
// waiting.
BOOST_AUTO_TEST_CASE(the_return_of_the_store_is_not_dated_from_a_late_answer) {
  Zone zone(25040);
  zone.feed(0).OnAvailable(false, "connection lost");
  zone.feed(1).OnAvailable(false, "connection lost");
  zone.Run(Millis(2500));
  zone.feed(1).OnAvailable(true, "watch answered");
  zone.Confirm(1);
  zone.RunConfirmed(Millis(3000));
  zone.feed(0).OnAvailable(true, "watch answered");
  zone.Remove(0);
  zone.Remove(1);
  zone.Run(kRemovalBound);
  BOOST_TEST(!zone.UpstreamTwoIsUsed());
}

// Failure: the removal of an entry was delayed while it was pending, and then
// never carried out: its timer fired at the old time and was not started again.
BOOST_AUTO_TEST_CASE(a_removal_that_was_delayed_is_carried_out) {
  Zone zone(25120);
  zone.Run(Millis(2500));
  for (size_t i : {0, 1, 2}) {
    zone.feed(i).OnAvailable(false, "connection lost");
    zone.feed(i).OnUpstreamGone("u2", 3);
    zone.feed(i).OnAvailable(true, "watch answered");
    zone.feed(i).OnRevision(3);
  }
  zone.Run(Millis(2400));
  BOOST_TEST(!zone.UpstreamTwoIsUsed());
}

// Failure of a fix of the two above: entries that expired in an outage of the
// store are restored within two seconds of its return; a node that gave them up
// earlier would take running upstreams out of use.
BOOST_AUTO_TEST_CASE(entries_that_expired_in_an_outage_are_kept_by_all) {
  Zone zone(25080);
  zone.feed(0).OnAvailable(false, "connection lost");
  zone.feed(1).OnAvailable(false, "connection lost");
  zone.Run(Millis(2500));
  zone.feed(1).OnAvailable(true, "watch answered");
  zone.Remove(1);
  zone.Run(Millis(1600));
  BOOST_TEST(zone.UpstreamTwoIsUsed());
  zone.Run(Millis(800));
  BOOST_TEST(!zone.UpstreamTwoIsUsed());
}

}  // namespace almondwind::sidecar::testing
