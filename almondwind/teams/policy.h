// Policies of a team: the settings that its operators choose for its services.
//
// A team owns one subtree, /teams/NAME, published as one TOML document with
// one version. A document can declare only services of its own team, so no team
// can change the settings of another. It is accepted or refused as a whole.
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

// Settings of the requests that match `method` and `prefix`.
struct RoutePolicy {
  std::string name;
  std::string method = "GET";  // "*": any
  std::string prefix = "/";    // of the path below the service
  base::RequestClass cls = base::RequestClass::kNormal;
  bool order = false;       // runs at most once, under a contract
  bool idempotent = false;  // may be repeated after an unknown outcome
  base::Millis timeout{1000};
  std::string offers;  // service for which the answer carries a contract
};

struct RouterOptions {
  std::string picker = "least_wait";
  // Retry permits of one user request, over the whole call chain.
  uint32_t retries = 3;
  // Whether requests that would be refused downstream are refused at the entry.
  bool window = true;
  base::Millis zone_penalty{1};
  base::Millis region_penalty{30};
  // Retries at each hop without permits, as the users' services do today; for
  // comparison only.
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
  // Returns the route of that name, or null.
  const RoutePolicy* Find(std::string_view route) const;
};

struct TeamPolicy {
  std::map<std::string, ServicePolicy> services;
};

// Parses and validates the policy of `team`. Throws SettingsError.
TeamPolicy ParseTeamPolicy(const std::string& team, std::string_view text);

// Parses and validates the hosts of one service. Throws SettingsError.
std::vector<zones::HostEntry> ParseHosts(std::string_view text,
                                         const std::string& path);

// Returns the reference page of all policy settings, as Markdown.
std::string PolicyReference();

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_POLICY_H_
