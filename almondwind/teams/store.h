// The configuration in force at one node: for each path, the newest accepted
// version.
//
// Values come from the platform and from peers, in any order and more than
// once. For each path the version only rises, so a configuration once in
// force here never gives way to an older one. A value that fails its check is
// refused whole; the last good one stays, and the bad one is not passed on.
//
// A digest (one hash per bucket of paths) lets two nodes find what differs
// without sending it. Cost: Offer is one map look-up and the check; the
// digest is kept up to date by each change.
//
// Bounds: Options::paths and Options::bytes; a value beyond them is refused.
// Not thread-safe; node::Node guards it.
#ifndef ALMONDWIND_TEAMS_STORE_H_
#define ALMONDWIND_TEAMS_STORE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "almondwind/base/names.h"

namespace almondwind::teams {

struct Value {
  std::string path;
  uint64_t version = 0;
  std::string text;
};

enum class OfferResult : uint8_t { kAccepted, kSame, kOlder, kRefused };
constexpr base::Names<4> kOfferNames = {"accepted", "same", "older", "refused"};

class StoreEvents {
 public:
  virtual ~StoreEvents() = default;
  // Checks `value` and puts it in force. Throws SettingsError to refuse it,
  // and then changes nothing.
  virtual void Apply(const Value& value) = 0;
  // `value` was refused; called once for each version.
  virtual void OnRefused(const Value& value, const std::string& fault) = 0;
};

struct StoreOptions {
  size_t paths = 8192;
  size_t bytes = 48u << 20;
  size_t value_bytes = 1u << 20;
};

constexpr size_t kBucketCount = 64;
using Digest = std::array<uint64_t, kBucketCount>;

class Store {
 public:
  Store(StoreOptions options, StoreEvents& events)
      : options_(options), events_(events) {}

  OfferResult Offer(const Value& value);

  // Returns the value in force at `path`, or null.
  const Value* Find(const std::string& path) const;
  // Returns the paths and versions (no texts) of `bucket`.
  std::vector<Value> Versions(size_t bucket) const;
  const Digest& digest() const { return digest_; }
  size_t size() const { return entries_.size(); }
  size_t bytes() const { return bytes_; }
  const std::map<std::string, Value>& entries() const { return entries_; }

  static size_t BucketOf(const std::string& path);

 private:
  bool Fits(const Value& value, size_t old_bytes) const;

  StoreOptions options_;
  StoreEvents& events_;
  std::map<std::string, Value> entries_;
  // Highest version refused, so that it is checked and reported once.
  std::map<std::string, uint64_t> refused_;
  Digest digest_{};
  size_t bytes_ = 0;
};

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_STORE_H_
