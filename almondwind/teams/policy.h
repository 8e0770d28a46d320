// Policies of a team: what its operators decide about its services.
//
// A team owns one subtree, /teams/NAME, published as one TOML document with
// one version. A document can only declare services below its own team, so
// no team can touch another's. It is accepted or refused whole.
//
//   TeamPolicy policy = ParseTeamPolicy("addis", text);  // or SettingsError
//   const RoutePolicy* route = policy.services["pricing"].Match("GET", "/x");
#ifndef ALMONDWIND_TEAMS_POLICY_H_
#define ALMONDWIND_TEAMS_POLICY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/machines/gate.h"
#include "almondwind/zones/machine.h"
#include "almondwind/zones/window.h"

namespace almondwind::teams {

// How requests of one kind are treated.
struct RoutePolicy {
  std::string name;
  std::string method = "GET";  // "*": any
  std::string prefix = "/";    // of the path below the service
  base::RequestClass cls = base::RequestClass::kNormal;
  bool order = false;       // runs at most once, under a contract
  bool idempotent = false;  // may be repeated after an unknown outcome
  base::Millis timeout{1000};
  std::string offers;  // service whose contract goes with the answer
};

struct RouterOptions {
  std::string picker = "least_wait";
  uint32_t retries = 3;  // permits of one user request, over the whole chain
  bool window = true;    // refuse at the entry what would be refused below
  base::Millis zone_penalty{1};
  base::Millis region_penalty{30};
  // Repeats at each hop without permits, as the users have today; only for
  // comparison.
  bool retry_each_hop = false;
  zones::EjectOptions eject;
  zones::WindowOptions entry_window;
};

struct ServicePolicy {
  machines::GateOptions gate;
  RouterOptions router;
  std::vector<RoutePolicy> routes;

  // Returns the first route for `method` and `path`, or null.
  const RoutePolicy* Match(std::string_view method,
                           std::string_view path) const;
  const RoutePolicy* Find(std::string_view route) const;
};

struct TeamPolicy {
  std::map<std::string, ServicePolicy> services;
};

// Returns the checked policy of `team`. Throws SettingsError.
TeamPolicy ParseTeamPolicy(const std::string& team, std::string_view text);

// Returns the checked list of hosts of one service. Throws SettingsError.
std::vector<zones::HostEntry> ParseHosts(std::string_view text,
                                         const std::string& path);

// Returns the reference of all policy settings as Markdown.
std::string PolicyReference();

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_POLICY_H_
