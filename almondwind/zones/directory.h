// The machines that a node may call: a bounded subset of the machines of each
// service.
//
// With 23,000 machines, a node cannot keep links to all of them. Of each
// service a node uses at most `subset` machines: first those of its own zone,
// then of its region, then others. Within each group, machines are ordered by a
// hash of both host names (rendezvous hashing; Thaler and Ravishankar, 1996),
// so that the subsets of many nodes spread evenly and change little when a
// machine is added or removed. Up to `other_zones` places are reserved for
// other zones, so that a node does not depend on a single zone that may fail.
//
// Cost: Update sorts the list of the service; Find takes one map lookup. Not
// thread-safe; callers must serialize access.
#ifndef ALMONDWIND_ZONES_DIRECTORY_H_
#define ALMONDWIND_ZONES_DIRECTORY_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondwind/zones/machine.h"

namespace almondwind::zones {

struct DirectoryOptions {
  std::string host;  // this node
  std::string zone;
  std::string region;
  // Maximum number of machines in the subset of each service.
  size_t subset = 12;
  // Number of these reserved for other zones. More are taken from other zones
  // only if this node's zone has too few machines.
  size_t other_zones = 4;
  // Maximum number of machines outside the subsets that FindPublished adds.
  size_t max_extra = 64;
};

class Directory {
 public:
  explicit Directory(DirectoryOptions options) : options_(std::move(options)) {}

  // Replaces the list of hosts of `service`. A machine that remains in the
  // subset keeps its state, unless its link address has changed.
  void Update(const std::string& service, std::vector<HostEntry> hosts);

  // Returns the subset of `service`; empty if the service is unknown.
  const std::vector<MachinePtr>& Find(const std::string& service) const;

  // Returns the machine called `host` if it is in a subset, or null.
  Machine* FindHost(const std::string& host) const;

  // Returns the machine called `host`, even if it is published but outside the
  // subset, as the host named in a contract may be. At most `max_extra`
  // machines are added outside the subsets; beyond that, returns null.
  Machine* FindPublished(const std::string& host);

  // Returns the number of machines in all subsets.
  size_t size() const { return by_name_.size(); }
  // Returns the machines of all subsets by name.
  const std::unordered_map<std::string, MachinePtr>& machines() const {
    return by_name_;
  }

 private:
  // Reorders `hosts` so that the subset comes first; returns the subset's size.
  size_t SelectSubset(std::vector<HostEntry>& hosts) const;

  DirectoryOptions options_;
  std::map<std::string, std::vector<MachinePtr>> services_;
  std::unordered_map<std::string, MachinePtr> by_name_;
  // Published hosts outside the subsets, and their names by service.
  std::unordered_map<std::string, HostEntry> outside_;
  std::map<std::string, std::vector<std::string>> outside_names_;
  // Machines outside the subsets that FindPublished has added.
  std::unordered_map<std::string, MachinePtr> extra_;
};

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_DIRECTORY_H_
