// Tests of requests that crash each upstream that runs them, and of requests
// that are in progress beside them.

#define BOOST_TEST_MODULE sidecar_crashing_requests
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

constexpr const char* kCrash = "/crash/17";
// How long an upstream is down after a crash.
constexpr Millis kRestartTime{300};
// The platform allows three more attempts from this time after the third crash.
constexpr Millis kStable{3000};
constexpr int kAllowedLater = 3;

std::string GetTarget(const std::string& target, const std::string& id) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\nId: " + id +
         "\r\nPatience: 2000\r\n\r\n";
}

// Four nodes in two zones; each upstream crashes under requests for kCrash.
struct Fleet : World {
  explicit Fleet(int port) : World(4, port, 2) {
    for (int i = 0; i < 4; ++i) Publish(i, "1 s 2000 safe 3");
    for (const auto& upstream : upstreams) {
      upstream->crash_target = kCrash;
      upstream->restart_time = kRestartTime;
    }
    BOOST_REQUIRE(Until([&] { return Linked(); }));
  }
  bool Linked() const {
    for (const auto& node : nodes) {
      if (node->peers_up() < 3) return false;
    }
    return true;
  }
  int Crashes() const {
    int count = 0;
    for (const auto& upstream : upstreams) count += upstream->crashes;
    return count;
  }
  // Sends a request to node `i` and returns its status; 0 if there is none.
  int Ask(int i, const std::string& target) {
    auto caller = Call(i);
    caller->Send(GetTarget(target, "q" + std::to_string(next_id_++)));
    Until([&] { return !caller->answers.empty() || caller->ended; });
    return caller->answers.empty() ? 0 : caller->answers[0].status;
  }
  // Sends the crashing request to the nodes in turn until three upstreams have
  // ended, and waits until the rule applies.
  void CrashThree() {
    for (int i = 0; Crashes() < 3 && i < 12; ++i) {
      Ask(i % 4, kCrash);
      Run(kRestartTime + Millis(100));
    }
    Run(kStable);
  }

 private:
  int next_id_ = 1;
};

}  // namespace

// Failure: a request under which upstreams had ended was sent to upstreams
// again whenever it came, at any node, and ended one each time.
BOOST_AUTO_TEST_CASE(a_request_that_has_crashed_three_upstreams_is_refused) {
  Fleet fleet(25400);
  fleet.CrashThree();
  int before = fleet.Crashes();
  for (int i = 0; i < 12; ++i) {
    int status = fleet.Ask(i % 4, kCrash);
    BOOST_TEST(status >= 500);
    fleet.Run(kRestartTime);
  }
  BOOST_TEST(fleet.Crashes() - before <= kAllowedLater);
}

// Failure: one request ended as many upstreams as its route allows attempts.
BOOST_AUTO_TEST_CASE(one_request_ends_two_upstreams_at_most) {
  Fleet fleet(25440);
  fleet.Ask(0, kCrash);
  fleet.Run(kRestartTime);
  BOOST_TEST(fleet.Crashes() <= 2);
}

// Failure: a node that had restarted sent a request on that its peers refuse.
BOOST_AUTO_TEST_CASE(a_restarted_node_learns_what_its_peers_refuse) {
  Fleet fleet(25480);
  fleet.CrashThree();
  for (size_t i = 0; i < 4; ++i) {
    fleet.RestartNode(i);
    fleet.Publish(static_cast<int>(i), "1 s 2000 safe 3");
    BOOST_REQUIRE(fleet.Until([&] { return fleet.Linked(); }));
  }
  int before = fleet.Crashes();
  for (int i = 0; i < 8; ++i) {
    fleet.Ask(i % 4, kCrash);
    fleet.Run(kRestartTime);
  }
  BOOST_TEST(fleet.Crashes() - before <= kAllowedLater);
}

// Failure: a harmless request that was in progress as upstreams ended, for
// whatever reason, was refused from then on.
BOOST_AUTO_TEST_CASE(a_request_beside_many_crashes_is_served) {
  Fleet fleet(25520);
  constexpr const char* kPopular = "/popular";
  for (const auto& upstream : fleet.upstreams) {
    upstream->script[0].delay_ms = 100;
  }
  for (int round = 0; round < 6; ++round) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 8; ++i) {
      callers.push_back(fleet.Call(i % 4));
      std::string id = "p" + std::to_string(10 * round + i);
      callers.back()->Send(GetTarget(kPopular, id));
    }
    fleet.Run(Millis(50));
    fleet.upstreams[static_cast<size_t>(round) % 4]->Crash();
    for (const auto& caller : callers) {
      fleet.Until([&] { return !caller->answers.empty(); });
      BOOST_REQUIRE(caller->answers.size() == 1U);
      BOOST_TEST(caller->answers[0].status == 200);
    }
    fleet.Run(kRestartTime);
  }
}

// Failure: requests that met the crashing one at the same upstreams were taken
// for it.
BOOST_AUTO_TEST_CASE(bystanders_are_served_when_they_come_again) {
  Fleet fleet(25560);
  for (const auto& upstream : fleet.upstreams) {
    upstream->script[0].delay_ms = 100;
  }
  for (int round = 0; fleet.Crashes() < 3 && round < 12; ++round) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < 4; ++i) {
      callers.push_back(fleet.Call(i));
      std::string id = "b" + std::to_string(10 * round + i);
      callers.back()->Send(GetTarget("/bystander/" + std::to_string(i), id));
    }
    fleet.Ask(round % 4, kCrash);
    fleet.Run(kRestartTime + Millis(200));
  }
  fleet.Run(kStable);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(fleet.Ask(i, "/bystander/" + std::to_string(i)) == 200);
  }
  BOOST_TEST(fleet.Ask(0, kCrash) == 503);
}

// Failure: an upstream that loses answers, but goes on running, was taken for
// one that crashes, and the request refused.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_no_crash) {
  Fleet fleet(25600);
  ScriptedResponse good = fleet.upstreams[0]->script[0];
  for (const auto& upstream : fleet.upstreams) {
    upstream->script[0] = {"", true, 0};
  }
  for (int i = 0; i < 6; ++i) BOOST_TEST(fleet.Ask(i % 4, "/lost") == 502);
  for (const auto& upstream : fleet.upstreams) upstream->script[0] = good;
  for (int i = 0; i < 4; ++i) BOOST_TEST(fleet.Ask(i, "/lost") == 200);
}

// A refusal says that the request has not run, and when it may come again.
BOOST_AUTO_TEST_CASE(a_refusal_is_told_at_once_with_its_duration) {
  Fleet fleet(25640);
  fleet.CrashThree();
  size_t before = 0;
  for (const auto& upstream : fleet.upstreams) before += upstream->seen.size();
  auto caller = fleet.Call(1);
  caller->Send(GetTarget(kCrash, "last"));
  BOOST_REQUIRE(
      fleet.Until([&] { return !caller->answers.empty(); }, Millis(300)));
  const http::Response& answer = caller->answers[0];
  BOOST_REQUIRE(answer.status == 503);
  BOOST_TEST(*answer.headers.Find("X-Reason") == "crashes_upstreams");
  BOOST_TEST(std::stoi(*answer.headers.Find("Retry-After")) > 250'000);
  size_t after = 0;
  for (const auto& upstream : fleet.upstreams) after += upstream->seen.size();
  BOOST_TEST(after == before);
}

}  // namespace almondwind::sidecar::testing
