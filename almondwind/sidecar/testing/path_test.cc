// End-to-end tests of requests through sidecar nodes over sockets, including
// failures of upstreams, callers and nodes.

#define BOOST_TEST_MODULE sidecar_path
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

const char* const kIdempotent = "1 s 1000 safe 2";
const char* const kNonIdempotent = "1 s 1000 unsafe 2";

std::string SealedAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One node that has its configuration.
struct SingleNode : World {
  explicit SingleNode(int port, const std::string& document = kIdempotent)
      : World(1, port) {
    Publish(0, document);
  }
  TestUpstream& upstream() { return *upstreams[0]; }
  // Sends `bytes` from a new caller and waits for `count` answers.
  std::vector<http::Response> Ask(const std::string& bytes, size_t count = 1) {
    auto caller = Call(0);
    caller->Send(bytes);
    Until([&] { return caller->answers.size() >= count || caller->ended; });
    return caller->answers;
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_reaches_the_upstream_and_its_answer_returns) {
  SingleNode world(21000);
  auto answers = world.Ask(Post("a", "order"));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].status == 200);
  BOOST_TEST(answers[0].body == "ok");
  BOOST_REQUIRE(world.upstream().seen.size() == 1U);
  const http::Request& seen = world.upstream().seen[0];
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.target == "/x");
  BOOST_TEST(seen.body == "order");
  BOOST_TEST(*seen.headers.Find("Id") == "a");
  BOOST_TEST(*seen.headers.Find("Upstream") == "u0");
  BOOST_TEST(*seen.headers.Find("From") == "s");
  BOOST_TEST(std::stoi(*seen.headers.Find("Patience")) <= 1000);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  SingleNode world(21020);
  world.upstream().script = {{SealedAnswer("slow"), false, 200},
                             {SealedAnswer("fast"), false, 0}};
  auto answers = world.Ask(Get("a") + Get("b") + Get("c"), 3);
  BOOST_REQUIRE(answers.size() == 3U);
  BOOST_TEST(*answers[0].headers.Find("Id") == "a");
  BOOST_TEST(answers[0].body == "slow");
  BOOST_TEST(*answers[1].headers.Find("Id") == "b");
  BOOST_TEST(*answers[2].headers.Find("Id") == "c");
}

BOOST_AUTO_TEST_CASE(without_a_configuration_the_answer_is_not_run) {
  World world(1, 21040);
  auto caller = world.Call(0);
  caller->Send(Get("a"));
  BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
  BOOST_TEST(caller->answers[0].status == 503);
  BOOST_TEST(caller->answers[0].headers.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_host_without_a_route_is_not_found) {
  SingleNode world(21060);
  auto answers = world.Ask("GET / HTTP/1.1\r\nHost: other\r\nId: a\r\n\r\n");
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].status == 404);
}

// Faults of an upstream, and the status that the caller of a non-idempotent
// request gets. In no case is the request sent twice.
BOOST_AUTO_TEST_CASE(an_order_runs_once_whatever_the_upstream_does) {
  struct Row {
    const char* what;
    ScriptedResponse response;
    int status;
  };
  const Row rows[] = {
      {"closes without an answer", {"", true, 0}, 502},
      {"breaks off its answer",
       {"HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 9\r\n\r\nab",
        true, 0},
       502},
      {"sends no answer in the protocol", {"nonsense\r\n\r\n", true, 0}, 502},
      {"answers without a seal",
       {"HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok", false, 0},
       502},
      {"refuses unrun",
       {"HTTP/1.1 503 No\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: "
        "0\r\n\r\n",
        false, 0},
       503},
      {"fails",
       {"HTTP/1.1 500 No\r\nId: {id}\r\nContent-Length: 0\r\n\r\n", false, 0},
       500},
      {"is silent", {SealedAnswer("late"), false, 3000}, 504},
  };
  int port = 21100;
  for (const Row& row : rows) {
    SingleNode world(port, kNonIdempotent);
    port += 20;
    world.upstream().script = {row.response};
    auto answers = world.Ask(Post("a", "order"));
    BOOST_REQUIRE_MESSAGE(answers.size() == 1U, row.what);
    BOOST_TEST(answers[0].status == row.status, row.what);
    BOOST_TEST(world.upstream().seen.size() == 1U, row.what);
  }
}

BOOST_AUTO_TEST_CASE(a_late_answer_to_another_request_is_skipped) {
  SingleNode world(21260);
  world.upstream().script = {
      {SealedAnswer("first") +
           "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 5\r\n\r\n"
           "stale",
       false, 0},
      {SealedAnswer("second"), false, 50}};
  auto answers = world.Ask(Get("a"));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].body == "first");
  answers = world.Ask(Get("b"));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].body == "second");
  // The first connection is not reused.
  BOOST_TEST(world.upstream().opened == 2);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_run) {
  SingleNode world(21280);
  world.upstream().script = {{SealedAnswer("late"), false, 3000}};
  auto caller = world.Call(0);
  caller->Send(Get("a"));
  BOOST_TEST(world.Until([&] { return !world.upstream().seen.empty(); }));
  caller->Close();
  BOOST_TEST(world.Until(
      [&] { return world.upstream().ended_while_running == 1; }, Millis(500)));
}

BOOST_AUTO_TEST_CASE(the_routes_timeout_is_kept) {
  SingleNode world(21300, "1 s 200 safe 1");
  world.upstream().script = {{SealedAnswer("late"), false, 3000}};
  Millis began = world.clock.Now();
  auto answers = world.Ask(Get("a"));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].status == 504);
  BOOST_TEST((world.clock.Now() - began).count() < 1000);
}

// There are four slots, and the queue wait would exceed the maximum. A request
// that is refused has not run and gets a Retry-After.
BOOST_AUTO_TEST_CASE(what_finds_no_slot_is_refused_unrun) {
  SingleNode world(21320, "1 s 600 safe 1");
  world.upstream().script = {{SealedAnswer("x"), false, 400}};
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 10; ++i) {
    callers.push_back(world.Call(0));
    callers.back()->Send(Get("r" + std::to_string(i)));
  }
  BOOST_TEST(world.Until([&] {
    for (auto& caller : callers) {
      if (caller->answers.empty()) return false;
    }
    return true;
  }));
  size_t refused = 0;
  size_t served = 0;
  for (auto& caller : callers) {
    const http::Response& answer = caller->answers[0];
    served += answer.status == 200 ? 1 : 0;
    if (answer.status != 503) continue;
    ++refused;
    BOOST_TEST(answer.headers.Find("Retry-After") != nullptr);
  }
  BOOST_TEST(served == world.upstream().seen.size());
  BOOST_TEST(served >= 4U);
  BOOST_TEST(refused == 10 - served);
}

BOOST_AUTO_TEST_CASE(bad_input_is_answered_and_closed) {
  struct Row {
    const char* bytes;
    int status;
  };
  const Row rows[] = {
      {"nonsense\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
  };
  SingleNode world(21340);
  for (const Row& row : rows) {
    auto caller = world.Call(0);
    caller->Send(row.bytes);
    BOOST_TEST(world.Until([&] { return caller->ended; }));
    BOOST_REQUIRE(caller->answers.size() == 1U);
    BOOST_TEST(caller->answers[0].status == row.status);
  }
  BOOST_TEST(world.upstream().seen.empty());
}

// ---- Several nodes.

// The store refuses node 2, which gets its documents from its peers alone.
BOOST_AUTO_TEST_CASE(a_node_that_the_store_refuses_is_made_whole_by_peers) {
  World world(3, 21400);
  world.Publish(0, kIdempotent);
  world.Publish(1, kIdempotent);
  BOOST_TEST(world.Until([&] { return world.nodes[2]->ready(); }));
  auto caller = world.Call(2);
  caller->Send(Get("a"));
  BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
  BOOST_TEST(caller->answers[0].status == 200);
  // A newer configuration arrives the same way; an older one does not replace
  // it.
  world.feeds[0]->events->OnConfig("7 s 900 safe 2");
  BOOST_TEST(
      world.Until([&] { return world.nodes[2]->config_version() == 7U; }));
  world.feeds[2]->events->OnConfig("3 s 900 safe 2");
  BOOST_TEST(world.nodes[2]->config_version() == 7U);
}

// Only node 0 gets the new configuration from the store. The others hear from
// peers that are as outdated as themselves as often as from node 0, which must
// not delay fetching it.
BOOST_AUTO_TEST_CASE(peers_that_are_behind_too_do_not_hide_the_newest) {
  World world(4, 21620);
  for (int i = 0; i < 4; ++i) world.Publish(i, kIdempotent);
  BOOST_TEST(world.Until([&] { return world.nodes[3]->peers_up() == 3; }));
  world.feeds[0]->events->OnConfig("7 s 900 safe 2");
  for (size_t i = 1; i < 4; ++i) {
    BOOST_TEST(world.Until(
        [&] { return world.nodes[i]->config_version() == 7U; }, Millis(2000)));
  }
}

// All upstreams close without an answer: an idempotent request is retried once,
// at the other upstream; any other request is not retried.
BOOST_AUTO_TEST_CASE(only_repeatable_requests_are_sent_again) {
  for (bool safe : {true, false}) {
    World world(2, safe ? 21440 : 21480);
    for (int i = 0; i < 2; ++i) {
      world.Publish(i, safe ? kIdempotent : kNonIdempotent);
    }
    BOOST_TEST(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
    for (auto& upstream : world.upstreams) upstream->script = {{"", true, 0}};
    auto caller = world.Call(0);
    caller->Send(Get("a"));
    BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
    BOOST_TEST(caller->answers[0].status == 502);
    size_t arrivals =
        world.upstreams[0]->seen.size() + world.upstreams[1]->seen.size();
    BOOST_TEST(arrivals == (safe ? 2U : 1U));
  }
}

BOOST_AUTO_TEST_CASE(an_upstream_that_drains_gets_no_new_requests) {
  World world(2, 21520);
  for (int i = 0; i < 2; ++i) world.Publish(i, kIdempotent);
  BOOST_TEST(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
  fleet::Upstream leaving = world.List()[0];
  leaving.draining = true;
  leaving.revision = {1, 3};
  // Only the draining upstream's own node gets the new entry.
  world.feeds[0]->events->OnUpstream(leaving);
  auto caller = world.Call(1);
  for (int i = 0; i < 20; ++i) caller->Send(Get("r" + std::to_string(i)));
  BOOST_TEST(world.Until([&] { return caller->answers.size() >= 20; }));
  for (const http::Response& answer : caller->answers) {
    BOOST_TEST(answer.status == 200);
  }
  BOOST_TEST(world.upstreams[0]->seen.empty());
}

// Graceful shutdown while requests run and connections are in use: every
// request that was read is answered, and the last answers announce that the
// connection closes.
BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_nothing) {
  World world(2, 21560);
  for (int i = 0; i < 2; ++i) world.Publish(i, kIdempotent);
  BOOST_TEST(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
  for (auto& upstream : world.upstreams) {
    upstream->script = {{SealedAnswer("x"), false, 300}};
  }
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(world.Call(0));
    callers.back()->Send(Get("r" + std::to_string(i)));
  }
  world.Run(Millis(100));
  int code = -1;
  world.nodes[0]->Stop([&](bool complete) { code = complete ? 1 : 0; });
  BOOST_TEST(!world.nodes[0]->ready());
  auto late = world.Call(0);  // a caller that does not know of the shutdown
  late->Send(Get("late"));
  BOOST_TEST(world.Until([&] { return code >= 0; }, Millis(6000)));
  BOOST_TEST(code == 1);
  callers.push_back(std::move(late));
  for (auto& caller : callers) {
    BOOST_REQUIRE(caller->answers.size() == 1U);
    BOOST_TEST(caller->answers[0].status == 200);
    BOOST_TEST(!caller->answers[0].keep_alive);
  }
}

BOOST_AUTO_TEST_CASE(operators_see_state_and_treatment) {
  World world(2, 21660);
  for (int i = 0; i < 2; ++i) world.Publish(i, kIdempotent);
  BOOST_TEST(world.Until([&] { return world.nodes[0]->peers_up() == 1; }));
  TestCaller operators(world.io, world.timers, "127.0.0.1:21663");
  auto page = [&](const std::string& target) {
    size_t before = operators.answers.size();
    operators.Send("GET " + target + " HTTP/1.1\r\nHost: o\r\n\r\n");
    BOOST_TEST(world.Until([&] { return operators.answers.size() > before; }));
    return operators.answers.back().body;
  };
  auto status = nlohmann::json::parse(page("/status"));
  BOOST_TEST(status.at("config_version").get<int>() == 1);
  BOOST_TEST(status.at("peers").size() == 1U);
  BOOST_TEST(status.at("upstreams").get<int>() == 2);
  auto known = nlohmann::json::parse(page("/explain?host=h&target=%2Fx%3Fa=1"));
  BOOST_TEST(known.at("route").at("name") == "all");
  const auto& part = known.at("parts").at(0);
  BOOST_TEST(part.at("service") == "s");
  BOOST_TEST(part.at("upstreams").size() == 2U);
  BOOST_TEST(part.at("upstreams").at(1).at("reachable") == true);
  auto unknown = nlohmann::json::parse(page("/explain?host=o&target=/x"));
  BOOST_TEST(unknown.contains("refused"));
  BOOST_TEST(page("/metrics").find("almondwind_") != std::string::npos);
}

}  // namespace almondwind::sidecar::testing
