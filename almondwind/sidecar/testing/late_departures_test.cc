// Tests of the time after which the last node stops using an upstream that has
// left.

#define BOOST_TEST_MODULE sidecar_late_departures
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

// Within this time of the first node, all nodes learn of a departure.
constexpr Millis kSpreadBound{800};
// The same until they stop using an upstream that has not marked itself as
// draining.
constexpr Millis kRemovalDelay{400};
// Between an acknowledged departure and the last request for the upstream.
constexpr Millis kDrainLimit{2000};

// Nodes in several zones. The upstream of the last node leaves.
struct Fleet : World {
  Fleet(int count, int port, int zones) : World(count, port, zones) {
    for (int i = 0; i < count; ++i) Publish(i, "1 s 1000 safe 2");
    BOOST_REQUIRE(Until([&] {
      bool linked = true;
      for (const auto& node : nodes) {
        linked = linked && node->peers_up() + 1 == nodes.size();
      }
      return linked;
    }));
    ConfirmAll();
    Run(Millis(700));
    ConfirmAll();
  }
  FeedEvents& feed(size_t i) { return *feeds[i]->events; }
  // The store answers all nodes that nothing has changed.
  void ConfirmAll() {
    for (size_t i = 0; i < nodes.size(); ++i) feed(i).OnRevision({1, 2});
  }
  // The store reports to node `i` that the entry of the leaving upstream was
  // removed.
  void Remove(size_t i) {
    feed(i).OnUpstreamGone("u" + std::to_string(nodes.size() - 1), {1, 3});
    feed(i).OnRevision({1, 3});
  }
  // Returns whether the leaving upstream gets any of some requests, that all
  // nodes receive.
  bool LeavingIsUsed() {
    const std::vector<http::Request>& seen = upstreams.back()->seen;
    size_t before = seen.size();
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (size_t i = 0; i < 10 * nodes.size(); ++i) {
      callers.push_back(Call(static_cast<int>(i % nodes.size())));
      callers.back()->Send(Get("r" + std::to_string(i)));
    }
    for (const auto& caller : callers) {
      Until([&] { return !caller->answers.empty() || caller->ended; });
    }
    return seen.size() > before;
  }
};

}  // namespace

// Failure: nodes of a zone whose readers get no answers learned of a departure
// up to 1.6 s after the first node, since they waited for a delay and then for
// another report before they asked another zone.
BOOST_AUTO_TEST_CASE(a_zone_without_readers_learns_of_a_departure_in_time) {
  Fleet fleet(4, 25400, /*zones=*/2);
  BOOST_TEST(fleet.LeavingIsUsed());
  fleet.Remove(0);
  fleet.Run(kSpreadBound + kRemovalDelay);
  BOOST_TEST(!fleet.LeavingIsUsed());
}

// Failure: requests that waited in the queue of a gate were sent to its
// upstream for up to half of their deadline after it had said that it leaves.
BOOST_AUTO_TEST_CASE(a_queue_does_not_outlive_the_departure) {
  World world(2, 25520);
  for (int i : {0, 1}) world.Publish(i, "1 s 8000 safe 2");
  BOOST_REQUIRE(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
  for (const auto& upstream : world.upstreams) {
    upstream->script[0].delay_ms = 700;
  }
  // Fills both upstreams, and the queues of both gates.
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 12; ++i) {
    callers.push_back(world.Call(i % 2));
    callers.back()->Send(Get("r" + std::to_string(i), 8000));
  }
  world.Run(Millis(200));
  std::vector<http::Request>& seen = world.upstreams[0]->seen;
  BOOST_TEST(seen.size() == 4U);
  fleet::Upstream leaving = world.List()[0];
  leaving.draining = true;
  leaving.revision = {1, 3};
  for (int i : {0, 1}) world.feeds[i]->events->OnUpstream(leaving);
  for (const auto& caller : callers) {
    BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
  }
  BOOST_TEST(seen.size() == 4U);
  // Those that waited were served by the other upstream, or refused at once.
  BOOST_TEST(world.upstreams[1]->seen.size() >= 6U);
}

// Failure: an upstream that had said that it leaves got requests until the list
// of upstreams came, though each of its answers closed the connection and its
// health page said that it does not serve.
BOOST_AUTO_TEST_CASE(a_gate_hears_of_a_departure_from_its_upstream) {
  World world(2, 25600);
  for (int i : {0, 1}) world.Publish(i, "1 s 1000 safe 2");
  BOOST_REQUIRE(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
  auto ask = [&world](int count) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(world.Call(i % 2));
      callers.back()->Send(Get("r" + std::to_string(i)));
      BOOST_TEST(world.Until([&] { return !callers.back()->answers.empty(); }));
      BOOST_TEST(callers.back()->answers.at(0).status == 200);
    }
  };
  TestUpstream& leaving = *world.upstreams[1];
  const std::string kept = leaving.script[0].answer;
  leaving.script = {
      {"HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n"
       "Connection: close\r\nContent-Length: 2\r\n\r\nok",
       true, 0}};
  ask(20);
  world.Run(Millis(1000));
  ask(20);
  // Closing answers alone are no sign, and are not asked about again.
  BOOST_TEST(leaving.probes == 1);
  size_t before = leaving.seen.size();
  BOOST_TEST(before > 6U);
  world.RestartNode(1);  // its gate asks anew
  world.Publish(1, "1 s 1000 safe 2");
  BOOST_REQUIRE(world.Until([&] { return world.nodes[1]->peers_up() == 1; }));
  leaving.health = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
  ask(20);
  world.Run(Millis(1000));
  ask(20);
  world.Run(Millis(50));
  BOOST_TEST(leaving.probes >= 2);
  before = leaving.seen.size();
  ask(20);
  BOOST_TEST(leaving.seen.size() == before);
  // It was only ill.
  leaving.health = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  leaving.script = {{kept, false, 0}};
  world.Run(Millis(1500));
  ask(20);
  BOOST_TEST(leaving.seen.size() > before);
}

// Failure of the above: an upstream whose health page failed for a while, and
// whose entry was removed and restored meanwhile, was never used again.
BOOST_AUTO_TEST_CASE(an_ill_upstream_that_lapsed_is_used_again) {
  World world(1, 25640);
  world.Publish(0, "1 s 1000 safe 2");
  TestUpstream& ill = *world.upstreams[0];
  const std::string kept = ill.script[0].answer;
  ill.health = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
  ill.script = {
      {"HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n"
       "Connection: close\r\nContent-Length: 2\r\n\r\nok",
       true, 0}};
  auto status = [&world] {
    auto caller = world.Call(0);
    caller->Send(Get("r"));
    BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
    return caller->answers.at(0).status;
  };
  BOOST_REQUIRE(world.Until([&] { return status() == 503; }));
  world.feeds[0]->events->OnUpstreamGone("u0", {1, 3});
  world.Run(Millis(1600));  // until the next probe would be due
  ill.health = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  ill.script = {{kept, false, 0}};
  fleet::Upstream restored = world.List()[0];
  restored.revision = {1, 4};
  world.feeds[0]->events->OnUpstream(restored);
  BOOST_TEST(world.Until([&] { return status() == 200; }, Millis(3000)));
}

// Failure: an upstream that had left was used for 2.2 s more, because watches
// that the store had held were taken for an outage.
BOOST_AUTO_TEST_CASE(held_watches_are_no_outage,
                     *boost::unit_test::label("false_outages")) {
  Fleet fleet(3, 25440, /*zones=*/3);
  fleet.Run(Millis(2800));
  for (size_t i : {0, 1, 2}) fleet.Remove(i);
  fleet.Run(kDrainLimit - Millis(100));
  BOOST_TEST(!fleet.LeavingIsUsed());
}

// Failure: the same because of the time in which the nodes themselves did not
// run.
BOOST_AUTO_TEST_CASE(a_pause_of_the_node_is_no_outage,
                     *boost::unit_test::label("false_outages")) {
  Fleet fleet(3, 25480, /*zones=*/3);
  std::this_thread::sleep_for(std::chrono::milliseconds(2800));
  for (size_t i : {0, 1, 2}) {
    fleet.feed(i).OnAvailable(false, "no answer in time");
    fleet.feed(i).OnAvailable(true, "watch answered");
    fleet.Remove(i);
  }
  fleet.Run(kDrainLimit - Millis(100));
  BOOST_TEST(!fleet.LeavingIsUsed());
}

// Failure: a removal that was due after the end of a planned stop made the node
// dial all its peers again, and its process was still there at the end of the
// grace time.
BOOST_AUTO_TEST_CASE(a_node_that_has_stopped_dials_no_peer) {
  Fleet fleet(3, 25560, /*zones=*/1);
  bool stopped = false;
  fleet.nodes[0]->Stop([&stopped](bool) { stopped = true; });
  fleet.Run(Millis(2100));
  BOOST_REQUIRE(!stopped);
  fleet.Remove(0);
  BOOST_REQUIRE(fleet.Until([&stopped] { return stopped; }));
  fleet.Run(kRemovalDelay + Millis(200));
  BOOST_TEST(fleet.nodes[0]->peers_up() == 0U);
  BOOST_TEST(fleet.nodes[1]->peers_up() == 1U);
}

}  // namespace almondwind::sidecar::testing
