// Planned stops of a node while requests arrive late.

#define BOOST_TEST_MODULE sidecar_stop
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/stop_window.h"
#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

// The route's timeout is longer than a stop.
const char* const kUnsafe = "1 s 10000 unsafe 2";
constexpr int64_t kWorkMs = 2500;

std::string OrderHead(const std::string& id, int timeout_ms, size_t size) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nId: " + id +
         "\r\nPatience: " + std::to_string(timeout_ms) +
         "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

// A caller whose order is complete some time after the stop begins.
struct LateOrder {
  const char* what;
  int64_t after_ms;
  int timeout_ms;
  bool passed_on;
};

}  // namespace

// Failure: requests that came late in a planned stop were passed on, and cut
// off without an answer at its end.
BOOST_AUTO_TEST_CASE(only_requests_that_end_before_the_stop_are_passed_on) {
  StopWindow window;
  const Millis far(100'000);
  BOOST_TEST(window.Admits(Millis(0), far));
  window.Begin(Millis(1000), Millis(5500));
  BOOST_TEST((window.end() == Millis(6500)));
  BOOST_TEST(window.Admits(Millis(1000), far));
  BOOST_TEST(window.Admits(Millis(3749), far));
  BOOST_TEST(!window.Admits(Millis(3750), far));
  BOOST_TEST(window.Admits(Millis(3750), Millis(6500)));
  BOOST_TEST(!window.Admits(Millis(3750), Millis(6501)));
  BOOST_TEST(!window.Admits(Millis(6400), Millis(6501)));
  // A grace period shorter than what the process needs to exit.
  window.Begin(Millis(1000), Millis(-200));
  BOOST_TEST(!window.Admits(Millis(1000), Millis(1100)));
}

// The same on sockets. Orders whose last byte comes late are answered, or
// refused without having been passed on.
BOOST_AUTO_TEST_CASE(a_request_that_comes_late_in_a_stop_is_not_cut_off) {
  const LateOrder orders[] = {
      {"early in the stop", 300, 10'000, true},
      {"late, with a long timeout", 3200, 10'000, false},
      {"late, with a timeout before the end", 3200, 1000, true},
      {"at the end", 5000, 10'000, false},
  };
  World world(2, 24400);
  for (int i = 0; i < 2; ++i) world.Publish(i, kUnsafe);
  BOOST_REQUIRE(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (size_t i = 0; i < std::size(orders); ++i) {
    callers.push_back(world.Call(0));  // its connection is in use already
    TestCaller& caller = *callers.back();
    caller.Send(Get("first"));
    BOOST_REQUIRE(world.Until([&] { return !caller.answers.empty(); }));
    caller.answers.clear();
    caller.Send(OrderHead(orders[i].what, orders[i].timeout_ms, 1));
  }
  for (auto& upstream : world.upstreams) {
    upstream->script = {
        {"HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n"
         "Content-Length: 4\r\n\r\ndone",
         false, kWorkMs}};
  }
  world.Run(Millis(100));
  int code = -1;
  Millis began = world.clock.Now();
  world.nodes[0]->Stop([&](bool complete) { code = complete ? 1 : 0; });
  for (size_t i = 0; i < callers.size(); ++i) {
    world.Run(began + Millis(orders[i].after_ms) - world.clock.Now());
    callers[i]->Send("o");
  }
  BOOST_TEST(world.Until([&] { return code >= 0; }, Millis(6000)));
  BOOST_TEST(code == 1);
  world.Run(Millis(50));
  for (size_t i = 0; i < callers.size(); ++i) {
    const LateOrder& order = orders[i];
    size_t seen = 0;
    for (const auto& upstream : world.upstreams) {
      for (const http::Request& request : upstream->seen) {
        seen += *request.headers.Find("Id") == order.what ? 1 : 0;
      }
    }
    BOOST_TEST(seen == (order.passed_on ? 1U : 0U), order.what);
    BOOST_REQUIRE_MESSAGE(callers[i]->answers.size() == 1U, order.what);
    const http::Response& answer = callers[i]->answers[0];
    if (order.passed_on) {
      // The timeout of the second one that is passed on ends during its run.
      int status = order.timeout_ms > kWorkMs ? 200 : 504;
      BOOST_TEST(answer.status == status,
                 order.what << ": " << answer.status << " "
                            << *answer.headers.Find("X-Reason"));
    } else {
      BOOST_TEST(answer.status == 503, order.what);
      BOOST_TEST(answer.headers.Find("Retry-After") != nullptr, order.what);
    }
    BOOST_TEST(!answer.keep_alive, order.what);
  }
}

}  // namespace almondwind::sidecar::testing
