// Frames between sidecar nodes: round trips, and truncated or corrupted bytes.

#define BOOST_TEST_MODULE frames
#include "almondwind/peers/frames.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "almondwind/base/outcome.h"

namespace almondwind::peers {
namespace {

const HeaderNames kNames = {"Host", "Accept"};

std::vector<Frame> Samples() {
  Call call;
  call.id = 7;
  call.upstream = "i-1";
  call.route = "browse";
  call.cls = 2;
  call.idempotent = true;
  call.time_left_ms = 800;
  call.method = "GET";
  call.target = "/a?b=c";
  call.headers.Add("host", "h.example");
  call.headers.Add("X-Other", "1");
  call.body = std::string("a\0b", 3);
  call.reminder = {"i-1", 1700000000000, true, 20.25, false};
  Answer answer;
  answer.id = 7;
  answer.announcement = {"i-1", 1700000000000, true, std::nullopt, true};
  answer.status = 200;
  answer.headers.Add("Accept", "x");
  answer.body = std::string(1000, 'z');
  State state;
  state.config_version = 9;
  state.fleet_revision = {2, 12};
  state.confirmed_revision = {2, 11};
  state.epoch_age_ms = 1500;
  state.service = "catalogue";
  state.load.limit = 80;
  state.demand = {{"browse", 12.5, 100, 30}};
  state.costs = {{"browse", 500, 90, {{"lookup", 2}}}};
  Call large_call = call;
  large_call.rest = {true, 5u << 20};
  Answer large_answer = answer;
  large_answer.rest.follows = true;
  return {Hello{kProtocolVersion, "10.0.0.1:1", "z", 5},
          state,
          call,
          Cancel{7},
          answer,
          DocumentRequest{1, {2, 4}},
          Document{0, {0, 8}, "text"},
          large_call,
          large_answer,
          BodyPart{7, true, 1, "part"},
          Credit{7, false, 4096},
          CrashReports{{{"request", "i-1@5", 250}, {"other", "", 0}}}};
}

Frame RoundTrip(const Frame& frame) {
  return Decode(Encode(frame, kNames), BodyOf(frame), kNames);
}

std::string Head(const Frame& frame) { return Encode(frame, kNames); }

}  // namespace

BOOST_AUTO_TEST_CASE(frames_survive_the_way) {
  for (const Frame& frame : Samples()) {
    Frame back = RoundTrip(frame);
    BOOST_TEST(back.index() == frame.index());
    BOOST_TEST(Head(back) == Head(frame));
    BOOST_TEST(BodyOf(back) == BodyOf(frame));
  }
  auto call = std::get<Call>(RoundTrip(Samples()[2]));
  BOOST_TEST(*call.headers.Find("Host") == "h.example");
  BOOST_TEST(*call.headers.Find("x-other") == "1");
  BOOST_TEST(call.body.size() == 3U);
}

BOOST_AUTO_TEST_CASE(known_header_names_travel_as_one_byte) {
  Call with;
  with.headers.Add("Host", "h");
  Call without;
  size_t size = Head(with).size() - Head(without).size();
  BOOST_TEST(size == 3U);  // number, length of the value, value
}

BOOST_AUTO_TEST_CASE(broken_bytes_are_refused_or_read_never_worse) {
  std::mt19937_64 random(20261204);
  for (const Frame& frame : Samples()) {
    std::string payload = Head(frame);
    for (size_t cut = 0; cut < payload.size(); ++cut) {
      BOOST_CHECK_THROW(Decode(payload.substr(0, cut), "", kNames),
                        base::Error);
    }
    for (int i = 0; i < 2000; ++i) {
      std::string broken = payload;
      for (int flips = 0; flips < 3; ++flips) {
        broken[random() % broken.size()] = static_cast<char>(random());
      }
      try {
        Decode(broken, "", kNames);
      } catch (const base::Error&) {
        // the only exception allowed
      }
    }
  }
  BOOST_CHECK_THROW(Decode(Head(Cancel{7}), "body", kNames), base::Error);
  BOOST_CHECK_THROW(Decode("", "", kNames), base::Error);
  BOOST_CHECK_THROW(Decode("\x7f", "", kNames), base::Error);
}

}  // namespace almondwind::peers
