#include "almondwind/node/settings.h"

#include <array>
#include <fstream>
#include <sstream>

#include "almondwind/teams/knob.h"

namespace almondwind::node {
namespace {

using teams::Knob;
using teams::KnobType;
using teams::SettingsError;

using Text = const std::string&;
constexpr int64_t kMaxTextBytes = 200;

constexpr std::array<Knob<Settings>, 3> kHost = {{
    {"name", KnobType::kText, "", 0, kMaxTextBytes, "", "",
     "name of the host, as in the list of hosts", nullptr,
     [](Settings& s, Text v) { s.host = v; }},
    {"zone", KnobType::kText, "", 0, kMaxTextBytes, "", "", "availability zone",
     nullptr, [](Settings& s, Text v) { s.zone = v; }},
    {"region", KnobType::kText, "", 0, kMaxTextBytes, "", "", "region", nullptr,
     [](Settings& s, Text v) { s.region = v; }},
}};

constexpr std::array<Knob<Settings>, 4> kListen = {{
    {"callers", KnobType::kText, "", 0, kMaxTextBytes, "", "127.0.0.1:7000",
     "IP:PORT for HTTP requests of callers", nullptr,
     [](Settings& s, Text v) { s.callers = v; }},
    {"links", KnobType::kText, "", 0, kMaxTextBytes, "", "127.0.0.1:7001",
     "IP:PORT for links from other nodes", nullptr,
     [](Settings& s, Text v) { s.links = v; }},
    {"control", KnobType::kText, "", 0, kMaxTextBytes, "", "127.0.0.1:7002",
     "IP:PORT for control messages", nullptr,
     [](Settings& s, Text v) { s.control = v; }},
    {"operators", KnobType::kText, "", 0, kMaxTextBytes, "", "127.0.0.1:7003",
     "IP:PORT of the operators' endpoint", nullptr,
     [](Settings& s, Text v) { s.operators = v; }},
}};

constexpr std::array<Knob<Settings>, 5> kUpstream = {{
    {"service", KnobType::kText, "", 0, kMaxTextBytes, "", "",
     "TEAM/NAME of the upstream", nullptr,
     [](Settings& s, Text v) { s.service = v; }},
    {"address", KnobType::kText, "", 0, kMaxTextBytes, "", "",
     "IP:PORT of the upstream", nullptr,
     [](Settings& s, Text v) { s.upstream = v; }},
    {"slots", KnobType::kInteger, "requests", 1, 100'000, "", "1",
     "requests that the upstream works on at once",
     [](Settings& s, int64_t v) { s.slots = v; }, nullptr},
    {"connections", KnobType::kInteger, "connections", 1, 100'000, "", "16",
     "connections that the upstream accepts",
     [](Settings& s, int64_t v) { s.connections = v; }, nullptr},
    {"health", KnobType::kText, "", 0, kMaxTextBytes, "", "",
     "path polled for draining, off the request path; empty: not polled",
     nullptr, [](Settings& s, Text v) { s.health = v; }},
}};

constexpr std::array<Knob<Settings>, 1> kPlatform = {{
    {"address", KnobType::kText, "", 0, kMaxTextBytes, "", "",
     "IP:PORT of the configuration service; empty: none", nullptr,
     [](Settings& s, Text v) { s.platform = v; }},
}};

constexpr std::array<Knob<Settings>, 6> kLimits = {{
    {"body_bytes", KnobType::kInteger, "bytes", 0, 64 << 20, "", "4194304",
     "largest body of a request",
     [](Settings& s, int64_t v) { s.body_bytes = v; }, nullptr},
    {"answer_bytes", KnobType::kInteger, "bytes", 0, 64 << 20, "", "4194304",
     "largest body of an answer",
     [](Settings& s, int64_t v) { s.answer_bytes = v; }, nullptr},
    {"caller_connections", KnobType::kInteger, "connections", 1, 100'000, "",
     "4096", "connections from callers",
     [](Settings& s, int64_t v) { s.caller_connections = v; }, nullptr},
    {"calls", KnobType::kInteger, "calls", 1, 1'000'000, "", "20000",
     "calls in progress, in the router and in the gate each",
     [](Settings& s, int64_t v) { s.calls = v; }, nullptr},
    {"contracts", KnobType::kInteger, "contracts", 1, 1'000'000, "", "65536",
     "contracts held", [](Settings& s, int64_t v) { s.contracts = v; },
     nullptr},
    {"subset", KnobType::kInteger, "machines", 1, 100, "", "12",
     "machines tracked per called service",
     [](Settings& s, int64_t v) { s.subset = v; }, nullptr},
}};

constexpr std::array<Knob<Settings>, 4> kProcess = {{
    {"log", KnobType::kChoice, "", 0, kMaxTextBytes, "info|warn|off", "info",
     "info: a line for each decision; warn: events only", nullptr,
     [](Settings& s, Text v) { s.log_level = v; }},
    {"workers", KnobType::kInteger, "threads", 1, 64, "", "2",
     "threads that handle requests",
     [](Settings& s, int64_t v) { s.workers = v; }, nullptr},
    {"stop_linger_ms", KnobType::kInteger, "ms", 0, 60'000, "", "1000",
     "during shutdown, time in which requests on callers' keep-alive "
     "connections are still answered",
     [](Settings& s, int64_t v) { s.stop_linger_ms = v; }, nullptr},
    {"stop_limit_ms", KnobType::kInteger, "ms", 0, 600'000, "", "30000",
     "during shutdown, longest wait for work in progress",
     [](Settings& s, int64_t v) { s.stop_limit_ms = v; }, nullptr},
}};

template <size_t N>
void ReadSection(const std::array<Knob<Settings>, N>& knobs,
                 const toml::table& document, const std::string& name,
                 Settings& settings, std::vector<std::string> other_keys = {}) {
  const toml::table* table = teams::SubTable(document, name, "settings");
  if (table == nullptr) return;
  teams::ReadKnobs(knobs, *table, name, settings, std::move(other_keys));
}

void ReadSeeds(const toml::table& document, Settings& settings) {
  const toml::node* node = document["platform"]["seeds"].node();
  if (node == nullptr) return;
  const toml::array* seeds = node->as_array();
  uint32_t line = node->source().begin.line;
  std::string remedy = "write seeds = [\"IP:PORT\", ...]";
  if (seeds == nullptr) {
    throw SettingsError("platform.seeds", line, "not an array", remedy);
  }
  for (const toml::node& seed : *seeds) {
    auto text = seed.value_exact<std::string>();
    if (!text)
      throw SettingsError("platform.seeds", line, "not a string", remedy);
    settings.seeds.push_back(*text);
  }
}

void CheckConsistency(const Settings& s) {
  if (s.host.empty() || s.host.find('/') != std::string::npos) {
    throw SettingsError("host.name", 1, "missing or contains a slash",
                        "write name = \"...\" under [host]");
  }
  if (s.service.empty() != s.upstream.empty()) {
    throw SettingsError("upstream", 1, "service or address is missing",
                        "write both under [upstream]");
  }
}

}  // namespace

Settings ParseSettings(std::string_view text, const std::string& file) {
  toml::table document = teams::ParseToml(text, file);
  std::vector<std::string> sections = {"host",     "listen", "upstream",
                                       "platform", "limits", "process"};
  for (auto&& [key, node] : document) {
    teams::RefuseUnknown(key.str(), sections, node, "settings");
  }
  Settings settings;
  ReadSection(kHost, document, "host", settings);
  ReadSection(kListen, document, "listen", settings);
  ReadSection(kUpstream, document, "upstream", settings);
  ReadSection(kPlatform, document, "platform", settings, {"seeds"});
  ReadSeeds(document, settings);
  ReadSection(kLimits, document, "limits", settings);
  ReadSection(kProcess, document, "process", settings);
  CheckConsistency(settings);
  return settings;
}

Settings ReadSettingsFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    throw SettingsError(file, 0, "cannot be read", "name a readable file");
  }
  std::stringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), file);
}

std::string SettingsReference() {
  return "| path | type | unit | range | default | meaning |\n"
         "|---|---|---|---|---|---|\n" +
         teams::KnobRows(kHost, "host") + teams::KnobRows(kListen, "listen") +
         teams::KnobRows(kUpstream, "upstream") +
         teams::KnobRows(kPlatform, "platform") +
         "| `platform.seeds` | array of texts |  |  |  | control addresses "
         "of the nodes to contact first |\n" +
         teams::KnobRows(kLimits, "limits") +
         teams::KnobRows(kProcess, "process");
}

}  // namespace almondwind::node
