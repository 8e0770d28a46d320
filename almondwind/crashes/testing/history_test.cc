// Tests of the history of requests that crash upstreams: who is blamed, what is
// forgotten, and that reports may come in any order.

#define BOOST_TEST_MODULE crash_history
#include "almondwind/crashes/history.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "almondwind/crashes/identity.h"

namespace almondwind::crashes {
namespace {

using base::Millis;

constexpr Millis kNow{1'000'000};

std::vector<std::string> Names(const std::vector<Report>& reports) {
  std::vector<std::string> names;
  for (const Report& report : reports) names.push_back(report.request);
  return names;
}

}  // namespace

// Failure: harmless requests that were in progress at a crash were blamed each
// time that they met the one that causes it.
BOOST_AUTO_TEST_CASE(only_requests_with_the_most_crashes_are_blamed_again) {
  History history({});
  std::vector<std::string> all = {"crash", "x", "y"};
  BOOST_TEST(Names(history.OnUpstreamEnded("u1", all, kNow)) == all);
  BOOST_TEST(!history.StandingOf("crash", kNow).refused());
  std::vector<std::string> blamed = {"crash"};
  BOOST_TEST(Names(history.OnUpstreamEnded("u2", {"crash", "z"}, kNow)) ==
             blamed);
  BOOST_TEST(Names(history.OnUpstreamEnded("u3", {"x", "crash"}, kNow)) ==
             blamed);
  BOOST_TEST(history.StandingOf("crash", kNow).refused());
  BOOST_TEST(history.StandingOf("x", kNow).crashes == 1);
  BOOST_TEST(history.StandingOf("z", kNow).crashes == 0);
}

// Failure: a popular request that is always in progress somewhere was refused
// after three upstreams had ended for other reasons.
BOOST_AUTO_TEST_CASE(an_answer_clears_a_request) {
  History history({});
  for (const char* upstream : {"u1", "u2", "u3"}) {
    history.OnUpstreamEnded(upstream, {"popular"}, kNow);
    if (upstream == std::string("u2"))
      BOOST_TEST(history.OnCompleted("popular"));
  }
  BOOST_TEST(history.StandingOf("popular", kNow).crashes == 1);
  BOOST_TEST(!history.OnCompleted("other"));
}

// Failure: a request was refused long after the cause had gone.
BOOST_AUTO_TEST_CASE(a_refusal_ends_and_one_more_crash_begins_it_again) {
  HistoryOptions options;
  History history(options);
  for (const char* upstream : {"u1", "u2", "u3"}) {
    history.OnUpstreamEnded(upstream, {"crash"}, kNow);
  }
  BOOST_TEST(history.StandingOf("crash", kNow).refused_for.count() ==
             options.refusal.count());
  Millis later = kNow + options.refusal;
  BOOST_TEST(!history.StandingOf("crash", later).refused());
  BOOST_TEST(history.StandingOf("crash", later).crashes == 2);
  history.OnUpstreamEnded("u4", {"crash"}, later);
  BOOST_TEST(history.StandingOf("crash", later).refused());
  Millis end = later + options.refusal + options.suspicion;
  BOOST_TEST(history.StandingOf("crash", end).crashes == 0);
  BOOST_TEST(history.empty());
}

BOOST_AUTO_TEST_CASE(a_suspicion_is_forgotten) {
  HistoryOptions options;
  History history(options);
  history.OnUpstreamEnded("u1", {"x"}, kNow);
  history.OnUpstreamEnded("u2", {"y"}, kNow + options.suspicion);
  BOOST_TEST(history.size() == 1U);
}

// Failure: a client filled the memory of all nodes with requests that crash.
BOOST_AUTO_TEST_CASE(a_thousand_crashing_requests_stay_within_the_bound) {
  HistoryOptions options;
  History history(options);
  for (const char* upstream : {"u1", "u2", "u3"}) {
    history.OnUpstreamEnded(upstream, {"first"}, kNow);
  }
  for (int i = 0; i < 1000; ++i) {
    history.OnUpstreamEnded("v" + std::to_string(i), {std::to_string(i)}, kNow);
    BOOST_TEST(history.size() <= options.max_requests);
  }
  BOOST_TEST(history.StandingOf("first", kNow).refused());
}

// A node that starts learns a refusal of which each end is older than the time
// that a suspicion is remembered.
BOOST_AUTO_TEST_CASE(a_new_node_learns_an_old_refusal) {
  History history({});
  for (const char* upstream : {"u1", "u2", "u3"}) {
    history.OnUpstreamEnded(upstream, {"crash"}, kNow);
  }
  Millis later = kNow + Millis(200'000);
  History fresh({});
  for (const Report& report : history.Reports(later)) {
    BOOST_TEST(fresh.Add(report, Millis(5000)));
    BOOST_TEST(!fresh.Add(report, Millis(5000)));
  }
  BOOST_TEST(fresh.StandingOf("crash", Millis(5000)).refused_for.count() ==
             history.StandingOf("crash", later).refused_for.count());
}

// Reports reach each node in any order and any number of times.
BOOST_AUTO_TEST_CASE(nodes_agree_whatever_the_order_of_reports) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<History> nodes(3, History({}));
    std::vector<Report> sent;
    for (int i = 0; i < 8; ++i) {
      std::vector<std::string> requests;
      for (int j = 0; j < 3; ++j) {
        requests.push_back("r" + std::to_string(random() % 4));
      }
      for (const Report& report : nodes[random() % 3].OnUpstreamEnded(
               "u" + std::to_string(i), requests, kNow)) {
        sent.push_back(report);
      }
    }
    for (History& node : nodes) {
      std::vector<Report> order = sent;
      order.insert(order.end(), sent.begin(), sent.end());
      std::shuffle(order.begin(), order.end(), random);
      for (const Report& report : order) node.Add(report, kNow);
    }
    for (int i = 0; i < 4; ++i) {
      std::string request = "r" + std::to_string(i);
      int crashes = nodes[0].StandingOf(request, kNow).crashes;
      BOOST_TEST(nodes[1].StandingOf(request, kNow).crashes == crashes);
      BOOST_TEST(nodes[2].StandingOf(request, kNow).crashes == crashes);
    }
  }
}

// An answer of before the newest end does not clear a request.
BOOST_AUTO_TEST_CASE(an_earlier_answer_does_not_clear) {
  History history({});
  history.OnUpstreamEnded("u1", {"crash"}, kNow);
  BOOST_TEST(!history.Add({"crash", "", Millis(10)}, kNow));
  BOOST_TEST(history.Add({"crash", "", Millis(0)}, kNow));
  BOOST_TEST(history.empty());
}

BOOST_AUTO_TEST_CASE(each_part_of_a_request_is_part_of_its_identity) {
  std::vector<RequestParts> rows = {
      {"GET", "h", "/a", "", {}},
      {"POST", "h", "/a", "", {}},
      {"GET", "h2", "/a", "", {}},
      {"GET", "h", "/a?b", "", {}},
      {"GET", "h", "/", "a", {}},
      {"GET", "h", "/a", "body", {}},
      {"GET", "h", "/a", "", {true, 5}},
      {"GET", "h", "/a", "", {true, 6}},
      {"GET", "h", "/a", "", {true, std::nullopt}},
  };
  std::set<std::string> identities;
  for (const RequestParts& row : rows) {
    std::string identity = IdentityOf(row);
    BOOST_TEST(identity.size() == 16U);
    BOOST_TEST(identity == IdentityOf(row));
    identities.insert(identity);
  }
  BOOST_TEST(identities.size() == rows.size());
  BOOST_TEST(ShortName(IdentityOf(rows[0])).size() == 16U);
}

}  // namespace almondwind::crashes
