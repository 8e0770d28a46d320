#include "almondwind/cli/commands.h"

#include <cpprest/http_client.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "almondwind/cli/explain.h"
#include "almondwind/cli/trace.h"
#include "almondwind/load/compare.h"
#include "almondwind/load/probe.h"
#include "almondwind/node/settings.h"
#include "almondwind/teams/policy.h"

namespace almondwind::cli {
namespace {

constexpr std::chrono::milliseconds kStatusTimeout{2000};

// Returns the response body of `page` from an operators' endpoint. Throws if
// the request fails or its status is not 200.
std::string Fetch(const std::string& address, const std::string& page) {
  web::http::client::http_client_config config;
  config.set_timeout(kStatusTimeout);
  web::http::client::http_client client("http://" + address, config);
  auto response = client.request(web::http::methods::GET, page).get();
  std::string body = response.extract_utf8string(true).get();
  if (response.status_code() != web::http::status_codes::OK) {
    throw std::runtime_error(address + page + ": " + body);
  }
  return body;
}

struct StatusOptions {
  std::string address;
  std::string nodes;
  bool ready = false;
  bool json = false;
};

std::vector<std::string> OperatorAddresses(const StatusOptions& options) {
  if (!options.address.empty()) return {options.address};
  std::vector<std::string> out;
  for (const auto& file : std::filesystem::directory_iterator(options.nodes)) {
    if (file.path().extension() != ".toml") continue;
    out.push_back(node::ReadSettingsFile(file.path().string()).operators);
  }
  return out;
}

void PrintStatus(const nlohmann::json& s) {
  std::cout << s.at("host").get<std::string>() << "  "
            << s.at("service").get<std::string>()
            << (s.at("ready").get<bool>() ? "  ready" : "  not ready")
            << (s.at("leaving").get<bool>() ? "  leaving" : "") << "\n  gate "
            << s.at("in_progress") << " of " << s.at("limit")
            << " in progress, contracts held " << s.at("contracts_held")
            << ", config confirmed " << s.at("config_age_ms")
            << " ms ago\n  queues " << s.at("queues") << "\n";
  for (const auto& peer : s.at("peers")) {
    std::cout << "  peer " << peer.dump() << "\n";
  }
}

int RunStatus(const StatusOptions& options) {
  for (const std::string& address : OperatorAddresses(options)) {
    if (options.ready) {
      Fetch(address, "/ready");
      continue;
    }
    std::string text = Fetch(address, "/status");
    nlohmann::json status = nlohmann::json::parse(text);
    if (options.json) {
      std::cout << text << "\n";
    } else if (status.contains("fleet_revision")) {
      std::cout << status.dump(2) << "\n";  // from a sidecar
    } else {
      PrintStatus(status);
    }
  }
  return 0;
}

void AddStatus(CLI::App& app, int& code) {
  auto options = std::make_shared<StatusOptions>();
  auto* status = app.add_subcommand("status", "print the state of nodes");
  auto* address = status->add_option("--address", options->address,
                                     "IP:PORT of an operators' endpoint");
  auto* nodes = status->add_option("--nodes", options->nodes,
                                   "folder of the nodes' settings");
  address->excludes(nodes);
  status->add_flag("--ready", options->ready,
                   "check only that all nodes are ready; exit 2 if not");
  status->add_flag("--json", options->json, "print the raw JSON");
  status->callback([options, &code] { code = RunStatus(*options); });
}

void AddCompare(CLI::App& app, int& code) {
  auto folder = std::make_shared<std::string>();
  auto* compare =
      app.add_subcommand("compare", "compare the runs of a benchmark");
  compare->add_option("--runs", *folder, "folder of the reports")->required();
  compare->callback([folder, &code] { code = load::RunCompare(*folder); });
}

void AddProbe(CLI::App& app, int& code) {
  auto options = std::make_shared<load::ProbeOptions>();
  auto* probe =
      app.add_subcommand("probe", "compare the latency of several paths");
  probe
      ->add_option("--way", options->targets,
                   "NAME=IP:PORT/PATH; the first is the baseline")
      ->required();
  probe->add_option("--requests", options->requests,
                    "requests on each path by each caller");
  probe->add_option("--callers", options->callers,
                    "concurrent callers; above 1, prints calls per second");
  probe->callback([options, &code] { code = load::RunProbe(*options); });
}

void AddCheck(CLI::App& app, int& code) {
  auto options = std::make_shared<CheckOptions>();
  auto* check = app.add_subcommand("check", "validate settings and policies");
  check->add_option("--settings", options->settings, "settings file");
  check->add_option("--policies", options->policies, "folder of TEAM.toml");
  check->add_option("--sidecar", options->sidecar,
                    "settings file of a sidecar");
  check->add_option("--deploy", options->deploy, "deploy file of the platform");
  check->add_flag("--json", options->json, "print one JSON object per finding");
  check->callback([options, &code] { code = RunCheck(*options); });
}

void AddExplain(CLI::App& app, int& code) {
  auto options = std::make_shared<ExplainOptions>();
  auto* explain =
      app.add_subcommand("explain", "show how a call would be treated");
  auto node = std::make_shared<std::string>();
  auto host = std::make_shared<std::string>();
  auto* policies = explain->add_option("--policies", options->policies,
                                       "folder of TEAM.toml");
  auto* address = explain->add_option(
      "--node", *node, "query the sidecar whose metrics endpoint is IP:PORT");
  explain->add_option("--host", *host,
                      "Host header of the request; needs --node");
  policies->excludes(address);
  explain->add_option("--method", options->method, "HTTP method");
  explain->add_option("--target", options->target, "/TEAM/SERVICE/PATH")
      ->required();
  explain->add_option("--status", options->status,
                      "file with the output of `status --json`");
  explain->add_flag("--json", options->json, "print one line");
  explain->callback([options, node, host, &code] {
    if (node->empty()) {
      if (options->policies.empty()) {
        throw CLI::RequiredError("--policies or --node");
      }
      code = RunExplain(*options);
      return;
    }
    using web::uri;
    std::string page = "/explain?host=" + uri::encode_data_string(*host) +
                       "&target=" + uri::encode_data_string(options->target);
    std::cout << nlohmann::json::parse(Fetch(*node, page)).dump(2) << "\n";
  });
}

void AddTrace(CLI::App& app, int& code) {
  auto options = std::make_shared<TraceOptions>();
  auto* trace =
      app.add_subcommand("trace", "show the log lines of one request");
  trace->add_option("id", options->id, "request id")->required();
  trace->add_option("files", options->files,
                    "log files (default: standard input)");
  trace->add_option(
      "--context-ms", options->context_ms,
      "show events of its nodes from this long before the request");
  trace->callback(
      [options, &code] { code = RunTrace(*options, std::cin, std::cout); });
}

void AddReference(CLI::App& app) {
  app.add_subcommand("reference", "print the settings reference")->callback([] {
    std::cout << "# Settings\n\nMade by `almondwind reference` from the "
                 "tables that the code checks against.\n\n"
                 "## Of a node (settings file)\n\n"
              << node::SettingsReference()
              << "\n## Of a team (/teams/NAME) and of hosts "
                 "(/hosts/TEAM/NAME)\n\n"
              << teams::PolicyReference();
  });
}

}  // namespace

void AddCommands(CLI::App& app, int& code) {
  AddStatus(app, code);
  AddCompare(app, code);
  AddProbe(app, code);
  AddCheck(app, code);
  AddExplain(app, code);
  AddTrace(app, code);
  AddReference(app);
}

}  // namespace almondwind::cli
