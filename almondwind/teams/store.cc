#include "almondwind/teams/store.h"

#include <xxhash.h>

#include <stdexcept>

namespace almondwind::teams {
namespace {

uint64_t HashOf(const Value& value) {
  return XXH64(value.path.data(), value.path.size(), value.version);
}

}  // namespace

size_t Store::BucketOf(const std::string& path) {
  return XXH64(path.data(), path.size(), 0) % kBucketCount;
}

bool Store::Fits(const Value& value, size_t old_bytes) const {
  if (value.text.size() > options_.value_bytes) return false;
  if (bytes_ - old_bytes + value.text.size() > options_.bytes) return false;
  return entries_.count(value.path) != 0 || entries_.size() < options_.paths;
}

OfferResult Store::Offer(const Value& value) {
  auto it = entries_.find(value.path);
  if (it != entries_.end()) {
    if (value.version == it->second.version) return OfferResult::kSame;
    if (value.version < it->second.version) return OfferResult::kOlder;
  }
  auto refused = refused_.find(value.path);
  if (refused != refused_.end() && value.version <= refused->second) {
    return OfferResult::kRefused;
  }
  try {
    size_t old_bytes = it == entries_.end() ? 0 : it->second.text.size();
    if (!Fits(value, old_bytes)) {
      throw std::runtime_error(
          "limit of paths or bytes exceeded; remedy: publish fewer or smaller "
          "values");
    }
    events_.Apply(value);
    bytes_ = bytes_ - old_bytes + value.text.size();
  } catch (const std::runtime_error& e) {
    // Bounds the map of refused versions like that of the entries.
    if (refused_.size() >= options_.paths) refused_.clear();
    refused_[value.path] = value.version;
    events_.OnRefused(value, e.what());
    return OfferResult::kRefused;
  }
  uint64_t& bucket = digest_.at(BucketOf(value.path));
  if (it != entries_.end()) bucket ^= HashOf(it->second);
  bucket ^= HashOf(value);
  entries_[value.path] = value;
  return OfferResult::kAccepted;
}

const Value* Store::Find(const std::string& path) const {
  auto it = entries_.find(path);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<Value> Store::Versions(size_t bucket) const {
  std::vector<Value> out;
  for (const auto& [path, value] : entries_) {
    if (BucketOf(path) == bucket) out.push_back({path, value.version, ""});
  }
  return out;
}

}  // namespace almondwind::teams
