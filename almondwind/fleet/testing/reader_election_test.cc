// Tests of who reads the platform's store, without network: how many nodes
// read, who takes over when readers are lost, refused or silent, and how many
// calls an outage of the store causes.

#define BOOST_TEST_MODULE fleet_reader_election
#include "almondwind/fleet/reader_election.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <vector>

namespace almondwind::fleet {
namespace {

using base::Millis;

// The nodes of a zone, all linked with each other. Tick passes on what each
// node would report to its peers.
struct Zone {
  explicit Zone(int count) {
    for (int i = 0; i < count; ++i) {
      addresses.push_back("10.0.0." + std::to_string(i + 1) + ":7620");
      nodes.push_back(
          std::make_unique<ReaderElection>(ElectionOptions(), addresses[i]));
    }
    alive.insert(alive.begin(), nodes.size(), true);
    readable = alive;
  }

  // Lets every reader read the store, then all nodes report to each other.
  void Tick() {
    now = now + Millis(500);
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (!alive[i] || nodes[i]->Mode(now) == WatchMode::kNone) continue;
      ++calls;
      nodes[i]->SetCanRead(readable[i]);
      if (readable[i]) nodes[i]->OnConfirmed(now);
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      for (size_t j = 0; j < nodes.size(); ++j) {
        if (i == j || !alive[i]) continue;
        if (!alive[j]) {
          nodes[i]->RemovePeer(addresses[j]);
          continue;
        }
        nodes[i]->SetPeer(addresses[j], nodes[j]->can_read());
        nodes[i]->OnConfirmed(nodes[j]->confirmed_at());
      }
    }
  }
  void Run(Millis span) {
    for (Millis end = now + span; now < end;) Tick();
  }
  std::vector<size_t> Readers(WatchMode mode) const {
    std::vector<size_t> out;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (alive[i] && nodes[i]->Mode(now) == mode) out.push_back(i);
    }
    return out;
  }

  Millis now{100'000};
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<ReaderElection>> nodes;
  std::vector<bool> alive;
  std::vector<bool> readable;  // whether the store answers the node
  int calls = 0;
};

}  // namespace

// Load: the large deployment, where a watch of every node was the largest cost.
BOOST_AUTO_TEST_CASE(two_nodes_of_a_zone_read_the_store) {
  for (int size : {1, 2, 5, 33, 240}) {
    Zone zone(size);
    zone.Run(Millis(2000));
    BOOST_TEST(zone.Readers(WatchMode::kShort).size() == 1U, size);
    BOOST_TEST(zone.Readers(WatchMode::kLong).size() == (size > 1 ? 1U : 0U),
               size);
  }
}

BOOST_AUTO_TEST_CASE(another_node_takes_the_place_of_a_lost_reader) {
  Zone zone(8);
  zone.Run(Millis(2000));
  size_t first = zone.Readers(WatchMode::kShort).at(0);
  size_t second = zone.Readers(WatchMode::kLong).at(0);
  zone.alive[first] = false;
  zone.Run(Millis(1000));
  BOOST_TEST(zone.Readers(WatchMode::kShort).at(0) == second);
  BOOST_TEST(zone.Readers(WatchMode::kLong).size() == 1U);
  zone.alive[first] = true;
  zone.Run(Millis(1000));
  BOOST_TEST(zone.Readers(WatchMode::kShort).at(0) == first);
}

// The store turns some machines away and serves the others.
BOOST_AUTO_TEST_CASE(
    a_node_that_the_store_refuses_is_replaced_until_it_can_read) {
  Zone zone(8);
  zone.Run(Millis(2000));
  size_t first = zone.Readers(WatchMode::kShort).at(0);
  size_t second = zone.Readers(WatchMode::kLong).at(0);
  zone.readable[first] = zone.readable[second] = false;
  zone.Run(Millis(4000));
  int reading = 0;
  for (size_t i = 0; i < zone.nodes.size(); ++i) {
    bool reads = zone.nodes[i]->Mode(zone.now) != WatchMode::kNone;
    reading += reads && zone.readable[i] ? 1 : 0;
    BOOST_TEST((zone.now - zone.nodes[i]->confirmed_at()).count() <= 1000);
  }
  BOOST_TEST(reading == 2);
  zone.readable[first] = zone.readable[second] = true;
  zone.Run(Millis(1000));
  BOOST_TEST(zone.Readers(WatchMode::kShort).at(0) == first);
  BOOST_TEST(zone.Readers(WatchMode::kLong).at(0) == second);
}

// Load: an outage of the store on the large deployment. Readers that fail are
// replaced one after another, so the calls must stay far below those of a whole
// zone that tries twice a second.
BOOST_AUTO_TEST_CASE(an_outage_of_the_store_does_not_make_all_nodes_call_it) {
  Zone zone(33);
  zone.Run(Millis(2000));
  zone.readable.assign(33, false);
  zone.calls = 0;
  zone.Run(Millis(4500));
  BOOST_TEST(zone.calls < 33 * 9 / 2);
  zone.readable.assign(33, true);
  zone.Run(Millis(1500));
  BOOST_TEST(zone.Readers(WatchMode::kShort).size() == 1U);
  BOOST_TEST(zone.Readers(WatchMode::kLong).size() == 1U);
}

// A node that hears no confirmation reads by itself, whatever its peers claim.
BOOST_AUTO_TEST_CASE(a_node_without_confirmation_reads_by_itself) {
  ElectionOptions options;
  ReaderElection node(options, "10.0.0.200:7620");
  Millis now(50'000);
  for (int i = 1; i < 100; ++i) {
    node.SetPeer("10.0.0." + std::to_string(i) + ":7620", true);
  }
  node.OnConfirmed(now);
  BOOST_TEST((node.Mode(now) == WatchMode::kNone));
  BOOST_TEST((node.Mode(now + options.confirmation_limit) == WatchMode::kNone));
  Millis all = options.confirmation_limit + options.stagger * 101;
  BOOST_TEST((node.Mode(now + all) == WatchMode::kShort));
  node.OnConfirmed(now + all);
  BOOST_TEST((node.Mode(now + all) == WatchMode::kNone));
}

// A peer that is about to stop is no reader, so that its zone has others before
// it is gone.
BOOST_AUTO_TEST_CASE(a_leaving_peer_gives_its_place_away) {
  ReaderElection a({}, "10.0.0.1:7620");
  ReaderElection b({}, "10.0.0.2:7620");
  a.SetPeer("10.0.0.2:7620", true);
  b.SetPeer("10.0.0.1:7620", true);
  bool a_first = a.Mode(Millis(0)) == WatchMode::kShort;
  ReaderElection& second = a_first ? b : a;
  BOOST_TEST((second.Mode(Millis(0)) == WatchMode::kLong));
  second.SetPeer(a_first ? "10.0.0.1:7620" : "10.0.0.2:7620", false);
  BOOST_TEST((second.Mode(Millis(0)) == WatchMode::kShort));
}

}  // namespace almondwind::fleet
