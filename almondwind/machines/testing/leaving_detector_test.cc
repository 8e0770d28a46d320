// Tests of what tells that an upstream leaves: its closing answers and its
// health page.

#define BOOST_TEST_MODULE machines_leaving_detector
#include "almondwind/machines/leaving_detector.h"

#include <boost/test/unit_test.hpp>

namespace almondwind::machines {
namespace {

using base::Millis;

struct Closing {
  Closing() {
    for (int i = 0; i < 3; ++i) detector.OnAnswer(/*closes=*/true, Millis(0));
  }
  LeavingDetector detector{LeavingDetectorOptions()};
};

}  // namespace

BOOST_AUTO_TEST_CASE(closing_answers_in_a_row_cause_one_probe) {
  LeavingDetector detector({});
  Millis kept(1000);
  for (int i = 0; i < 10; ++i) {
    detector.OnAnswer(true, kept);
    detector.OnAnswer(true, kept);
    detector.OnAnswer(false, kept);
    BOOST_TEST(!detector.ShouldProbe(Millis(5000)));
  }
  for (int i = 0; i < 3; ++i) detector.OnAnswer(true, Millis(1100));
  // It was not leaving when it kept a connection.
  Millis due = kept + LeavingDetectorOptions().delay;
  BOOST_TEST(!detector.ShouldProbe(due - Millis(1)));
  BOOST_TEST(detector.ShouldProbe(due));
  BOOST_TEST(!detector.ShouldProbe(due + Millis(1)));  // under way
  BOOST_TEST(detector.OnHealth(Health::kNotServing, due + Millis(10)));
  BOOST_TEST(detector.leaving());
}

// Failure: an upstream that closes all its connections would be probed at each
// answer, and taken out of use.
BOOST_AUTO_TEST_CASE(an_upstream_that_always_closes_is_seldom_probed) {
  LeavingDetector detector({});
  int probes = 0;
  for (int64_t now = 1000; now < 31'000; now += 10) {
    detector.OnAnswer(true, Millis(now));
    if (!detector.ShouldProbe(Millis(now))) continue;
    ++probes;
    BOOST_TEST(!detector.OnHealth(Health::kServing, Millis(now)));
  }
  BOOST_TEST(probes == 3);
  BOOST_TEST(!detector.leaving());
}

BOOST_FIXTURE_TEST_CASE(a_page_that_does_not_answer_decides_nothing, Closing) {
  BOOST_TEST(detector.ShouldProbe(Millis(1000)));
  BOOST_TEST(!detector.OnHealth(Health::kUnknown, Millis(1500)));
  BOOST_TEST(!detector.leaving());
  BOOST_TEST(!detector.ShouldProbe(Millis(2499)));
  BOOST_TEST(detector.ShouldProbe(Millis(2500)));
}

// An upstream that failed its check for a while serves again.
BOOST_FIXTURE_TEST_CASE(a_page_that_recovers_takes_it_back, Closing) {
  BOOST_TEST(detector.ShouldProbe(Millis(1000)));
  BOOST_TEST(detector.OnHealth(Health::kNotServing, Millis(1000)));
  // No answers come any more, so the page is asked until it says otherwise.
  BOOST_TEST(detector.ShouldProbe(detector.next_probe()));
  BOOST_TEST(!detector.OnHealth(Health::kUnknown, Millis(2100)));
  BOOST_TEST(detector.leaving());
  BOOST_TEST(detector.ShouldProbe(detector.next_probe()));
  BOOST_TEST(detector.OnHealth(Health::kServing, Millis(3200)));
  BOOST_TEST(!detector.leaving());
  BOOST_TEST(!detector.ShouldProbe(Millis(20'000)));
}

BOOST_FIXTURE_TEST_CASE(another_process_begins_anew, Closing) {
  BOOST_TEST(detector.ShouldProbe(Millis(1000)));
  detector.OnHealth(Health::kNotServing, Millis(1000));
  detector.Reset();
  BOOST_TEST(!detector.leaving());
  BOOST_TEST(!detector.ShouldProbe(Millis(1000)));
}

}  // namespace almondwind::machines
