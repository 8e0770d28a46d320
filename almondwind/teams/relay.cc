#include "almondwind/teams/relay.h"

#include <xxhash.h>

#include <algorithm>
#include <msgpack.hpp>
#include <set>

#include "almondwind/base/outcome.h"

namespace almondwind::teams {
using base::Millis;

enum class ControlType : uint8_t { kSummary, kVersions, kWant, kValues };

struct WireValue {
  std::string path;
  uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(path, version, text)
};

// One shape for all four types; the fields that a type has no use for stay
// empty and cost a byte each.
struct ControlMessage {
  uint8_t type = 0;
  std::string from;               // control address to answer to
  int64_t age_ms = 0;             // since the sender's view was confirmed
  std::vector<uint64_t> digest;   // of a summary
  std::vector<uint8_t> buckets;   // that the versions are of
  std::vector<WireValue> values;  // texts empty but in kValues
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

Relay::Relay(RelayOptions options, Store& store, Control& control,
             uint64_t seed)
    : options_(std::move(options)),
      store_(store),
      control_(control),
      random_(seed) {}

void Relay::UpdateHosts(const std::string& path,
                        const std::vector<zones::HostEntry>& hosts) {
  std::vector<Peer>& list = published_[path];
  list.clear();
  for (const zones::HostEntry& host : hosts) {
    list.push_back({host.name, host.zone, host.control});
  }
  peers_due_ = true;
}

void Relay::ChoosePeers() {
  peers_due_ = false;
  struct Ranked {
    uint64_t hash;
    const Peer* peer;
  };
  XXH64_hash_t seed = XXH64(options_.host.data(), options_.host.size(), 1);
  std::vector<Ranked> zone;
  std::vector<Ranked> others;
  uint64_t own_place = XXH64(options_.host.data(), options_.host.size(), 2);
  rank_ = 0;
  for (const auto& [path, list] : published_) {
    for (const Peer& peer : list) {
      if (peer.name == options_.host) continue;
      uint64_t hash = XXH64(peer.name.data(), peer.name.size(), seed);
      bool near = peer.zone == options_.zone;
      (near ? zone : others).push_back({hash, &peer});
      uint64_t place = XXH64(peer.name.data(), peer.name.size(), 2);
      if (near && place < own_place) ++rank_;
    }
  }
  auto first = [](const Ranked& a, const Ranked& b) { return a.hash < b.hash; };
  auto take = [&](std::vector<Ranked>& from, size_t count) {
    count = std::min(count, from.size());
    std::partial_sort(from.begin(),
                      from.begin() + static_cast<ptrdiff_t>(count), from.end(),
                      first);
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

void Relay::SendSummary(const std::string& address, Millis now) {
  ControlMessage message = NewMessage(ControlType::kSummary, now);
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
  if (peers_due_) ChoosePeers();
  if (now < next_summary_ || peers_.empty()) return;
  // Jitter keeps nodes that started together apart.
  std::uniform_int_distribution<int64_t> jitter(0, 100);
  next_summary_ = now + options_.interval -
                  Millis(options_.interval.count() / 20) +
                  Millis(options_.interval.count() * jitter(random_) / 1000);
  SendSummary(RandomPeer(), now);
  if (peers_.size() > 1) SendSummary(RandomPeer(), now);
}

void Relay::Confirm(int64_t age_ms, Millis now) {
  confirmed_at_ = std::max(confirmed_at_, now - Millis(age_ms));
}

void Relay::OfferAll(const std::vector<Value>& values, Millis now) {
  std::vector<Value> accepted;
  for (const Value& value : values) {
    if (store_.Offer(value) == OfferResult::kAccepted)
      accepted.push_back(value);
  }
  if (peers_due_) ChoosePeers();
  Push(accepted, now);
}

void Relay::OnPlatform(const std::vector<Value>& values, Millis now) {
  confirmed_at_ = now;
  OfferAll(values, now);
}

void Relay::OnMessage(std::string_view bytes, Millis now) {
  ControlMessage in = Unpack(bytes);
  switch (static_cast<ControlType>(in.type)) {
    case ControlType::kSummary:
      return OnSummary(in, now);
    case ControlType::kVersions:
      return OnVersions(in, now);
    case ControlType::kWant:
      return OnWant(in, now);
    case ControlType::kValues:
      return OnValues(in, now);
  }
  throw base::Error(base::Reason::kMalformed, "control message of no type");
}

ControlMessage Relay::NewMessage(ControlType type, Millis now) const {
  ControlMessage out;
  out.type = static_cast<uint8_t>(type);
  out.from = options_.control;
  out.age_ms = Age(now).count();
  return out;
}

void Relay::OnSummary(const ControlMessage& in, Millis now) {
  if (in.digest.size() != kBuckets) {
    throw base::Error(base::Reason::kMalformed, "digest of another size");
  }
  ControlMessage out = NewMessage(ControlType::kVersions, now);
  for (size_t i = 0; i < kBuckets; ++i) {
    if (in.digest[i] == store_.digest().at(i)) continue;
    out.buckets.push_back(static_cast<uint8_t>(i));
    for (Value& v : store_.Versions(i)) {
      out.values.push_back({std::move(v.path), v.version, ""});
    }
  }
  if (out.buckets.empty()) Confirm(in.age_ms, now);
  // Sent even when nothing differs: a fresh node waits for it.
  Send(in.from, Pack(out));
}

void Relay::OnVersions(const ControlMessage& in, Millis now) {
  if (in.buckets.empty()) Confirm(in.age_ms, now);
  std::map<std::string, uint64_t> theirs;
  for (const WireValue& v : in.values) theirs[v.path] = v.version;
  ControlMessage out = NewMessage(ControlType::kWant, now);
  for (const auto& [path, version] : theirs) {
    const Value* mine = store_.Find(path);
    if (mine == nullptr || mine->version < version) {
      out.values.push_back({path, version, ""});
    }
  }
  if (!heard_peer_) {
    for (const WireValue& v : out.values) boot_wants_.insert(v.path);
    heard_peer_ = boot_wants_.empty();
  }
  if (!out.values.empty()) Send(in.from, Pack(out));
  std::vector<Value> newer = NewerThan(theirs, in.buckets);
  if (!newer.empty()) SendValues(in.from, newer, now);
}

std::vector<Value> Relay::NewerThan(
    const std::map<std::string, uint64_t>& theirs,
    const std::vector<uint8_t>& buckets) const {
  std::vector<Value> newer;
  for (uint8_t bucket : buckets) {
    if (bucket >= kBuckets) continue;
    for (const Value& v : store_.Versions(bucket)) {
      auto it = theirs.find(v.path);
      bool behind = it == theirs.end() || it->second < v.version;
      if (behind) newer.push_back(*store_.Find(v.path));
    }
  }
  return newer;
}

void Relay::OnWant(const ControlMessage& in, Millis now) {
  std::vector<Value> wanted;
  for (const WireValue& v : in.values) {
    if (const Value* mine = store_.Find(v.path)) wanted.push_back(*mine);
  }
  if (!wanted.empty()) SendValues(in.from, wanted, now);
}

void Relay::OnValues(const ControlMessage& in, Millis now) {
  std::vector<Value> values;
  for (const WireValue& v : in.values) {
    boot_wants_.erase(v.path);
    values.push_back({v.path, v.version, v.text});
  }
  OfferAll(values, now);
  heard_peer_ = heard_peer_ || boot_wants_.empty();
}

bool Relay::ShouldRead(Millis now) const {
  if (rank_ < options_.readers_per_zone) return true;
  Millis patience = options_.stale +
                    std::min(options_.max_patience,
                             options_.rank_step * static_cast<int64_t>(rank_));
  return Age(now) > patience;
}

}  // namespace almondwind::teams
