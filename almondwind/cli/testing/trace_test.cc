// Tests that `trace` extracts one request from the interleaved, partly
// malformed log lines of several nodes.

#define BOOST_TEST_MODULE trace
#include "almondwind/cli/trace.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace almondwind::cli {
namespace {

const char* const kLog =
    R"(12.1 n2 {"time":"2026-07-04T09:11:24.500+00:00","event":"ended","id":"a","node":"n2","why":"timeout"}
not json {"time
{"time":"2026-07-04T09:11:24.100+00:00","event":"gate","id":"a","node":"n1","reason":"overload"}
{"time":"2026-07-04T09:11:24.200+00:00","event":"gate","id":"b","node":"n1"}
{"time":"2026-07-04T09:11:23.900+00:00","event":"peer_lost","peer":"p","node":"n2"}
{"time":"2026-07-04T09:11:23.900+00:00","event":"peer_lost","peer":"q","node":"n3"}
{"time":"2026-07-04T09:11:10.000+00:00","event":"config","version":4,"node":"n2"}
)";

}  // namespace

BOOST_AUTO_TEST_CASE(lines_of_one_request_come_in_order_with_their_context) {
  std::istringstream in(kLog);
  std::ostringstream out;
  TraceOptions options;
  options.id = "a";
  BOOST_TEST(RunTrace(options, in, out) == 0);
  std::string text = out.str();
  size_t lost = text.find("peer_lost  peer=p");
  size_t gate = text.find("gate  id=a  reason=overload");
  size_t ended = text.find("ended  id=a  why=timeout");
  BOOST_TEST(lost < gate);
  BOOST_TEST(gate < ended);
  BOOST_TEST(ended != std::string::npos);
  BOOST_TEST(text.find("id=b") == std::string::npos);
  BOOST_TEST(text.find("peer=q") == std::string::npos);
  BOOST_TEST(text.find("config") ==
             std::string::npos);  // older than context_ms
}

BOOST_AUTO_TEST_CASE(an_unknown_request_is_said_to_be_unknown) {
  std::istringstream in(kLog);
  std::ostringstream out;
  TraceOptions options;
  options.id = "c";
  BOOST_TEST(RunTrace(options, in, out) == 1);
  BOOST_TEST(out.str().find("no line") != std::string::npos);
}

}  // namespace almondwind::cli
