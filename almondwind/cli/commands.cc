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

#include "almondwind/load/compare.h"
#include "almondwind/node/settings.h"

namespace almondwind::cli {
namespace {

constexpr std::chrono::milliseconds kStatusTimeout{2000};

// Returns the body of a page of an operators' endpoint. Throws on a fault.
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

std::vector<std::string> Addresses(const StatusOptions& options) {
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
  for (const std::string& address : Addresses(options)) {
    if (options.ready) {
      Fetch(address, "/ready");
      continue;
    }
    std::string text = Fetch(address, "/status");
    if (options.json) {
      std::cout << text << "\n";
    } else {
      PrintStatus(nlohmann::json::parse(text));
    }
  }
  return 0;
}

void AddStatus(CLI::App& app, int& code) {
  auto options = std::make_shared<StatusOptions>();
  auto* status = app.add_subcommand("status", "ask nodes for their state");
  auto* address = status->add_option("--address", options->address,
                                     "IP:PORT of an operators' endpoint");
  auto* nodes = status->add_option("--nodes", options->nodes,
                                   "folder of the nodes' settings");
  address->excludes(nodes);
  status->add_flag("--ready", options->ready,
                   "only whether all are ready; exit 2 if not");
  status->add_flag("--json", options->json, "for scripts");
  status->callback([options, &code] { code = RunStatus(*options); });
}

void AddCompare(CLI::App& app, int& code) {
  auto folder = std::make_shared<std::string>();
  auto* compare = app.add_subcommand("compare", "table of a bench's runs");
  compare->add_option("--runs", *folder, "folder of the reports")->required();
  compare->callback([folder, &code] { code = load::RunCompare(*folder); });
}

}  // namespace

void AddCommands(CLI::App& app, int& code) {
  AddStatus(app, code);
  AddCompare(app, code);
}

}  // namespace almondwind::cli
