// Tests of the choice of peers, without network. Pattern: the large deployment,
// where links between all nodes took most of the memory and of the bytes
// between zones.

#define BOOST_TEST_MODULE zones_peer_selection
#include "almondwind/zones/peer_selection.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace almondwind::zones {
namespace {

using Zones = std::map<std::string, std::vector<std::string>>;

Zones MakeZones(int zones, int nodes) {
  Zones out;
  for (int z = 0; z < zones; ++z) {
    for (int i = 0; i < nodes; ++i) {
      out["z" + std::to_string(z)].push_back(
          "10." + std::to_string(z) + "." + std::to_string(i / 200) + "." +
          std::to_string(i % 200 + 1) + ":7620");
    }
  }
  return out;
}

std::set<std::string> Select(const Zones& zones, const std::string& zone,
                             const std::string& address,
                             std::set<std::string> called = {}) {
  PeerSelectionOptions options;
  options.address = address;
  options.zone = zone;
  return SelectPeers(options, std::move(called), zones);
}

}  // namespace

BOOST_AUTO_TEST_CASE(small_zones_are_linked_completely) {
  Zones zones = MakeZones(6, 33);
  for (const auto& [zone, addresses] : zones) {
    for (const std::string& address : addresses) {
      std::set<std::string> peers = Select(zones, zone, address);
      BOOST_TEST(peers.size() == 32U + 5 * 2);
      for (const std::string& other : addresses) {
        BOOST_TEST(peers.count(other) == (other == address ? 0U : 1U));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(machines_to_call_are_always_linked) {
  Zones zones = MakeZones(3, 5);
  std::string own = zones["z0"][0];
  std::set<std::string> called = {"10.9.9.9:7620", own, zones["z1"][4]};
  std::set<std::string> peers = Select(zones, "z0", own, called);
  BOOST_TEST(peers.count("10.9.9.9:7620") == 1U);
  BOOST_TEST(peers.count(zones["z1"][4]) == 1U);
  BOOST_TEST(peers.count(own) == 0U);
}

// 23,000 nodes in 16 zones: the links of a node stay bounded, also those that
// others dial.
BOOST_AUTO_TEST_CASE(links_stay_bounded_at_the_target_size) {
  Zones zones = MakeZones(16, 1438);
  std::map<std::string, size_t> accepted;
  for (const auto& [zone, addresses] : zones) {
    // A sample of one node in eight dials; the others would add evenly.
    for (size_t i = 0; i < addresses.size(); i += 8) {
      std::set<std::string> peers = Select(zones, zone, addresses[i]);
      BOOST_TEST(peers.size() == 64U + 15 * 2);
      for (const std::string& peer : peers) ++accepted[peer];
    }
  }
  size_t most = 0;
  for (const auto& [address, count] : accepted) most = std::max(most, count);
  BOOST_TEST(most * 8 < 4 * 94U);
}

// Links must change little when a node is added, or all of them would be dialed
// anew during a release.
BOOST_AUTO_TEST_CASE(another_node_replaces_few_links) {
  Zones zones = MakeZones(4, 200);
  std::string own = zones["z0"][0];
  std::set<std::string> before = Select(zones, "z0", own);
  zones["z0"].push_back("10.200.0.1:7620");
  zones["z1"].push_back("10.200.0.2:7620");
  std::set<std::string> after = Select(zones, "z0", own);
  std::vector<std::string> gone;
  std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                      std::back_inserter(gone));
  BOOST_TEST(gone.size() <= 2U);
}

// With two links from every node to each other zone, any half of a zone's nodes
// still has links to any half of another's.
BOOST_AUTO_TEST_CASE(zones_stay_connected_when_nodes_are_lost) {
  Zones zones = MakeZones(6, 33);
  for (const auto& [zone, addresses] : zones) {
    for (const auto& [other, others] : zones) {
      if (other == zone) continue;
      size_t links = 0;
      for (size_t i = 0; i < addresses.size(); i += 2) {
        std::set<std::string> peers = Select(zones, zone, addresses[i]);
        for (size_t j = 1; j < others.size(); j += 2) {
          links += peers.count(others[j]);
        }
      }
      BOOST_TEST(links > 0U, zone << " to " << other);
    }
  }
}

}  // namespace almondwind::zones
