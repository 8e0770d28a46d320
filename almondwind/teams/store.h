// The active configuration of one node: the newest accepted version of each
// path.
//
// Values come from the platform and from peers, in any order and possibly more
// than once. The version of a path only increases, so an active value is never
// replaced by an older one. A value that fails validation is refused as a
// whole: the last accepted one stays active, and the refused one is not
// forwarded to peers.
//
// A digest (one hash per bucket of paths) lets two nodes find where they differ
// without sending the configuration. Cost: Offer takes one map lookup and the
// validation; each change updates the digest.
//
// Bounds: StoreOptions::paths and StoreOptions::bytes in total and
// StoreOptions::value_bytes per value; a value beyond them is refused. Not
// thread-safe; guarded by node::Node.
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
  // Validates `value` and makes it active. Throws SettingsError to refuse it,
  // and then changes nothing.
  virtual void Apply(const Value& value) = 0;
  // Called once for each refused version.
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

  // Makes `value` active if it is valid and newer than the active one.
  OfferResult Offer(const Value& value);

  // Returns the active value of `path`, or null.
  const Value* Find(const std::string& path) const;
  // Returns the paths and versions of `bucket`, without texts.
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
  // Highest refused version of each path, so that it is validated and reported
  // only once.
  std::map<std::string, uint64_t> refused_;
  Digest digest_{};
  size_t bytes_ = 0;
};

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_STORE_H_
