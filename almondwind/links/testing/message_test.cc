// Wire format of links: round trips, truncation at each byte, random bytes.

#define BOOST_TEST_MODULE message
#include "almondwind/links/message.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace almondwind::links {
namespace {

std::vector<Message> Samples() {
  Call call;
  call.session = 7;
  call.id = 9;
  call.service = "team/name";
  call.body = std::string("\0bytes\xff", 7);
  call.cls = 3;
  Answer answer;
  answer.session = 7;
  answer.id = 9;
  answer.status = 200;
  answer.body = "whole";
  answer.load.limit = 12;
  answer.below_ms = {1, 2, 3, 4};
  Hello hello;
  hello.host = "h";
  hello.incarnation = ~uint64_t{0};
  return {hello,  Welcome{"h", 3, 4, true}, call, Cancel{7, 9},
          answer, Leaving{"h", false}};
}

std::string Payload(const Message& message) {
  return Encode(message).substr(kFrameHeaderBytes - 1);
}

// Returns whether `payload` decodes; base::Error(kMalformed) is the only error
// allowed.
bool Decodes(const std::string& payload) {
  try {
    Decode(payload);
    return true;
  } catch (const base::Error& e) {
    BOOST_TEST((e.reason() == base::Reason::kMalformed));
    return false;
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(round_trip) {
  for (const Message& message : Samples()) {
    Message back = Decode(Payload(message));
    BOOST_TEST(back.index() == message.index());
    BOOST_TEST(Encode(back) == Encode(message));
  }
}

BOOST_AUTO_TEST_CASE(truncation_at_each_byte) {
  for (const Message& message : Samples()) {
    std::string whole = Payload(message);
    for (size_t length = 0; length < whole.size(); ++length) {
      BOOST_TEST(!Decodes(whole.substr(0, length)));
    }
    BOOST_TEST(!Decodes(whole + "x"));
  }
}

BOOST_AUTO_TEST_CASE(fields_out_of_range) {
  Call call;
  call.cls = base::kClassCount;
  BOOST_TEST(!Decodes(Payload(call)));
  Answer answer;
  answer.outcome = 3;
  BOOST_TEST(!Decodes(Payload(answer)));
  answer.outcome = 0;
  answer.reason = base::kReasonCount;
  BOOST_TEST(!Decodes(Payload(answer)));
}

BOOST_AUTO_TEST_CASE(random_bytes) {
  BOOST_TEST(rc::check([](const std::string& bytes) { Decodes(bytes); }));
  // Changing one byte of a valid frame gives another frame or a base::Error.
  BOOST_TEST(rc::check([](size_t which, size_t at, uint8_t byte) {
    std::vector<Message> samples = Samples();
    std::string payload = Payload(samples[which % samples.size()]);
    payload[at % payload.size()] = static_cast<char>(byte);
    Decodes(payload);
  }));
}

}  // namespace almondwind::links
