// Chooses the peers that a node keeps links to.
//
// With links between all nodes, their heartbeats and memory grow with the
// square of the fleet. A node keeps links to
//   - the machines that it may call (directory.h),
//   - the nodes of its own zone, up to PeerSelectionOptions::own_zone,
//   - a few nodes of each other zone, so that news and demand pass between any
//     two zones even if no call does.
// Within a zone the nodes with the smallest hash of both addresses are chosen
// (rendezvous hashing), so that links spread evenly over the nodes and change
// little when one comes or goes. Links that other nodes dial come on top.
//
// Cost: hashes and sorts the addresses of all nodes. Bounds: own_zone plus
// per_other_zone for each other zone, beside the machines to call.
#ifndef ALMONDWIND_ZONES_PEER_SELECTION_H_
#define ALMONDWIND_ZONES_PEER_SELECTION_H_

#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondwind::zones {

struct PeerSelectionOptions {
  std::string address;  // of this node
  std::string zone;
  size_t own_zone = 64;
  size_t per_other_zone = 2;
};

// Returns the addresses to keep links to: `called`, and of `by_zone`, the
// addresses of all nodes by zone, the chosen ones. The own address is left out.
std::set<std::string> SelectPeers(
    const PeerSelectionOptions& options, std::set<std::string> called,
    const std::map<std::string, std::vector<std::string>>& by_zone);

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_PEER_SELECTION_H_
