// Tests of upstreams that say in their responses that they are leaving, while
// the platform's store still lists them as ready.

#define BOOST_TEST_MODULE sidecar_leaving
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

constexpr const char* kDocument = "1 s 1000 safe 2";

// Three nodes; the upstream of node 0 says that it is leaving.
struct Cluster : World {
  explicit Cluster(int port) : World(3, port) {
    for (int i = 0; i < 3; ++i) Publish(i, kDocument);
    WaitForLinks();
    upstreams[0]->script = {
        {"HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nLeaving: 1\r\n"
         "Content-Length: 2\r\n\r\nok",
         false, 0}};
  }
  void WaitForLinks() {
    BOOST_REQUIRE(Until([&] {
      return nodes[0]->peers_up() == 2 && nodes[1]->peers_up() == 2 &&
             nodes[2]->peers_up() == 2;
    }));
  }
  // Sends 20 requests through each of `entries`; returns how many of them
  // upstream 0 gets. All must be answered with success.
  size_t RunsOfLeaving(const std::vector<int>& entries) {
    size_t before = upstreams[0]->seen.size();
    for (int i = 0; i < 20; ++i) {
      for (int entry : entries) {
        auto caller = Call(entry);
        caller->Send(Get("r" + std::to_string(next++)));
        Until([&] { return !caller->answers.empty() || caller->ended; });
        BOOST_REQUIRE(caller->answers.size() == 1U);
        BOOST_TEST(caller->answers[0].status == 200);
      }
    }
    return upstreams[0]->seen.size() - before;
  }

  int next = 0;
};

}  // namespace

// Failure: an upstream whose answers said that it leaves went on getting
// requests for as long as the store or a peer did not say so too.
BOOST_AUTO_TEST_CASE(an_upstream_that_says_it_leaves_gets_no_new_requests) {
  Cluster world(27000);
  BOOST_TEST(world.RunsOfLeaving({0, 1, 2}) > 0U);
  // Lists that were made before it left, and changes of other upstreams.
  fleet::Upstream cold = world.List()[0];
  cold.revision = {1, 3};
  cold.cold_left = Millis(100);
  for (const auto& feed : world.feeds) feed->events->OnUpstream(cold);
  BOOST_TEST(world.RunsOfLeaving({0, 1, 2}) == 0U);
}

// Failure: the gate's process restarted, its list said ready, and nodes that
// had passed on an answer of the leaving upstream sent it requests again.
BOOST_AUTO_TEST_CASE(
    a_restart_of_its_node_does_not_bring_a_leaving_upstream_back) {
  Cluster world(27040);
  BOOST_TEST(world.RunsOfLeaving({1, 2}) > 0U);
  world.RestartNode(0);
  world.Publish(0, kDocument);
  world.WaitForLinks();
  world.Run(Millis(700));  // reports of the new process
  BOOST_TEST(world.RunsOfLeaving({1, 2}) == 0U);
  // An entry that vanishes and is back does not bring it back either.
  for (const auto& feed : world.feeds) {
    feed->events->OnUpstreamGone("u0", {1, 4});
    feed->events->OnRevision({1, 4});
  }
  world.Run(Millis(1200));
  fleet::Upstream back = world.List()[0];
  back.revision = {1, 5};
  for (const auto& feed : world.feeds) {
    feed->events->OnUpstream(back);
    feed->events->OnRevision({1, 5});
  }
  BOOST_TEST(world.RunsOfLeaving({1, 2}) == 0U);
}

// A new process of the upstream at the same address, with the same id, is used
// although the old one was leaving.
BOOST_AUTO_TEST_CASE(a_new_start_of_a_leaving_upstream_is_used) {
  Cluster world(27080);
  world.RunsOfLeaving({0, 1, 2});
  world.upstreams[0]->script = world.upstreams[1]->script;
  fleet::Upstream restarted = world.List()[0];
  restarted.revision = {1, 6};
  restarted.started_at = 77;
  for (const auto& feed : world.feeds) feed->events->OnUpstream(restarted);
  world.Run(Millis(700));
  BOOST_TEST(world.RunsOfLeaving({0, 1, 2}) > 0U);
}

}  // namespace almondwind::sidecar::testing
