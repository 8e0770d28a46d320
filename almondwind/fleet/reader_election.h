// Chooses the nodes of an availability zone that read the platform's store.
//
// Every read of the store is billed and its rate is bounded, so of each zone
// only a few nodes hold a watch. They are the first in the order of a hash of
// their addresses (rendezvous hashing; Thaler and Ravishankar, 1996) among the
// nodes that are linked to this one and can read the store. The other nodes get
// changes from them. No node is told its role: each derives it from its links
// and from what its peers report.
//
// The first reader keeps its watches short. If the store loses a watch without
// answering it, the reader notices within a second, and its answers confirm to
// the whole zone that nothing was missed. The second reader's watches are long:
// it delivers changes if the first one is paused or cut off.
//
// A node that has heard no confirmation for ElectionOptions::confirmation_limit
// reads by itself. The nodes of a zone begin one after another, in the order of
// the hash, so that an outage of the store does not make all of them call it.
//
//   ReaderElection election(options, "10.1.0.8:8300");
//   election.SetPeer("10.1.0.9:8300", /*can_read=*/true);
//   election.OnConfirmed(now - age);
//   feed.Watch(election.Mode(now));  // a few times per second
//
// Cost: Mode visits the peers of the zone. Not thread-safe.
#ifndef ALMONDWIND_FLEET_READER_ELECTION_H_
#define ALMONDWIND_FLEET_READER_ELECTION_H_

#include <cstdint>
#include <map>
#include <string>

#include "almondwind/base/clock.h"
#include "almondwind/base/names.h"

namespace almondwind::fleet {

// How a node follows the store.
enum class WatchMode : uint8_t {
  kNone,   // by its peers
  kLong,   // by long watches, which cost little while nothing changes
  kShort,  // by short watches, which notice soon that one was lost
};
constexpr base::Names<3> kWatchModeNames = {"none", "long", "short"};

struct ElectionOptions {
  // Readers of a zone: a second one for when the first is paused or cut off.
  size_t readers = 2;
  // Age of the newest confirmation at which a node reads by itself: longer than
  // a silent link takes to be closed (MeshOptions::silence_timeout) plus a
  // heartbeat, after which another reader has taken over.
  base::Millis confirmation_limit{3000};
  // Delay between two nodes of a zone that reach that age.
  base::Millis stagger{150};
};

class ReaderElection {
 public:
  ReaderElection(const ElectionOptions& options, std::string address);

  // Records a linked peer of this zone, and whether it can read the store and
  // is going to stay.
  void SetPeer(const std::string& address, bool can_read);
  void RemovePeer(const std::string& address);
  // Records whether this node's latest attempt to read the store succeeded.
  void SetCanRead(bool can_read) { can_read_ = can_read; }
  // Records that this node had everything that the store held at time `at`.
  void OnConfirmed(base::Millis at);

  WatchMode Mode(base::Millis now) const;
  // Returns the number of linked peers before this node in the order of the
  // hash.
  size_t turn() const { return Rank(/*readable_only=*/false); }
  bool can_read() const { return can_read_; }
  base::Millis confirmed_at() const { return confirmed_at_; }

 private:
  struct Peer {
    uint64_t hash = 0;
    bool can_read = true;
  };

  // Returns the number of peers before this node in the order of the hash, of
  // those that can read the store or of all.
  size_t Rank(bool readable_only) const;

  const ElectionOptions options_;
  const std::string address_;
  const uint64_t hash_;
  std::map<std::string, Peer> peers_;
  bool can_read_ = true;
  base::Millis confirmed_at_{0};
};

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_READER_ELECTION_H_
