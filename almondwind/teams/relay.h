// Spreads configuration between nodes, so that few of them read the platform.
//
// A node that accepts a newer value pushes it at once to a few peers, which
// do the same (rumour spreading); and once an interval it sends a digest to
// two peers, which answer with what differs (anti-entropy; both Demers et
// al., 1987). The first is quick, the second finds what the first missed,
// after a cut, a pause or a lost message.
//
// Peers are a bounded set: some of the own zone, some of others. Which nodes
// read the platform follows from a hash: the first few of each zone do, and
// any other one only when its view has not been confirmed for a while, later
// the higher its rank, so that an outage does not bring all nodes down on the
// platform at once.
//
// All messages are idempotent, so that loss, repetition and reordering do no
// harm. Not thread-safe; node::Node guards it.
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

// Way for control messages; they may be lost.
class ControlChannel {
 public:
  virtual ~ControlChannel() = default;
  // Never blocks; drops the message when the way is full.
  virtual void SendControl(const std::string& address,
                           const std::string& bytes) = 0;
};

struct RelayOptions {
  std::string host;
  std::string zone;
  std::string control;             // own address
  std::vector<std::string> seeds;  // control addresses to start from
  base::Millis interval{1000};     // between two digests
  size_t zone_peers = 5;
  size_t other_peers = 3;
  size_t push_peers = 3;  // of a newer value
  size_t message_bytes = 900'000;
  // Platform reading.
  uint32_t readers_per_zone = 3;
  base::Millis stale_after{3000};  // unconfirmed for so long: read it oneself
  base::Millis rank_delay{100};    // more patience for each rank
  base::Millis max_rank_delay{30'000};
};

class Relay {
 public:
  Relay(RelayOptions options, Store& store, ControlChannel& control,
        uint64_t seed);

  // Sends digests when due.
  void Tick(base::Millis now);
  // Handles a message of a peer; throws base::Error(kMalformed).
  void OnMessage(std::string_view bytes, base::Millis now);
  // Offers what the platform published; pushes what is newer. `confirmed`:
  // the answer shows the present state.
  void OnPlatform(const std::vector<Value>& values, base::Millis now);
  // The published hosts of one service, for choosing peers.
  void UpdateHosts(const std::string& path,
                   const std::vector<zones::HostEntry>& hosts);

  // Whether this node should read the platform now.
  bool ShouldReadPlatform(base::Millis now) const;
  // Time since the view was last confirmed by the platform, by any path.
  base::Millis Age(base::Millis now) const { return now - confirmed_at_; }
  // Whether a peer has answered since the start; a fresh node asks its peers
  // before it serves.
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
  // Returns what of `buckets` is newer here than in `peer_versions`.
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
  std::map<std::string, std::vector<Peer>> hosts_by_path_;  // by path
  std::vector<std::string> peers_;                          // addresses
  bool peers_outdated_ = true;
  size_t rank_ = 0;  // in the own zone
  base::Millis next_digest_at_{0};
  base::Millis confirmed_at_{-3'600'000};
  bool synced_with_peer_ = false;
  std::set<std::string> startup_requests_;  // paths asked of the first peer
  uint64_t bytes_sent_ = 0;
  uint64_t messages_sent_ = 0;
};

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_RELAY_H_
