// Streamed bodies: they arrive complete, slow receivers apply backpressure to
// the sender, and a body that was cut off never looks complete.

#define BOOST_TEST_MODULE sidecar_bodies
#include <boost/test/unit_test.hpp>

#include "almondwind/sidecar/testing/world.h"

namespace almondwind::sidecar::testing {
namespace {

using base::Millis;

const char* const kIdempotent = "1 s 20000 safe 2";
const char* const kNonIdempotent = "1 s 20000 unsafe 2";
constexpr size_t kLarge = 3u << 20;
// Far above the capacity of the kernel buffers of all connections on the path.
constexpr size_t kHuge = 60u << 20;
constexpr size_t kKernelBuffers = 30u << 20;

std::string Pattern(size_t size) {
  std::string bytes(size, '\0');
  for (size_t i = 0; i < size; ++i) {
    bytes[i] = static_cast<char>('a' + (i * 31 + i / 977) % 26);
  }
  return bytes;
}

std::string Head(const std::string& id, const std::string& framing) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nId: " + id +
         "\r\nPatience: 20000\r\n" + framing + "\r\n\r\n";
}

std::string WithLength(const std::string& id, const std::string& body) {
  return Head(id, "Content-Length: " + std::to_string(body.size())) + body;
}

std::string Chunked(const std::string& id, const std::string& body) {
  std::string out = Head(id, "Transfer-Encoding: chunked");
  constexpr size_t kChunk = 50'000;
  for (size_t at = 0; at < body.size(); at += kChunk) {
    http::AppendBodyPart({true, {}}, body.substr(at, kChunk), out);
  }
  http::AppendBodyEnd({true, {}}, out);
  return out;
}

std::string AnswerHead(const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n" + framing + "\r\n\r\n";
}

std::string LengthOf(size_t size) {
  return "Content-Length: " + std::to_string(size);
}

struct Cluster : World {
  Cluster(int count, int port, const std::string& document = kIdempotent,
          int zones = 1)
      : World(count, port, zones) {
    for (int i = 0; i < count; ++i) Publish(i, document);
    BOOST_REQUIRE(
        Until([&] { return nodes[0]->peers_up() + 1 == nodes.size(); }));
  }
  TestUpstream& upstream() { return *upstreams[0]; }
};

}  // namespace

// Uses two zones, because links between zones are compressed.
BOOST_AUTO_TEST_CASE(a_large_request_arrives_whole_at_any_upstream) {
  Cluster world(2, 22000, kIdempotent, /*zones=*/2);
  const std::string body = Pattern(kLarge);
  auto caller = world.Call(0);
  constexpr size_t kRequests = 12;
  for (size_t i = 0; i < kRequests; ++i) {
    std::string id = "r" + std::to_string(i);
    caller->Send(i % 2 == 0 ? WithLength(id, body) : Chunked(id, body));
  }
  caller->Send(Get("small", 20000));
  BOOST_TEST(world.Until(
      [&] { return caller->answers.size() > kRequests || caller->ended; },
      Millis(20000)));
  BOOST_REQUIRE(caller->answers.size() == kRequests + 1);
  for (auto& answer : caller->answers) BOOST_TEST(answer.status == 200);
  for (auto& upstream : world.upstreams) {
    BOOST_TEST(!upstream->seen.empty());
    for (const http::Request& seen : upstream->seen) {
      BOOST_TEST((seen.method == "GET" || seen.body == body));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_large_answer_arrives_whole_from_any_upstream) {
  Cluster world(2, 22040);
  const std::string body = Pattern(kLarge);
  std::string chunked = AnswerHead("Transfer-Encoding: chunked");
  http::AppendBodyPart({true, {}}, body, chunked);
  http::AppendBodyEnd({true, {}}, chunked);
  for (auto& upstream : world.upstreams) {
    upstream->script = {{AnswerHead(LengthOf(body.size())) + body, false, 0},
                        {chunked, false, 0},
                        {AnswerHead("Connection: close") + body, true, 0},
                        {AnswerHead(LengthOf(2)) + "ok", false, 0}};
  }
  auto caller = world.Call(0);
  std::string requests;
  for (int i = 0; i < 16; ++i) requests += Get("r" + std::to_string(i), 20000);
  caller->Send(requests);
  BOOST_TEST(
      world.Until([&] { return caller->answers.size() >= 16 || caller->ended; },
                  Millis(20000)));
  BOOST_REQUIRE(caller->answers.size() == 16U);
  int large = 0;
  for (int i = 0; i < 16; ++i) {
    const http::Response& answer = caller->answers[static_cast<size_t>(i)];
    BOOST_TEST(*answer.headers.Find("Id") == "r" + std::to_string(i));
    bool whole = answer.body == body;
    BOOST_TEST((whole || answer.body == "ok"));
    large += whole ? 1 : 0;
  }
  BOOST_TEST(large == 6);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_does_not_read_holds_its_caller_back) {
  Cluster world(1, 22080);
  world.upstream().stalled = true;
  auto caller = world.Call(0);
  caller->Send(WithLength("a", Pattern(kHuge)));
  world.Run(Millis(1500));
  BOOST_TEST(caller->unwritten() > kHuge - kKernelBuffers);
}

// Reading from a caller is paused while its streamed request waits for a slot.
// Guards against missing the caller's close in that time.
BOOST_AUTO_TEST_CASE(a_caller_that_is_held_back_may_leave) {
  Cluster world(1, 22520);
  world.upstream().script = {{AnswerHead(LengthOf(2)) + "ok", false, 3000}};
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int slot = 0; slot < 4; ++slot) {
    callers.push_back(world.Call(0));
    callers.back()->Send(Get("s" + std::to_string(slot), 20000));
  }
  auto caller = world.Call(0);
  // Large enough for a streamed body, and small enough that the close is not
  // queued behind unread data.
  caller->Send(WithLength("a", Pattern(kLarge)).substr(0, 100'000));
  BOOST_TEST(world.Until([&] { return world.nodes[0]->calls() == 5; }));
  world.Run(Millis(300));
  caller->Close();
  BOOST_TEST(
      world.Until([&] { return world.nodes[0]->calls() == 4; }, Millis(500)));
}

BOOST_AUTO_TEST_CASE(a_caller_that_does_not_read_holds_its_upstream_back) {
  for (int nodes : {1, 2}) {
    Cluster world(nodes, 22120 + 40 * nodes);
    const std::string body = Pattern(kHuge);
    for (auto& upstream : world.upstreams) {
      upstream->script = {{AnswerHead(LengthOf(body.size())) + body, false, 0}};
    }
    auto caller = world.Call(0);
    caller->Pause();
    caller->Send(Get("a", 20000));
    world.Run(Millis(1500));
    size_t unwritten = 0;
    for (auto& upstream : world.upstreams) unwritten += upstream->unwritten();
    BOOST_TEST(unwritten > kHuge - kKernelBuffers);
    caller->Resume();
    BOOST_TEST(
        world.Until([&] { return !caller->answers.empty() || caller->ended; },
                    Millis(15000)));
    BOOST_REQUIRE(caller->answers.size() == 1U);
    BOOST_TEST((caller->answers[0].body == body));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_does_not_look_complete) {
  Cluster world(2, 22240);
  const std::string part = Pattern(300'000);
  std::string chunked = AnswerHead("Transfer-Encoding: chunked");
  http::AppendBodyPart({true, {}}, part, chunked);
  for (const std::string& answer :
       {AnswerHead(LengthOf(kLarge)) + part, chunked}) {
    for (auto& upstream : world.upstreams) {
      upstream->script = {{answer, true, 0}};
    }
    for (int i = 0; i < 6; ++i) {
      auto caller = world.Call(0);
      caller->Send(Get("a", 20000));
      BOOST_TEST(world.Until([&] { return caller->ended; }));
      BOOST_TEST(caller->answers.empty());
    }
  }
}

// A streamed answer fails while it waits behind an earlier pipelined answer.
// Its head has not been written, so the caller gets a 502 for it, and the
// earlier answer is complete.
BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_behind_another_becomes_a_502) {
  Cluster world(1, 22280);
  world.upstream().script = {
      {AnswerHead(LengthOf(4)) + "slow", false, 600},
      {AnswerHead(LengthOf(kLarge)) + Pattern(300'000), false, 0},
      {AnswerHead(LengthOf(2)) + "ok", false, 0}};
  auto caller = world.Call(0);
  caller->Send(Get("a", 20000) + Get("b", 300) + Get("c", 20000));
  BOOST_TEST(world.Until(
      [&] { return caller->answers.size() >= 3 || caller->ended; }));
  BOOST_REQUIRE(caller->answers.size() == 3U);
  BOOST_TEST(caller->answers[0].body == "slow");
  BOOST_TEST(caller->answers[1].status == 502);
  BOOST_TEST(caller->answers[2].body == "ok");
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_a_large_answer) {
  Cluster world(2, 22320);
  for (auto& upstream : world.upstreams) {
    upstream->script = {
        {AnswerHead(LengthOf(kHuge)) + Pattern(kHuge), false, 0}};
  }
  auto caller = world.Call(0);
  caller->Pause();
  caller->Send(Get("a", 20000));
  world.Run(Millis(300));
  caller->Close();
  BOOST_TEST(world.Until(
      [&] { return world.upstreams[0]->ended + world.upstreams[1]->ended > 0; },
      Millis(1000)));
  BOOST_TEST(world.nodes[0]->calls() == 0U);
}

// A non-idempotent request with a streamed body, part of which has been sent,
// is not retried and not reported as not run.
BOOST_AUTO_TEST_CASE(a_large_order_is_sent_once) {
  Cluster world(2, 22360, kNonIdempotent);
  for (auto& upstream : world.upstreams) {
    upstream->script = {{"", true, 0}};
  }
  auto caller = world.Call(0);
  caller->Send(WithLength("a", Pattern(kLarge)));
  BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
  BOOST_REQUIRE(caller->answers.size() == 1U);
  BOOST_TEST(caller->answers[0].status == 502);
  BOOST_TEST(
      world.upstreams[0]->seen.size() + world.upstreams[1]->seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_before_the_end_of_a_large_request_is_given) {
  Cluster world(1, 22400);
  world.upstream().answers_early = true;
  world.upstream().script = {
      {"HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok",
       false, 0}};
  auto caller = world.Call(0);
  // The rest of the body never comes.
  caller->Send(WithLength("a", Pattern(kLarge)).substr(0, 200'000));
  BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
  BOOST_REQUIRE(caller->answers.size() == 1U);
  BOOST_TEST(caller->answers[0].body == "ok");
  BOOST_TEST(!caller->answers[0].keep_alive);
}

BOOST_AUTO_TEST_CASE(a_large_request_that_stops_midway_times_out) {
  Cluster world(1, 22440, "1 s 400 safe 2");
  auto caller = world.Call(0);
  caller->Send(WithLength("a", Pattern(kLarge)).substr(0, 200'000));
  BOOST_TEST(world.Until([&] { return !caller->answers.empty(); }));
  BOOST_REQUIRE(caller->answers.size() == 1U);
  BOOST_TEST(caller->answers[0].status == 504);
  BOOST_TEST(world.Until([&] { return world.upstream().ended == 1; }));
}

BOOST_AUTO_TEST_CASE(bodies_beyond_the_bound_are_refused_unrun) {
  Cluster world(1, 22480);
  world.upstream().stalled = true;
  std::vector<std::unique_ptr<TestCaller>> callers;
  const std::string beginning =
      WithLength("a", Pattern(kLarge)).substr(0, 200'000);
  const size_t kStreams = DispatcherOptions().max_streams;
  for (size_t i = 0; i < kStreams + 1; ++i) {
    callers.push_back(world.Call(0));
    callers.back()->Send(beginning);
    world.Run(Millis(2));
  }
  BOOST_TEST(world.Until([&] { return !callers.back()->answers.empty(); }));
  BOOST_REQUIRE(callers.back()->answers.size() == 1U);
  BOOST_TEST(callers.back()->answers[0].status == 503);
}

}  // namespace almondwind::sidecar::testing
