#include "almondwind/teams/relay.h"

#include <xxhash.h>

#include <algorithm>
#include <msgpack.hpp>
#include <set>

#include "almondwind/base/outcome.h"

namespace almondwind::teams {
using base::Millis;

enum class ControlType : uint8_t { kDigest, kVersions, kValueRequest, kValues };

struct WireValue {
  std::string path;
  uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(path, version, text)
};

// One struct for all four types; fields that a type does not use stay empty and
// take a byte each.
struct ControlMessage {
  uint8_t type = 0;
  std::string from;               // control address for replies
  int64_t age_ms = 0;             // since the sender's view was confirmed
  std::vector<uint64_t> digest;   // of kDigest
  std::vector<uint8_t> buckets;   // of kVersions: those that differ
  std::vector<WireValue> values;  // texts only in kValues
  MSGPACK_DEFINE(type, from, age_ms, digest, buckets, values)
};

namespace {

std::string Pack(const ControlMessage& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

ControlMessage Unpack(std::string_view bytes) {
  try {
    msgpack::unpack_limit limit(100'000, 0, bytes.size(), bytes.size(), 0, 6);
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return handle.get().as<ControlMessage>();
  } catch (const std::exception& e) {
    throw base::Error(base::Reason::kMalformed, e.what());
  }
}

}  // namespace

Relay::Relay(RelayOptions options, Store& store, ControlChannel& control,
             uint64_t seed)
    : options_(std::move(options)),
      store_(store),
      control_(control),
      random_(seed) {}

void Relay::UpdateHosts(const std::string& path,
                        const std::vector<zones::HostEntry>& hosts) {
  std::vector<Peer>& list = hosts_by_path_[path];
  list.clear();
  for (const zones::HostEntry& host : hosts) {
    list.push_back({host.name, host.zone, host.control});
  }
  peers_outdated_ = true;
}

void Relay::ChoosePeers() {
  peers_outdated_ = false;
  struct Ranked {
    uint64_t hash;
    const Peer* peer;
  };
  XXH64_hash_t seed = XXH64(options_.host.data(), options_.host.size(), 1);
  std::vector<Ranked> zone;
  std::vector<Ranked> others;
  uint64_t own_order = XXH64(options_.host.data(), options_.host.size(), 2);
  rank_ = 0;
  for (const auto& [path, list] : hosts_by_path_) {
    for (const Peer& peer : list) {
      if (peer.name == options_.host) continue;
      uint64_t hash = XXH64(peer.name.data(), peer.name.size(), seed);
      bool same_zone = peer.zone == options_.zone;
      (same_zone ? zone : others).push_back({hash, &peer});
      uint64_t order = XXH64(peer.name.data(), peer.name.size(), 2);
      if (same_zone && order < own_order) ++rank_;
    }
  }
  auto by_hash = [](const Ranked& a, const Ranked& b) {
    return a.hash < b.hash;
  };
  auto take = [&](std::vector<Ranked>& from, size_t count) {
    count = std::min(count, from.size());
    std::partial_sort(from.begin(),
                      from.begin() + static_cast<ptrdiff_t>(count), from.end(),
                      by_hash);
    for (size_t i = 0; i < count; ++i) peers_.push_back(from[i].peer->control);
  };
  peers_.clear();
  take(zone, options_.zone_peers);
  take(others, options_.other_peers);
  for (const std::string& s : options_.seeds) {
    bool full = peers_.size() >= options_.zone_peers + options_.other_peers;
    bool known = std::count(peers_.begin(), peers_.end(), s) != 0;
    if (!full && !known && s != options_.control) peers_.push_back(s);
  }
}

std::string Relay::RandomPeer() {
  std::uniform_int_distribution<size_t> any(0, peers_.size() - 1);
  return peers_[any(random_)];
}

void Relay::Send(const std::string& address, const std::string& bytes) {
  bytes_sent_ += bytes.size();
  ++messages_sent_;
  control_.SendControl(address, bytes);
}

void Relay::SendDigest(const std::string& address, Millis now) {
  ControlMessage message = NewMessage(ControlType::kDigest, now);
  message.digest.assign(store_.digest().begin(), store_.digest().end());
  Send(address, Pack(message));
}

void Relay::SendValues(const std::string& address,
                       const std::vector<Value>& values, Millis now) {
  ControlMessage message = NewMessage(ControlType::kValues, now);
  size_t bytes = 0;
  for (const Value& value : values) {
    if (bytes > 0 && bytes + value.text.size() > options_.message_bytes) {
      Send(address, Pack(message));
      message.values.clear();
      bytes = 0;
    }
    message.values.push_back({value.path, value.version, value.text});
    bytes += value.text.size() + value.path.size();
  }
  Send(address, Pack(message));
}

void Relay::Push(const std::vector<Value>& values, Millis now) {
  if (values.empty() || peers_.empty()) return;
  std::set<std::string> targets;
  size_t wanted = std::min(options_.push_peers, peers_.size());
  while (targets.size() < wanted) targets.insert(RandomPeer());
  for (const std::string& target : targets) SendValues(target, values, now);
}

void Relay::Tick(Millis now) {
  if (peers_outdated_) ChoosePeers();
  if (now < next_digest_at_ || peers_.empty()) return;
  // Jitter keeps nodes that started together from sending in step.
  std::uniform_int_distribution<int64_t> jitter(0, 100);
  next_digest_at_ = now + options_.interval -
                    Millis(options_.interval.count() / 20) +
                    Millis(options_.interval.count() * jitter(random_) / 1000);
  SendDigest(RandomPeer(), now);
  if (peers_.size() > 1) SendDigest(RandomPeer(), now);
}

void Relay::Confirm(int64_t age_ms, Millis now) {
  confirmed_at_ = std::max(confirmed_at_, now - Millis(age_ms));
}

void Relay::OfferAndPush(const std::vector<Value>& values, Millis now) {
  std::vector<Value> accepted;
  for (const Value& value : values) {
    if (store_.Offer(value) == OfferResult::kAccepted)
      accepted.push_back(value);
  }
  if (peers_outdated_) ChoosePeers();
  Push(accepted, now);
}

void Relay::OnPlatform(const std::vector<Value>& values, Millis now) {
  confirmed_at_ = now;
  OfferAndPush(values, now);
}

void Relay::OnMessage(std::string_view bytes, Millis now) {
  ControlMessage in = Unpack(bytes);
  switch (static_cast<ControlType>(in.type)) {
    case ControlType::kDigest:
      return OnDigest(in, now);
    case ControlType::kVersions:
      return OnVersions(in, now);
    case ControlType::kValueRequest:
      return OnValueRequest(in, now);
    case ControlType::kValues:
      return OnValues(in, now);
  }
  throw base::Error(base::Reason::kMalformed,
                    "control message of unknown type");
}

ControlMessage Relay::NewMessage(ControlType type, Millis now) const {
  ControlMessage out;
  out.type = static_cast<uint8_t>(type);
  out.from = options_.control;
  out.age_ms = Age(now).count();
  return out;
}

void Relay::OnDigest(const ControlMessage& in, Millis now) {
  if (in.digest.size() != kBucketCount) {
    throw base::Error(base::Reason::kMalformed,
                      "digest has a wrong number of buckets");
  }
  ControlMessage out = NewMessage(ControlType::kVersions, now);
  for (size_t i = 0; i < kBucketCount; ++i) {
    if (in.digest[i] == store_.digest().at(i)) continue;
    out.buckets.push_back(static_cast<uint8_t>(i));
    for (Value& v : store_.Versions(i)) {
      out.values.push_back({std::move(v.path), v.version, ""});
    }
  }
  if (out.buckets.empty()) Confirm(in.age_ms, now);
  // Sent even if nothing differs, because a new node waits for it.
  Send(in.from, Pack(out));
}

void Relay::OnVersions(const ControlMessage& in, Millis now) {
  if (in.buckets.empty()) Confirm(in.age_ms, now);
  std::map<std::string, uint64_t> peer_versions;
  for (const WireValue& v : in.values) peer_versions[v.path] = v.version;
  ControlMessage out = NewMessage(ControlType::kValueRequest, now);
  for (const auto& [path, version] : peer_versions) {
    const Value* own = store_.Find(path);
    if (own == nullptr || own->version < version) {
      out.values.push_back({path, version, ""});
    }
  }
  if (!synced_with_peer_) {
    for (const WireValue& v : out.values) startup_requests_.insert(v.path);
    synced_with_peer_ = startup_requests_.empty();
  }
  if (!out.values.empty()) Send(in.from, Pack(out));
  std::vector<Value> newer = NewerThan(peer_versions, in.buckets);
  if (!newer.empty()) SendValues(in.from, newer, now);
}

std::vector<Value> Relay::NewerThan(
    const std::map<std::string, uint64_t>& peer_versions,
    const std::vector<uint8_t>& buckets) const {
  std::vector<Value> newer;
  for (uint8_t bucket : buckets) {
    if (bucket >= kBucketCount) continue;
    for (const Value& v : store_.Versions(bucket)) {
      auto it = peer_versions.find(v.path);
      bool behind = it == peer_versions.end() || it->second < v.version;
      if (behind) newer.push_back(*store_.Find(v.path));
    }
  }
  return newer;
}

void Relay::OnValueRequest(const ControlMessage& in, Millis now) {
  std::vector<Value> wanted;
  for (const WireValue& v : in.values) {
    if (const Value* own = store_.Find(v.path)) wanted.push_back(*own);
  }
  if (!wanted.empty()) SendValues(in.from, wanted, now);
}

void Relay::OnValues(const ControlMessage& in, Millis now) {
  std::vector<Value> values;
  for (const WireValue& v : in.values) {
    startup_requests_.erase(v.path);
    values.push_back({v.path, v.version, v.text});
  }
  OfferAndPush(values, now);
  synced_with_peer_ = synced_with_peer_ || startup_requests_.empty();
}

bool Relay::ShouldReadPlatform(Millis now) const {
  if (rank_ < options_.readers_per_zone) return true;
  Millis max_age = options_.stale_after +
                   std::min(options_.max_rank_delay,
                            options_.rank_delay * static_cast<int64_t>(rank_));
  return Age(now) > max_age;
}

}  // namespace almondwind::teams
