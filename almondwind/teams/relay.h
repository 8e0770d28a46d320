// Distributes configuration between nodes, so that few of them read the
// platform.
//
// Two mechanisms of epidemic replication are combined (Demers et al., 1987).
// Rumor mongering: a node that accepts a newer value pushes it immediately to a
// few peers, which do the same. Anti-entropy: once per interval a node sends a
// digest to two peers, which answer with the differences. The first is fast;
// the second repairs what the first missed because of a network partition, a
// pause or a lost message.
//
// Each node has a bounded set of peers, some in its own zone and some in
// others. A hash ranks the nodes of each zone. The first few of each zone read
// the platform; any other node does so only if its view has not been confirmed
// for a time that grows with its rank, so that an outage does not make all
// nodes read the platform at once.
//
// All messages are idempotent, so loss, duplication and reordering are
// harmless. Not thread-safe; guarded by node::Node.
#ifndef ALMONDWIND_TEAMS_RELAY_H_
#define ALMONDWIND_TEAMS_RELAY_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/teams/store.h"
#include "almondwind/zones/machine.h"

namespace almondwind::teams {

enum class ControlType : uint8_t;
struct ControlMessage;

// Sends control messages, which may be lost.
class ControlChannel {
 public:
  virtual ~ControlChannel() = default;
  // Never blocks; drops the message if it cannot be sent immediately.
  virtual void SendControl(const std::string& address,
                           const std::string& bytes) = 0;
};

struct RelayOptions {
  std::string host;
  std::string zone;
  std::string control;             // control address of this node
  std::vector<std::string> seeds;  // control addresses of initial peers
  base::Millis interval{1000};     // between two digests
  size_t zone_peers = 5;
  size_t other_peers = 3;
  size_t push_peers = 3;  // peers that a newer value is pushed to
  size_t message_bytes = 900'000;
  // The first nodes of a zone always read the platform. Any other node reads it
  // if its view is older than stale_after + min(max_rank_delay, rank *
  // rank_delay).
  uint32_t readers_per_zone = 3;
  base::Millis stale_after{3000};
  base::Millis rank_delay{100};
  base::Millis max_rank_delay{30'000};
};

class Relay {
 public:
  Relay(RelayOptions options, Store& store, ControlChannel& control,
        uint64_t seed);

  // Sends digests if the interval has passed.
  void Tick(base::Millis now);
  // Handles a message of a peer. Throws base::Error(kMalformed).
  void OnMessage(std::string_view bytes, base::Millis now);
  // Offers values read from the platform to the store and pushes those
  // accepted. The read confirms the view.
  void OnPlatform(const std::vector<Value>& values, base::Millis now);
  // Sets the published hosts of one service, from which peers are chosen.
  void UpdateHosts(const std::string& path,
                   const std::vector<zones::HostEntry>& hosts);

  // Returns whether this node should read the platform now.
  bool ShouldReadPlatform(base::Millis now) const;
  // Returns the time since the platform last confirmed the view, directly or
  // through peers.
  base::Millis Age(base::Millis now) const { return now - confirmed_at_; }
  // Returns whether the first synchronization with a peer is complete. A new
  // node waits for it before it serves.
  bool synced_with_peer() const { return synced_with_peer_; }
  bool has_peers() const { return !peers_.empty(); }
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t messages_sent() const { return messages_sent_; }

 private:
  struct Peer {
    std::string name;
    std::string zone;
    std::string control;
  };

  void OnDigest(const ControlMessage& in, base::Millis now);
  void OnVersions(const ControlMessage& in, base::Millis now);
  void OnValueRequest(const ControlMessage& in, base::Millis now);
  void OnValues(const ControlMessage& in, base::Millis now);
  ControlMessage NewMessage(ControlType type, base::Millis now) const;
  // Returns the values of `buckets` that are newer here than in
  // `peer_versions`.
  std::vector<Value> NewerThan(
      const std::map<std::string, uint64_t>& peer_versions,
      const std::vector<uint8_t>& buckets) const;
  void ChoosePeers();
  void Send(const std::string& address, const std::string& bytes);
  void SendDigest(const std::string& address, base::Millis now);
  void SendValues(const std::string& address, const std::vector<Value>& values,
                  base::Millis now);
  void Push(const std::vector<Value>& values, base::Millis now);
  void Confirm(int64_t age_ms, base::Millis now);
  void OfferAndPush(const std::vector<Value>& values, base::Millis now);
  std::string RandomPeer();

  RelayOptions options_;
  Store& store_;
  ControlChannel& control_;
  std::mt19937_64 random_;
  std::map<std::string, std::vector<Peer>> hosts_by_path_;
  std::vector<std::string> peers_;  // control addresses
  bool peers_outdated_ = true;
  size_t rank_ = 0;  // among the nodes of this node's zone
  base::Millis next_digest_at_{0};
  base::Millis confirmed_at_{-3'600'000};
  bool synced_with_peer_ = false;
  // Paths requested from the first peer and not received yet.
  std::set<std::string> startup_requests_;
  uint64_t bytes_sent_ = 0;
  uint64_t messages_sent_ = 0;
};

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_RELAY_H_
