#include "almondwind/cli/explain.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <vector>

#include "almondwind/node/settings.h"
#include "almondwind/teams/knob.h"
#include "almondwind/teams/policy.h"
#include "platform/deploy_file.h"
#include "platform/settings_file.h"

namespace almondwind::cli {

namespace fs = std::filesystem;
using nlohmann::json;
using teams::SettingsError;

namespace {

constexpr int kExitFault = 2;

std::string ReadFile(const fs::path& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

struct Finding {
  std::string file;
  uint32_t line = 0;
  std::string text;
  bool fault = true;
};

// Warns about services without routes and about routes that an earlier route
// of the same service always takes precedence over.
void WarnAboutUnused(const std::string& file, const std::string& team,
                     const teams::TeamPolicy& policy,
                     std::vector<Finding>& findings) {
  for (const auto& [name, service] : policy.services) {
    std::string path = "/teams/" + team + "/services/" + name;
    if (service.routes.empty()) {
      findings.push_back(
          {file, 0, path + " has no routes, so no call ever uses it", false});
    }
    for (size_t i = 0; i < service.routes.size(); ++i) {
      const teams::RoutePolicy& route = service.routes[i];
      const teams::RoutePolicy* first = service.Match(
          route.method == "*" ? "GET" : route.method, route.prefix);
      if (first != nullptr && first != &route) {
        findings.push_back({file, 0,
                            path + ".routes[" + std::to_string(i) + "] \"" +
                                route.name + "\" is never reached: \"" +
                                first->name + "\" comes before it",
                            false});
      }
    }
  }
}

std::map<std::string, teams::TeamPolicy> ReadPolicies(
    const std::string& folder, std::vector<Finding>& findings) {
  std::map<std::string, teams::TeamPolicy> policies;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() != ".toml") continue;
    std::string file = entry.path().string();
    std::string team = entry.path().stem().string();
    try {
      policies[team] = teams::ParseTeamPolicy(team, ReadFile(entry.path()));
      WarnAboutUnused(file, team, policies[team], findings);
    } catch (const SettingsError& e) {
      findings.push_back({file, e.line(), e.what(), true});
    }
  }
  return policies;
}

// Warns about routes that offer contracts of a service that no team declares.
void WarnAboutUnknownOffers(
    const std::map<std::string, teams::TeamPolicy>& policies,
    std::vector<Finding>& findings) {
  std::set<std::string> services;
  for (const auto& [team, policy] : policies) {
    for (const auto& [name, service] : policy.services) {
      services.insert(team + "/" + name);
    }
  }
  for (const auto& [team, policy] : policies) {
    for (const auto& [name, service] : policy.services) {
      for (const teams::RoutePolicy& route : service.routes) {
        bool known = route.offers.empty() || services.count(route.offers) != 0;
        if (known) continue;
        findings.push_back({team + ".toml", 0,
                            "route \"" + route.name +
                                "\" offers contracts of " + route.offers +
                                ", which no team declares",
                            false});
      }
    }
  }
}

json DescribeRoute(const teams::ServicePolicy& service,
                   const teams::RoutePolicy& route) {
  return {{"route", route.name},
          {"class", base::NameOf(base::kClassNames, route.cls)},
          {"order", route.order},
          {"idempotent", route.idempotent},
          {"timeout_ms", route.timeout.count()},
          {"retries", service.router.retries},
          {"picker", service.router.picker},
          {"entry_window", service.router.window},
          {"longest_queue_ms",
           service.gate.max_queue_wait.at(base::Index(route.cls)).count()}};
}

// Predicts from the status of an entry node whether that node would refuse the
// call and which machines are candidates for it.
json DescribePrediction(const json& status, const std::string& service,
                        const teams::RoutePolicy& route) {
  json prediction = {{"entry", status.at("host")}, {"machines", json::array()}};
  const json& windows = status.at("windows");
  auto window = windows.find(service + " " + route.name);
  if (window != windows.end()) {
    double size = window->at("size");
    int used = window->at("in_progress");
    bool critical = route.cls == base::RequestClass::kCritical;
    prediction["entry_window"] = {{"size", size}, {"in_progress", used}};
    prediction["refused_at_entry"] = !critical && used > 0 && used + 1 > size;
  }
  for (const auto& peer : status.at("peers")) {
    if (peer.at("service") != service) continue;
    std::string why = "may be chosen";
    if (peer.at("leaving").get<bool>()) why = "passed over: leaving";
    if (!peer.at("usable").get<bool>()) why = "passed over: ejected or silent";
    prediction["machines"].push_back({{"host", peer.at("host")},
                                      {"verdict", why},
                                      {"expected_ms", peer.at("expected_ms")}});
  }
  return prediction;
}

void CheckPlatformFiles(const CheckOptions& options,
                        std::vector<Finding>& findings) {
  if (!options.sidecar.empty()) {
    try {
      platform::ParseSettings(ReadFile(options.sidecar));
    } catch (const base::Error& e) {
      findings.push_back({options.sidecar, 0, e.what(), true});
    }
  }
  if (options.deploy.empty()) return;
  for (const std::string& what :
       platform::CheckDeployFile(ReadFile(options.deploy))) {
    findings.push_back({options.deploy, 0, what, true});
  }
}

}  // namespace

int RunCheck(const CheckOptions& options) {
  std::vector<Finding> findings;
  if (!options.settings.empty()) {
    try {
      node::ReadSettingsFile(options.settings);
    } catch (const SettingsError& e) {
      findings.push_back({options.settings, e.line(), e.what(), true});
    }
  }
  if (!options.policies.empty()) {
    auto policies = ReadPolicies(options.policies, findings);
    WarnAboutUnknownOffers(policies, findings);
  }
  CheckPlatformFiles(options, findings);
  bool fault = false;
  for (const Finding& finding : findings) {
    fault = fault || finding.fault;
    const char* kind = finding.fault ? "fault" : "warning";
    if (options.json) {
      std::cout << json({{"kind", kind},
                         {"file", finding.file},
                         {"line", finding.line},
                         {"text", finding.text}})
                       .dump()
                << "\n";
    } else {
      std::cout << kind << ": " << finding.file << ": " << finding.text << "\n";
    }
  }
  if (!fault && !options.json) std::cout << "ok\n";
  return fault ? kExitFault : 0;
}

int RunExplain(const ExplainOptions& options) {
  std::vector<Finding> findings;
  auto policies = ReadPolicies(options.policies, findings);
  size_t team_end = options.target.find('/', 1);
  size_t name_end = options.target.find('/', team_end + 1);
  std::string team = options.target.substr(1, team_end - 1);
  std::string name =
      options.target.substr(team_end + 1, name_end - team_end - 1);
  std::string path = name_end == std::string::npos
                         ? std::string("/")
                         : options.target.substr(name_end);
  auto found = policies.find(team);
  const teams::RoutePolicy* route = nullptr;
  const teams::ServicePolicy* service = nullptr;
  if (found != policies.end() && found->second.services.count(name) != 0) {
    service = &found->second.services.at(name);
    route = service->Match(options.method, path);
  }
  if (route == nullptr) {
    std::cout << "refused: unknown_service; remedy: "
              << base::ReasonRemedy(base::Reason::kUnknownService) << "\n";
    return kExitFault;
  }
  json out = DescribeRoute(*service, *route);
  if (!options.status.empty()) {
    json status = json::parse(ReadFile(options.status));
    out["fate"] = DescribePrediction(status, team + "/" + name, *route);
  }
  std::cout << out.dump(options.json ? -1 : 2) << "\n";
  return 0;
}

}  // namespace almondwind::cli
