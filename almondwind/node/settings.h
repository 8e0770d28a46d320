// Settings of one process: its listen addresses, its upstream, and its resource
// limits. Team policies are not set here; they come from the platform.
//
//   Settings settings = ReadSettingsFile("node.toml");  // or SettingsError
#ifndef ALMONDWIND_NODE_SETTINGS_H_
#define ALMONDWIND_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondwind::node {

struct Settings {
  std::string host;
  std::string zone;
  std::string region;

  std::string callers = "127.0.0.1:7000";
  std::string links = "127.0.0.1:7001";
  std::string control = "127.0.0.1:7002";
  std::string operators = "127.0.0.1:7003";

  std::string service;   // "team/name"
  std::string upstream;  // "ip:port"
  int64_t slots = 1;
  int64_t connections = 16;
  std::string health;  // path of the health endpoint; empty: not polled

  std::string platform;  // "ip:port"
  std::vector<std::string> seeds;

  int64_t body_bytes = 4 << 20;
  int64_t answer_bytes = 4 << 20;
  int64_t caller_connections = 4096;
  int64_t calls = 20'000;
  int64_t contracts = 65'536;
  int64_t subset = 12;

  std::string log_level = "info";
  int64_t workers = 2;
  int64_t stop_linger_ms = 1000;
  int64_t stop_limit_ms = 30'000;
};

// Returns the validated settings. Throws teams::SettingsError.
Settings ParseSettings(std::string_view text, const std::string& file);
Settings ReadSettingsFile(const std::string& file);

// Returns the reference of all settings as Markdown.
std::string SettingsReference();

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_SETTINGS_H_
