// Tests of the learned call graph, the costs that follow from it, and
// admission.

#define BOOST_TEST_MODULE graph
#include <boost/test/unit_test.hpp>
#include <random>

#include "almondwind/graph/admission.h"
#include "almondwind/graph/cost_table.h"
#include "almondwind/graph/run_tracker.h"

namespace almondwind::graph {
namespace {

using base::Millis;
using base::RequestClass;
using peers::RouteCost;
using routes::Route;
using routes::RouteTable;
using routes::RouteTablePtr;

Route MakeRoute(const std::string& name, const std::string& service,
                int priority) {
  Route route;
  route.name = name;
  route.host = "h";
  route.prefix = "/" + name + "/";
  route.idempotent = true;
  route.timeout = Millis(1000);
  route.priority = priority;
  route.destinations = {{service, 1}};
  return route;
}

// Routes of a chain of four services, of which the last, pricing, is small. A
// browse and a quote cause eight calls to it each, a comparison one, a download
// none.
RouteTablePtr ChainRoutes() {
  return RouteTable::Build(
      1,
      {MakeRoute("browse", "catalogue", 2), MakeRoute("quote", "quotations", 0),
       MakeRoute("download", "drawings", 2), MakeRoute("compare", "pricing", 1),
       MakeRoute("lookup", "quotations", 2), MakeRoute("survey", "drawings", 2),
       MakeRoute("rates", "pricing", 2)},
      {{"catalogue", "", 0},
       {"quotations", "", 0},
       {"drawings", "", 0},
       {"pricing", "", 0}},
      {});
}

void ReportChain(CostTable& costs, Millis now) {
  costs.Report("n1", "catalogue", {{"browse", 500, 90, {{"lookup", 2}}}}, now);
  costs.Report("n2", "quotations",
               {{"quote", 300, 50, {{"survey", 2}}},
                {"lookup", 160, 180, {{"survey", 1}}}},
               now);
  costs.Report(
      "n3", "drawings",
      {{"download", 300, 40, {}}, {"survey", 140, 300, {{"rates", 4}}}}, now);
  costs.Report("n4", "pricing",
               {{"compare", 48, 33, {}}, {"rates", 30, 1200, {}}}, now);
}

std::map<std::string, ServiceCapacity> Capacities(double pricing_slots) {
  return {{"catalogue", {240, 0, 0}},
          {"quotations", {240, 0, 0}},
          {"drawings", {240, 0, 0}},
          {"pricing", {pricing_slots, 0, 0}}};
}

int CountAdmitted(AdmissionPlan& plan, const std::string& route, int requests) {
  int admitted = 0;
  for (int i = 0; i < requests; ++i) admitted += plan.Admit(route) ? 1 : 0;
  return admitted;
}

}  // namespace

BOOST_AUTO_TEST_CASE(costs_follow_the_calls_down) {
  CostTable costs({});
  Millis now(1000);
  ReportChain(costs, now);
  RouteTablePtr routes = ChainRoutes();
  Costs browse = costs.Lookup("browse", "catalogue", *routes, now);
  BOOST_TEST(browse["catalogue"].requests == 1);
  BOOST_TEST(browse["quotations"].requests == 2);
  BOOST_TEST(browse["drawings"].requests == 2);
  BOOST_TEST(browse["pricing"].requests == 8);
  BOOST_TEST(browse["pricing"].slot_ms == 240);
  Costs download = costs.Lookup("download", "drawings", *routes, now);
  BOOST_TEST(download.count("pricing") == 0U);
}

BOOST_AUTO_TEST_CASE(a_loop_of_calls_ends) {
  CostTable costs({});
  Millis now(1000);
  costs.Report("n", "catalogue", {{"browse", 10, 1, {{"browse", 1}}}}, now);
  RouteTablePtr routes = ChainRoutes();
  Costs browse = costs.Lookup("browse", "catalogue", *routes, now);
  BOOST_TEST(browse["catalogue"].requests <= 30);
}

BOOST_AUTO_TEST_CASE(a_chain_fifteen_deep_is_followed) {
  std::vector<Route> list;
  std::vector<routes::Service> services;
  CostTable costs({});
  Millis now(1000);
  for (int i = 0; i < 15; ++i) {
    std::string service = "s" + std::to_string(i);
    services.push_back({service, "", 0});
    list.push_back(MakeRoute("r" + std::to_string(i), service, 1));
    RouteCost cost{"r" + std::to_string(i), 10, 5, {}};
    if (i < 14) cost.calls = {{"r" + std::to_string(i + 1), 2}};
    costs.Report(service, service, {cost}, now);
  }
  RouteTablePtr routes = RouteTable::Build(1, list, services, {});
  Costs top = costs.Lookup("r0", "s0", *routes, now);
  BOOST_TEST(top["s14"].requests == 16384);
}

// Callers send 1.8 times as many requests as the last service can process.
// Routes of higher priority must be admitted in full and browses up to the
// remaining capacity. Downloads do not use that service and must not be
// limited.
BOOST_AUTO_TEST_CASE(a_surge_is_paid_by_the_least_important_route_below) {
  AdmissionOptions options;
  options.target_utilization = 1;
  AdmissionPlan plan(options);
  CostTable costs({});
  Millis now(1000);
  ReportChain(costs, now);
  RouteTablePtr routes = ChainRoutes();
  plan.SetCapacities(Capacities(45));
  plan.SetDemand("e1", {{"browse", 85.0}, {"quote", 50.0}, {"compare", 30.0}},
                 now);
  plan.SetDemand("e2", {{"browse", 85.0}, {"quote", 50.0}, {"download", 70.0}},
                 now);
  plan.Plan(*routes, costs, now);
  BOOST_TEST(CountAdmitted(plan, "quote", 1000) == 1000);
  BOOST_TEST(CountAdmitted(plan, "compare", 1000) == 1000);
  BOOST_TEST(CountAdmitted(plan, "download", 1000) == 1000);
  BOOST_TEST(plan.bound_by("browse") == "pricing");
  // 45 slots, less 24 for quotes and 1.44 for comparisons, over the 40.8 that
  // all browses would fill.
  double share = (45 - 24 - 1.44) / 40.8;
  BOOST_TEST(plan.share("browse") == share,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(std::abs(CountAdmitted(plan, "browse", 1000) - 1000 * share) <=
             1.5);
}

// Of two routes with the same priority, one costs the bottleneck little (or is
// estimated to by chance), the other a lot. The first must not be refused,
// since that would free almost no capacity.
BOOST_AUTO_TEST_CASE(a_route_that_costs_little_goes_before_a_dear_one) {
  AdmissionPlan plan({});
  CostTable costs({});
  Millis now(1000);
  ReportChain(costs, now);
  costs.Report("n3", "drawings",
               {{"download", 300, 40, {{"rates", 0.3}}},
                {"survey", 140, 300, {{"rates", 4}}}},
               now);
  plan.SetCapacities(Capacities(30));
  plan.SetDemand("e", {{"browse", 150.0}, {"download", 40.0}}, now);
  plan.Plan(*ChainRoutes(), costs, now);
  BOOST_TEST(plan.share("download") == 1);
  // 30 slots, less 40 * 0.3 * 30 ms for downloads, over 150 * 8 * 30 ms for all
  // browses.
  BOOST_TEST(plan.share("browse") == (30 - 0.36) / 36,
             boost::test_tools::tolerance(0.001));
}

// The last service has too little capacity even for the most important route. A
// comparison costs a fifth of a quote there, so both routes must be admitted at
// the same share, and only the minimum share of browses.
BOOST_AUTO_TEST_CASE(a_cheap_route_is_served_as_often_as_a_dear_one_above_it) {
  AdmissionPlan plan({});
  CostTable costs({});
  Millis now(1000);
  ReportChain(costs, now);
  plan.SetCapacities(Capacities(15));
  plan.SetDemand("e",
                 {{"browse", 90.0},
                  {"quote", 100.0},
                  {"compare", 60.0},
                  {"download", 70.0}},
                 now);
  plan.Plan(*ChainRoutes(), costs, now);
  BOOST_TEST(plan.share("quote") > 0.4);
  BOOST_TEST(plan.share("quote") < 0.6);
  BOOST_TEST(plan.share("compare") == plan.share("quote"));
  BOOST_TEST(plan.share("download") == 1);
  int browses = CountAdmitted(plan, "browse", 1000);
  BOOST_TEST(browses >= 20);
  BOOST_TEST(browses <= 40);
}

BOOST_AUTO_TEST_CASE(a_calm_day_is_not_touched) {
  AdmissionPlan plan({});
  CostTable costs({});
  Millis now(1000);
  ReportChain(costs, now);
  plan.SetCapacities(Capacities(45));
  plan.SetDemand("e", {{"browse", 90.0}, {"quote", 50.0}}, now);
  plan.Plan(*ChainRoutes(), costs, now);
  BOOST_TEST(CountAdmitted(plan, "browse", 1000) == 1000);
}

// The last service becomes slow and requests queue there before their higher
// cost has been measured. The plan must admit less, and recover afterwards.
BOOST_AUTO_TEST_CASE(waits_below_cut_the_plan_and_it_recovers) {
  AdmissionPlan plan({});
  CostTable costs({});
  RouteTablePtr routes = ChainRoutes();
  Millis now(1000);
  auto step = [&](double wait_ms) {
    now = now + Millis(250);
    ReportChain(costs, now);
    std::map<std::string, ServiceCapacity> capacities = Capacities(45);
    capacities["pricing"].wait_ms = wait_ms;
    plan.SetCapacities(capacities);
    plan.SetDemand("e", {{"browse", 90.0}, {"quote", 50.0}}, now);
    plan.Plan(*routes, costs, now);
  };
  step(0);
  BOOST_TEST(plan.share("browse") == 1);
  for (int i = 0; i < 16; ++i) step(100);  // 4 s
  BOOST_TEST(plan.share("browse") < 0.75);
  BOOST_TEST(plan.share("quote") == 1);
  for (int i = 0; i < 40; ++i) step(0);
  BOOST_TEST(plan.share("browse") == 1);
}

// A surge follows a long time of low load. The factor must not have risen in
// that time: the first plan of the surge must not exceed the slots.
BOOST_AUTO_TEST_CASE(a_calm_does_not_make_room_for_a_surge) {
  AdmissionPlan plan({});
  CostTable costs({});
  RouteTablePtr routes = ChainRoutes();
  Millis now(1000);
  for (int i = 0; i < 100; ++i) {
    now = now + Millis(250);
    ReportChain(costs, now);
    plan.SetCapacities(Capacities(45));
    plan.SetDemand("e", {{"browse", 20.0}, {"quote", 20.0}}, now);
    plan.Plan(*routes, costs, now);
  }
  plan.SetDemand("e", {{"browse", 150.0}, {"quote", 90.0}}, now);
  plan.Plan(*routes, costs, now);
  double filled = 0.24 * (150 * plan.share("browse") + 90);
  BOOST_TEST(filled <= 45);
}

BOOST_AUTO_TEST_CASE(reports_of_nodes_that_are_gone_are_dropped) {
  AdmissionPlan plan({});
  CostTable costs({});
  Millis now(1000);
  ReportChain(costs, now);
  plan.SetCapacities(Capacities(10));
  plan.SetDemand("gone", {{"browse", 500.0}}, now);
  plan.Plan(*ChainRoutes(), costs, now);
  BOOST_TEST(plan.share("browse") < 0.2);
  now = now + Millis(3000);
  ReportChain(costs, now);
  plan.Plan(*ChainRoutes(), costs, now);
  BOOST_TEST(plan.share("browse") == 1);
}

// After all processes were killed under load, a new node sees only runs that
// fail, each after its first call or two. Their cost must be learned even so;
// otherwise they are all admitted and none ever completes.
BOOST_AUTO_TEST_CASE(runs_that_fail_teach_what_their_route_calls) {
  RunTracker tracker({});
  for (uint64_t run = 1; run <= 200; ++run) {
    auto t = static_cast<int64_t>(1000 + run * 20);
    tracker.Start(run, "browse", RequestClass::kNormal, Millis(t + 800));
    // The first run fails before it makes a call.
    if (run > 1) tracker.CountCall("lookup", Millis(t + 801), Millis(t + 5));
    tracker.End(run, /*completed=*/false, Millis(15), Millis(t + 15));
  }
  std::vector<RouteCost> costs = tracker.Costs(Millis(5000));
  BOOST_REQUIRE(costs.size() == 1U);
  BOOST_REQUIRE(costs[0].calls.size() == 1U);
  BOOST_TEST(costs[0].calls[0].second > 0.8);
}

// Two routes run on one host: surveys make four sequential calls each;
// downloads make none and run longer than most calls. The deadline of a call is
// that of its parent or 450 ms, whichever is earlier, so many calls do not have
// their parent's deadline. Periods of congestion make surveys three times as
// long, and clients on the same host send requests of other routes. The calls
// must be attributed to surveys alone.
BOOST_AUTO_TEST_CASE(calls_are_given_to_the_runs_that_made_them) {
  RunTracker tracker({});
  std::mt19937_64 random(20261204);
  struct ActiveRun {
    uint64_t run;
    int64_t deadline;
    int64_t ends;
    int64_t next_call;
    int64_t gap;
    int calls_left;
  };
  std::vector<ActiveRun> active;
  uint64_t next = 1;
  int calls = 0;
  int orphan_calls = 0;
  int clients = 0;
  int orphan_clients = 0;
  for (int64_t t = 1000; t < 61'000; ++t) {
    bool survey = random() % 20 == 0;    // 50 a second
    bool download = random() % 50 == 0;  // 20 a second
    if (survey || download) {
      auto timeout = static_cast<int64_t>(500 + random() % 300);
      int64_t slow = t / 3000 % 2 == 0 ? 1 : 3;
      int64_t length = survey ? 160 * slow : 400;
      active.push_back(
          {next, t + timeout, t + length, t + 20, 40 * slow, survey ? 4 : 0});
      tracker.Start(next++, survey ? "survey" : "download",
                    RequestClass::kNormal, Millis(t + timeout));
    }
    if (random() % 50 == 0) {  // clients of the same host
      ++clients;
      auto patience = static_cast<int64_t>(500 + random() % 2500);
      orphan_clients += tracker.FindParent("view", Millis(t + patience)).orphan;
    }
    for (size_t i = 0; i < active.size();) {
      ActiveRun& run = active[i];
      if (run.calls_left > 0 && t >= run.next_call) {
        // Delay until the request is read.
        int64_t late = static_cast<int64_t>(random() % 3);
        ++calls;
        ParentMatch match = tracker.FindParent(
            "rates", Millis(std::min(run.deadline, t + 450) + late));
        orphan_calls += match.orphan;
        tracker.CountCall(
            "rates", Millis(std::min(run.deadline, t + 450) + late), Millis(t));
        --run.calls_left;
        run.next_call += run.gap;
      }
      if (t < run.ends) {
        ++i;
        continue;
      }
      tracker.End(run.run, true, Millis(200), Millis(t));
      active.erase(active.begin() + static_cast<ptrdiff_t>(i));
    }
  }
  BOOST_TEST(orphan_calls == 0);
  BOOST_TEST(orphan_clients > clients / 4);
  for (const RouteCost& cost : tracker.Costs(Millis(61'000))) {
    double rates = 0;
    for (const auto& [callee, mean] : cost.calls) rates += mean;
    if (cost.route == "survey") BOOST_TEST(std::abs(rates - 4) < 0.6);
    if (cost.route == "download") BOOST_TEST(rates < 0.3);
  }
}

}  // namespace almondwind::graph
