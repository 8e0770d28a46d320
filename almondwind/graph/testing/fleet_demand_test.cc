// Tests of the fleet's demand as one node estimates it, without network.
// Pattern: the large deployment, where a node hears its own zone and a part of
// the others, and the plan must still see the demand of all.

#define BOOST_TEST_MODULE graph_fleet_demand
#include "almondwind/graph/fleet_demand.h"

#include <boost/test/unit_test.hpp>

namespace almondwind::graph {
namespace {

using base::Millis;
using peers::RouteDemand;
namespace tools = boost::test_tools;

RouteDemand Row(const std::string& route, double per_s, double seen = 100,
                double orphans = 100) {
  return {route, per_s, seen, orphans};
}

void ReportZone(FleetDemand& demand, const std::string& zone, int nodes,
                double per_s, Millis now) {
  for (int i = 0; i < nodes; ++i) {
    demand.Report(zone + "-" + std::to_string(i), zone, {Row("browse", per_s)},
                  now);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_zone_of_which_a_part_is_heard_counts_whole) {
  FleetDemand demand({});
  Millis now(1000);
  demand.SetZoneSizes({{"own", 30}, {"far", 32}});
  ReportZone(demand, "own", 30, 5, now);
  ReportZone(demand, "far", 8, 5, now);
  demand.Update(now);
  BOOST_TEST(demand.PerSecond("browse") == 62 * 5.0, tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_cut_off_adds_nothing) {
  FleetDemand demand({});
  Millis now(1000);
  demand.SetZoneSizes({{"own", 30}, {"far", 32}});
  ReportZone(demand, "own", 30, 5, now);
  ReportZone(demand, "far", 8, 5, now);
  now = now + Millis(3000);
  ReportZone(demand, "own", 30, 5, now);
  demand.Update(now);
  BOOST_TEST(demand.PerSecond("browse") == 30 * 5.0, tools::tolerance(1e-9));
}

// After a restart the links come up one by one. The first report of a zone must
// not stand for all of its nodes.
BOOST_AUTO_TEST_CASE(one_node_does_not_stand_for_a_large_zone) {
  FleetDemandOptions options;
  FleetDemand demand(options);
  Millis now(1000);
  demand.SetZoneSizes({{"far", 1400}});
  ReportZone(demand, "far", 1, 5, now);
  demand.Update(now);
  BOOST_TEST(demand.PerSecond("browse") == options.max_scale * 5,
             tools::tolerance(1e-9));
}

// The list of upstreams lags: nodes are heard that it does not have yet.
BOOST_AUTO_TEST_CASE(reports_are_never_scaled_down) {
  FleetDemand demand({});
  Millis now(1000);
  demand.SetZoneSizes({{"own", 2}});
  ReportZone(demand, "own", 4, 5, now);
  ReportZone(demand, "new", 3, 5, now);
  demand.Update(now);
  BOOST_TEST(demand.PerSecond("browse") == 7 * 5.0, tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(orphans_tell_clients_routes_from_called_ones) {
  FleetDemand demand({});
  Millis now(1000);
  demand.Report(
      "a", "z",
      {Row("browse", 9, 40, 30), Row("roll", 9, 40, 0), Row("rare", 1, 10, 10)},
      now);
  demand.Update(now);
  BOOST_TEST((demand.KindOf("browse") == RouteKind::kClients));
  BOOST_TEST((demand.KindOf("roll") == RouteKind::kCalled));
  BOOST_TEST((demand.KindOf("rare") == RouteKind::kUnknown));
  BOOST_TEST((demand.KindOf("other") == RouteKind::kUnknown));
  // Heard from one node of three, the rare route has been seen often enough.
  demand.SetZoneSizes({{"z", 3}});
  demand.Update(now);
  BOOST_TEST((demand.KindOf("rare") == RouteKind::kClients));
}

}  // namespace almondwind::graph
