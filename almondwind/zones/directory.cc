#include "almondwind/zones/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace almondwind::zones {
namespace {

struct Ranked {
  int distance;  // 0: own zone; 1: own region; 2: elsewhere
  uint64_t hash;
  HostEntry entry;
};

bool Closer(const Ranked& a, const Ranked& b) {
  return std::tie(a.distance, a.hash) < std::tie(b.distance, b.hash);
}

}  // namespace

size_t Directory::SelectSubset(std::vector<HostEntry>& hosts) const {
  std::vector<Ranked> ranked;
  ranked.reserve(hosts.size());
  XXH64_hash_t seed = XXH64(options_.host.data(), options_.host.size(), 0);
  for (HostEntry& host : hosts) {
    int distance = host.zone == options_.zone       ? 0
                   : host.region == options_.region ? 1
                                                    : 2;
    uint64_t hash = XXH64(host.name.data(), host.name.size(), seed);
    // The node's own host needs no link, so it is ranked first in its zone and
    // always kept.
    if (host.name == options_.host) hash = 0;
    ranked.push_back({distance, hash, std::move(host)});
  }
  std::sort(ranked.begin(), ranked.end(), Closer);
  auto own = static_cast<size_t>(
      std::count_if(ranked.begin(), ranked.end(),
                    [](const Ranked& r) { return r.distance == 0; }));
  size_t others = ranked.size() - own;
  size_t keep_others = std::min(others, options_.other_zones);
  size_t keep_own = std::min(own, options_.subset - keep_others);
  keep_others = std::min(others, options_.subset - keep_own);
  std::rotate(ranked.begin() + static_cast<ptrdiff_t>(keep_own),
              ranked.begin() + static_cast<ptrdiff_t>(own),
              ranked.begin() + static_cast<ptrdiff_t>(own + keep_others));
  hosts.clear();
  for (Ranked& r : ranked) hosts.push_back(std::move(r.entry));
  return keep_own + keep_others;
}

void Directory::Update(const std::string& service,
                       std::vector<HostEntry> hosts) {
  std::vector<MachinePtr>& list = services_[service];
  std::vector<MachinePtr> old = std::move(list);
  list.clear();
  for (const MachinePtr& machine : old) by_name_.erase(machine->name());
  std::vector<std::string>& outside = outside_names_[service];
  for (const std::string& name : outside) outside_.erase(name);
  outside.clear();
  size_t kept = SelectSubset(hosts);
  for (size_t i = 0; i < hosts.size(); ++i) {
    const HostEntry& host = hosts[i];
    if (i >= kept) {
      outside_[host.name] = host;
      outside.push_back(host.name);
      continue;
    }
    MachinePtr machine;
    for (const MachinePtr& m : old) {
      if (m->name() == host.name && m->entry().link == host.link) machine = m;
    }
    if (machine == nullptr) {
      machine = new Machine(host);
    } else {
      machine->SetEntry(host);
    }
    list.push_back(machine);
    by_name_[host.name] = machine;
  }
}

const std::vector<MachinePtr>& Directory::Find(
    const std::string& service) const {
  static const std::vector<MachinePtr> kNone;
  auto it = services_.find(service);
  return it == services_.end() ? kNone : it->second;
}

Machine* Directory::FindHost(const std::string& host) const {
  auto it = by_name_.find(host);
  return it == by_name_.end() ? nullptr : it->second.get();
}

Machine* Directory::FindPublished(const std::string& host) {
  if (Machine* kept = FindHost(host)) return kept;
  auto outside = outside_.find(host);
  if (outside == outside_.end()) return nullptr;
  auto it = extra_.find(host);
  bool current =
      it != extra_.end() && it->second->entry().link == outside->second.link;
  if (current) return it->second.get();
  if (it == extra_.end() && extra_.size() >= options_.max_extra) return nullptr;
  MachinePtr& machine = extra_[host];
  machine = new Machine(outside->second);
  return machine.get();
}

}  // namespace almondwind::zones
