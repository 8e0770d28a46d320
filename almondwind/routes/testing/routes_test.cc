// Tests of route matching, validation, split by weight and the retry budget.

#define BOOST_TEST_MODULE routes
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "almondwind/routes/retry_budget.h"
#include "almondwind/routes/split.h"
#include "almondwind/routes/table.h"

namespace almondwind::routes {
namespace {

using base::Millis;

Route MakeRoute(const std::string& name, const std::string& prefix,
                std::vector<Destination> destinations = {{"s", 1}}) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.prefix = prefix;
  route.timeout = Millis(1000);
  route.destinations = std::move(destinations);
  return route;
}

RouteTablePtr Table(std::vector<Route> routes) {
  return RouteTable::Build(1, std::move(routes), {{"s", "", 0}, {"t", "", 0}},
                           {});
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_matches) {
  RouteTablePtr table = Table({MakeRoute("root", "/"), MakeRoute("a", "/a/"),
                               MakeRoute("ab", "/a/b/")});
  struct Row {
    const char* host;
    const char* path;
    const char* route;  // null if none matches
  };
  const Row rows[] = {
      {"shop.example", "/a/b/c", "ab"}, {"SHOP.example", "/a/b/", "ab"},
      {"shop.example:80", "/a/x", "a"}, {"shop.example", "/a", "root"},
      {"shop.example", "/ab/", "root"}, {"other.example", "/a/", nullptr},
      {"shop.example", "/a/b", "a"},
  };
  for (const Row& row : rows) {
    const Route* route = table->Match(row.host, row.path);
    BOOST_TEST((route == nullptr ? "" : route->name) ==
                   (row.route == nullptr ? "" : row.route),
               row.host << row.path);
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_with_a_fault_is_refused_whole) {
  struct Row {
    const char* what;
    Route route;
  };
  std::vector<Row> rows;
  rows.push_back({"no slash at the end", MakeRoute("r", "/a")});
  rows.push_back({"no slash at the start", MakeRoute("r", "a/")});
  rows.push_back({"unknown service", MakeRoute("r", "/", {{"u", 1}})});
  rows.push_back({"no service", MakeRoute("r", "/", {})});
  rows.push_back({"weights of 0", MakeRoute("r", "/", {{"s", 0}})});
  rows.push_back({"negative weight", MakeRoute("r", "/", {{"s", -1}})});
  rows.push_back({"no timeout", MakeRoute("r", "/")});
  rows.back().route.timeout = Millis(0);
  rows.push_back({"no attempts", MakeRoute("r", "/")});
  rows.back().route.max_attempts = 0;
  for (const Row& row : rows) {
    BOOST_CHECK_THROW(Table({MakeRoute("good", "/g/"), row.route}),
                      base::Error);
  }
}

BOOST_AUTO_TEST_CASE(split_gives_each_part_its_weight) {
  Route route = MakeRoute("r", "/", {{"s", 90}, {"t", 10}});
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Splitter splitter(seed);
    std::map<std::string, int> count;
    for (int i = 0; i < 300; ++i) ++count[splitter.Choose(route).service];
    BOOST_TEST(std::abs(count["t"] - 30) <= 1, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_part_of_weight_zero_gets_nothing) {
  Route route = MakeRoute("r", "/", {{"s", 0}, {"t", 1}});
  Splitter splitter(1);
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(splitter.Choose(route).service == "t");
  }
}

// In a retry storm every node tries to retry each request. Whatever share of
// the requests a node sees, the retries of all nodes must stay within the
// budget in every window.
BOOST_AUTO_TEST_CASE(nodes_together_keep_the_retry_budget) {
  constexpr size_t kNodes = 13;
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.slack = 49;
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 20; ++round) {
    std::vector<RetryBudget> nodes(kNodes, RetryBudget(options));
    for (RetryBudget& node : nodes) node.SetNodes(kNodes);
    std::vector<int64_t> requests;
    std::vector<int64_t> retries;
    for (int64_t t = 0; t < 30'000; t += 5) {
      size_t node = random() % kNodes;
      if (round % 2 == 0) node = node % 3;  // uneven load
      nodes[node].OnRequest("s", Millis(t));
      requests.push_back(t);
      if (nodes[node].Take({{"s", 1}}, Millis(t))) retries.push_back(t);
    }
    BOOST_TEST(!retries.empty());
    for (int64_t from = 0; from + 10'000 <= 30'000; from += 250) {
      auto in = [from](int64_t t) { return t >= from && t < from + 10'000; };
      auto requested = std::count_if(requests.begin(), requests.end(), in);
      auto retried = std::count_if(retries.begin(), retries.end(), in);
      BOOST_TEST(static_cast<double>(retried) <=
                 0.2 * static_cast<double>(requested) + 49);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_repeat_is_taken_from_all_services_or_none) {
  RetryBudgetOptions options;
  options.slack = 10;
  options.safety_factor = 1;
  RetryBudget budget(options);
  Millis now(1000);
  BOOST_TEST(!budget.Take({{"a", 1}, {"b", 11}}, now));
  BOOST_TEST(budget.Take({{"a", 10}}, now));
  BOOST_TEST(!budget.Take({{"a", 1}}, now));
  BOOST_TEST(budget.Take({{"a", 1}}, now + Millis(10'001)));
}

}  // namespace almondwind::routes
