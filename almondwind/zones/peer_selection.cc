#include "almondwind/zones/peer_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace almondwind::zones {

std::set<std::string> SelectPeers(
    const PeerSelectionOptions& options, std::set<std::string> called,
    const std::map<std::string, std::vector<std::string>>& by_zone) {
  std::set<std::string> selected = std::move(called);
  XXH64_hash_t seed = XXH64(options.address.data(), options.address.size(), 0);
  for (const auto& [zone, addresses] : by_zone) {
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (const std::string& address : addresses) {
      if (address == options.address) continue;
      ranked.emplace_back(XXH64(address.data(), address.size(), seed), address);
    }
    size_t limit =
        zone == options.zone ? options.own_zone : options.per_other_zone;
    size_t count = std::min(limit, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<ptrdiff_t>(count),
                      ranked.end());
    for (size_t i = 0; i < count; ++i) selected.insert(ranked[i].second);
  }
  selected.erase(options.address);
  return selected;
}

}  // namespace almondwind::zones
