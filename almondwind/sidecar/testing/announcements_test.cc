// Tests of upstreams that state in their responses how many requests per second
// they take.

#define BOOST_TEST_MODULE sidecar_announcements
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

std::string Stating(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n" + fields +
         "Content-Length: 2\r\n\r\nok";
}

struct Cluster : World {
  Cluster(int count, int port, const std::string& document)
      : World(count, port) {
    for (int i = 0; i < count; ++i) Publish(i, document);
    BOOST_REQUIRE(
        Until([&] { return nodes[0]->peers_up() + 1 == nodes.size(); }));
  }
  // Sends `per_s` requests a second for `span`, each from a new caller of the
  // nodes `entries` in turn. Then waits for their ends.
  void Load(int per_s, Millis span, const std::vector<int>& entries) {
    int total = static_cast<int>(per_s * span.count() / 1000);
    for (int i = 0; i < total; ++i) {
      sent.push_back(Call(entries[static_cast<size_t>(i) % entries.size()]));
      sent.back()->Send(Get("r" + std::to_string(next++)));
      Run(Millis(1000 / per_s));
    }
    for (const auto& caller : sent) {
      Until([&] { return !caller->answers.empty() || caller->ended; });
    }
  }
  // Returns how many of the callers got an answer with `status`.
  int64_t Answered(int status) const {
    return std::count_if(sent.begin(), sent.end(), [&](const auto& c) {
      return !c->answers.empty() && c->answers[0].status == status;
    });
  }

  std::vector<std::unique_ptr<TestCaller>> sent;
  int next = 0;
};

}  // namespace

// Failure: an upstream in need got far more requests than it had stated that it
// takes. The requests beyond its rate must be served by others that have room.
BOOST_AUTO_TEST_CASE(an_upstream_gets_no_more_than_the_rate_it_states) {
  Cluster world(2, 26000, "1 s 1000 safe 2");
  world.upstreams[0]->script = {{Stating("Rate: 8\r\n"), false, 0}};
  world.Load(20, Millis(500), {0, 1});
  size_t before = world.upstreams[0]->seen.size();
  world.Load(50, Millis(4000), {0, 1});
  BOOST_TEST(world.upstreams[0]->seen.size() - before <= 1.5 * 4 * 8 + 5);
  BOOST_TEST(world.upstreams[0]->seen.size() - before >= 16U);
  BOOST_TEST(world.Answered(200) == static_cast<int64_t>(world.sent.size()));
}

// Failure: callers of an upstream in need, which no other can replace, waited
// until their requests timed out. What it does not take must be refused unrun
// and at once, with the time after which to come back.
BOOST_AUTO_TEST_CASE(requests_beyond_a_stated_rate_are_refused_unrun) {
  Cluster world(1, 26040, "1 s 1000 safe 2");
  world.upstreams[0]->script = {{Stating("Rate: 5\r\n"), false, 0}};
  world.Load(10, Millis(500), {0});
  size_t before = world.upstreams[0]->seen.size();
  world.Load(40, Millis(2000), {0});
  BOOST_TEST(world.upstreams[0]->seen.size() - before <= 1.5 * 4 * 5 + 5);
  BOOST_TEST(world.Answered(504) == 0);
  BOOST_TEST(world.Answered(503) >= 40);
  for (const auto& caller : world.sent) {
    if (caller->answers.at(0).status != 503) continue;
    BOOST_TEST(caller->answers[0].headers.Find("Retry-After") != nullptr);
  }
}

// A limit ends with the responses that no longer state it.
BOOST_AUTO_TEST_CASE(a_rate_that_is_no_longer_stated_is_no_limit) {
  Cluster world(1, 26080, "1 s 1000 safe 2");
  world.upstreams[0]->script = {{Stating("Rate: 2\r\n"), false, 0}};
  world.Load(10, Millis(500), {0});
  world.upstreams[0]->script = {{Stating(""), false, 0}};
  world.Run(Millis(600));
  world.Load(10, Millis(200), {0});
  size_t before = world.upstreams[0]->seen.size();
  world.Load(40, Millis(1000), {0});
  BOOST_TEST(world.upstreams[0]->seen.size() - before >= 38U);
}

// Failure: the gate's process restarted and forgot the rate, and the other
// nodes, which had been told, sent what they liked.
BOOST_AUTO_TEST_CASE(a_stated_rate_outlasts_a_restart_of_the_gate) {
  Cluster world(2, 26120, "1 s 3000 safe 1");
  world.upstreams[0]->script = {{Stating("Rate: 1\r\n"), false, 0}};
  fleet::Upstream draining = world.List()[1];
  draining.draining = true;
  draining.revision = {1, 3};
  fleet::Upstream wide = world.List()[0];
  wide.slots = 200;
  wide.revision = {1, 4};
  for (const auto& feed : world.feeds) {
    feed->events->OnUpstream(draining);
    feed->events->OnUpstream(wide);
  }
  world.Load(10, Millis(300), {1});
  world.RestartNode(0);
  world.Publish(0, "1 s 3000 safe 1");
  world.feeds[0]->events->OnUpstream(wide);
  BOOST_REQUIRE(world.Until([&] { return world.nodes[1]->peers_up() == 1; }));
  // Slow, so that the new process learns nothing from responses in time.
  world.upstreams[0]->script = {{Stating("Rate: 1\r\n"), false, 1500}};
  world.Run(Millis(200));
  size_t before = world.upstreams[0]->seen.size();
  world.Load(40, Millis(1000), {1});
  BOOST_TEST(world.upstreams[0]->seen.size() - before <= 1.5 * 4 * 1 + 5);
}

}  // namespace almondwind::sidecar::testing
