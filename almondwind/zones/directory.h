// The machines of the services that a node calls: a bounded subset of each.
//
// At 23,000 machines no node links to all. Of each service a node keeps at
// most `subset` machines: those of its own zone first, then of its region,
// then others, each group in the order of a hash of both names (rendezvous
// hashing, Thaler and Ravishankar, 1996), so that the subsets of many nodes
// spread evenly and change little when a machine comes or goes. Some places
// are kept for other zones, so that a node is not left alone with a sick one.
//
// Update costs a sort of the service's list; Find is one hash look-up.
// Not thread-safe; node::Node guards it.
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
  size_t subset = 12;      // machines kept of each service
  size_t other_zones = 4;  // of these, at most so many from other zones while
                           // the own zone has enough
  size_t max_extra = 64;   // machines outside the subsets, for contracts
};

class Directory {
 public:
  explicit Directory(DirectoryOptions options) : options_(std::move(options)) {}

  // Replaces the list of `service`. A machine that stays keeps its state,
  // unless its link address changed.
  void Update(const std::string& service, std::vector<HostEntry> hosts);

  // Returns the machines kept of `service`; empty if there are none.
  const std::vector<MachinePtr>& Find(const std::string& service) const;

  // Returns the kept machine called `host`, or null.
  Machine* FindHost(const std::string& host) const;

  // Returns the machine called `host` even if it is published but outside the
  // subset, as the host named in a contract may be. At most `max_extra` such
  // machines are kept beside the subsets; beyond that the answer is null.
  Machine* FindPublished(const std::string& host);

  // Number of machines kept in all.
  size_t size() const { return by_name_.size(); }
  // All machines kept, by name.
  const std::unordered_map<std::string, MachinePtr>& machines() const {
    return by_name_;
  }

 private:
  // Moves the hosts outside the subset to the end; returns the subset's size.
  size_t SelectSubset(std::vector<HostEntry>& hosts) const;

  DirectoryOptions options_;
  std::map<std::string, std::vector<MachinePtr>> services_;
  std::unordered_map<std::string, MachinePtr> by_name_;
  // Published hosts outside the subsets, and their names by service.
  std::unordered_map<std::string, HostEntry> outside_;
  std::map<std::string, std::vector<std::string>> outside_names_;
  std::unordered_map<std::string, MachinePtr> extra_;
};

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_DIRECTORY_H_
