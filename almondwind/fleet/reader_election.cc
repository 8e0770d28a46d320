#include "almondwind/fleet/reader_election.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace almondwind::fleet {

using base::Millis;

namespace {
uint64_t HashOf(const std::string& address) {
  return XXH64(address.data(), address.size(), 0);
}
}  // namespace

ReaderElection::ReaderElection(const ElectionOptions& options,
                               std::string address)
    : options_(options),
      address_(std::move(address)),
      hash_(HashOf(address_)) {}

void ReaderElection::SetPeer(const std::string& address, bool can_read) {
  peers_[address] = {HashOf(address), can_read};
}

void ReaderElection::RemovePeer(const std::string& address) {
  peers_.erase(address);
}

void ReaderElection::OnConfirmed(Millis at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

size_t ReaderElection::Rank(bool readable_only) const {
  size_t rank = 0;
  for (const auto& [address, peer] : peers_) {
    if (readable_only && !peer.can_read) continue;
    rank += std::tie(peer.hash, address) < std::tie(hash_, address_) ? 1 : 0;
  }
  return rank;
}

WatchMode ReaderElection::Mode(Millis now) const {
  // A node that cannot read the store keeps its place and goes on trying;
  // otherwise it would never learn that it can again.
  size_t rank = Rank(/*readable_only=*/true);
  if (rank == 0) return WatchMode::kShort;
  if (rank < options_.readers) return WatchMode::kLong;
  Millis limit = options_.confirmation_limit +
                 options_.stagger * static_cast<int64_t>(turn());
  return now - confirmed_at_ > limit ? WatchMode::kShort : WatchMode::kNone;
}

}  // namespace almondwind::fleet
