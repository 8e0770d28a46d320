#include "almondwind/teams/policy.h"

#include <fmt/format.h>

#include <array>

#include "almondwind/teams/knob.h"

namespace almondwind::teams {
namespace {

using base::Millis;
using machines::GateOptions;
using zones::HostEntry;

constexpr int64_t kMaxNameBytes = 100;
constexpr int64_t kMaxDurationMs = 600'000;

constexpr std::array<Knob<GateOptions>, 9> kGateKnobs = {{
    {"limiter", KnobType::kChoice, "", 0, kMaxNameBytes,
     "fixed|shed|throughput", "shed",
     "algorithm that sets the limit on runs in progress", nullptr,
     [](GateOptions& o, const std::string& v) { o.limiter = v; }},
    {"queue_critical_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "",
     "400", "longest queue wait of a critical request",
     [](GateOptions& o, int64_t v) { o.max_queue_wait[0] = Millis(v); },
     nullptr},
    {"queue_high_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "", "60",
     "longest queue wait of a high request",
     [](GateOptions& o, int64_t v) { o.max_queue_wait[1] = Millis(v); },
     nullptr},
    {"queue_normal_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "", "40",
     "longest queue wait of a normal request",
     [](GateOptions& o, int64_t v) { o.max_queue_wait[2] = Millis(v); },
     nullptr},
    {"queue_background_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "",
     "20", "longest queue wait of a background request",
     [](GateOptions& o, int64_t v) { o.max_queue_wait[3] = Millis(v); },
     nullptr},
    {"queue_entries", KnobType::kInteger, "requests", 1, 100'000, "", "4096",
     "maximum number of queued requests, per class",
     [](GateOptions& o, int64_t v) {
       o.queue_entries = static_cast<size_t>(v);
     },
     nullptr},
    {"ramp_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "", "2000",
     "time over which a cold upstream's limit rises to its full value",
     [](GateOptions& o, int64_t v) { o.ramp = Millis(v); }, nullptr},
    {"ramp_start_percent", KnobType::kInteger, "%", 1, 100, "", "20",
     "share of the limit that a cold upstream starts with",
     [](GateOptions& o, int64_t v) {
       o.ramp_start_percent = static_cast<int>(v);
     },
     nullptr},
    {"classes", KnobType::kBoolean, "", 0, 1, "", "true",
     "distinguish classes; if false, requests are refused in order of arrival",
     [](GateOptions& o, int64_t v) { o.separate_classes = v != 0; }, nullptr},
}};

constexpr std::array<Knob<RouterOptions>, 15> kRouterKnobs = {{
    {"picker", KnobType::kChoice, "", 0, kMaxNameBytes,
     "random|two_choices|least_wait", "least_wait",
     "how the host for a call is chosen", nullptr,
     [](RouterOptions& o, const std::string& v) { o.picker = v; }},
    {"retries", KnobType::kInteger, "retries", 0, 16, "", "3",
     "retries of one user request, over the whole chain below this entry",
     [](RouterOptions& o, int64_t v) { o.retries = static_cast<uint32_t>(v); },
     nullptr},
    {"window", KnobType::kBoolean, "", 0, 1, "", "true",
     "refuse at the entry what a service further down would refuse",
     [](RouterOptions& o, int64_t v) { o.window = v != 0; }, nullptr},
    {"window_start", KnobType::kInteger, "requests", 1, 4096, "", "64",
     "initial entry window of a route",
     [](RouterOptions& o, int64_t v) {
       o.entry_window.start = static_cast<double>(v);
     },
     nullptr},
    {"window_shrink_percent", KnobType::kInteger, "%", 1, 90, "", "10",
     "reduction of the entry window after a refusal further down",
     [](RouterOptions& o, int64_t v) {
       o.entry_window.shrink_percent = static_cast<int>(v);
     },
     nullptr},
    {"window_cut_interval_ms", KnobType::kInteger, "ms", 1, kMaxDurationMs, "",
     "20", "minimum time between two reductions of the entry window",
     [](RouterOptions& o, int64_t v) {
       o.entry_window.cut_interval = Millis(v);
     },
     nullptr},
    {"window_target_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "", "15",
     "queue wait in the chain that the entry window aims at; 0: only refusals "
     "reduce it",
     [](RouterOptions& o, int64_t v) { o.entry_window.target = Millis(v); },
     nullptr},
    {"zone_penalty_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "", "1",
     "latency added to the cost of a host in another zone",
     [](RouterOptions& o, int64_t v) { o.zone_penalty = Millis(v); }, nullptr},
    {"region_penalty_ms", KnobType::kInteger, "ms", 0, kMaxDurationMs, "", "30",
     "latency added to the cost of a host in another region",
     [](RouterOptions& o, int64_t v) { o.region_penalty = Millis(v); },
     nullptr},
    {"eject_failures", KnobType::kInteger, "calls", 1, 1000, "", "3",
     "consecutive calls without an answer after which a host is ejected",
     [](RouterOptions& o, int64_t v) {
       o.eject.failures = static_cast<int>(v);
     },
     nullptr},
    {"eject_base_ms", KnobType::kInteger, "ms", 1, kMaxDurationMs, "", "500",
     "first ejection time of a host; doubles with each ejection",
     [](RouterOptions& o, int64_t v) { o.eject.base = Millis(v); }, nullptr},
    {"eject_max_ms", KnobType::kInteger, "ms", 1, kMaxDurationMs, "", "10000",
     "longest ejection time of a host",
     [](RouterOptions& o, int64_t v) { o.eject.max = Millis(v); }, nullptr},
    {"silence_ms", KnobType::kInteger, "ms", 1, kMaxDurationMs, "", "250",
     "time without an answer after which a host gets no more calls",
     [](RouterOptions& o, int64_t v) { o.eject.silence = Millis(v); }, nullptr},
    {"window_max", KnobType::kInteger, "requests", 1, 100'000, "", "4096",
     "maximum entry window of a route",
     [](RouterOptions& o, int64_t v) {
       o.entry_window.max = static_cast<double>(v);
     },
     nullptr},
    {"retry_each_hop", KnobType::kBoolean, "", 0, 1, "", "false",
     "retry at each hop without permits; for comparison only",
     [](RouterOptions& o, int64_t v) { o.retry_each_hop = v != 0; }, nullptr},
}};

void SetClass(RoutePolicy& r, const std::string& v) {
  r.cls = *base::FromName<base::RequestClass>(base::kClassNames, v);
}

constexpr std::array<Knob<RoutePolicy>, 8> kRouteKnobs = {{
    {"name", KnobType::kText, "", 0, kMaxNameBytes, "", "", "name of the route",
     nullptr, [](RoutePolicy& r, const std::string& v) { r.name = v; }},
    {"method", KnobType::kChoice, "", 0, kMaxNameBytes, "GET|POST|PUT|DELETE|*",
     "GET", "HTTP method", nullptr,
     [](RoutePolicy& r, const std::string& v) { r.method = v; }},
    {"prefix", KnobType::kText, "", 0, 1000, "", "/",
     "prefix of the path below the service; the first match applies", nullptr,
     [](RoutePolicy& r, const std::string& v) { r.prefix = v; }},
    {"class", KnobType::kChoice, "", 0, kMaxNameBytes,
     "critical|high|normal|background", "normal",
     "importance; a lower class is refused first", nullptr, SetClass},
    {"order", KnobType::kBoolean, "", 0, 1, "", "false",
     "not idempotent: runs at most once, under a contract",
     [](RoutePolicy& r, int64_t v) { r.order = v != 0; }, nullptr},
    {"idempotent", KnobType::kBoolean, "", 0, 1, "", "false",
     "may be repeated after an unknown outcome",
     [](RoutePolicy& r, int64_t v) { r.idempotent = v != 0; }, nullptr},
    {"timeout_ms", KnobType::kInteger, "ms", 1, kMaxDurationMs, "", "1000",
     "deadline of a request that has none, and the longest allowed",
     [](RoutePolicy& r, int64_t v) { r.timeout = Millis(v); }, nullptr},
    {"offers", KnobType::kText, "", 0, kMaxNameBytes, "", "",
     "service (TEAM/NAME) for which the answer carries a contract", nullptr,
     [](RoutePolicy& r, const std::string& v) { r.offers = v; }},
}};

constexpr std::array<Knob<HostEntry>, 6> kHostKnobs = {{
    {"name", KnobType::kText, "", 0, kMaxNameBytes, "", "", "name of the host",
     nullptr, [](HostEntry& h, const std::string& v) { h.name = v; }},
    {"zone", KnobType::kText, "", 0, kMaxNameBytes, "", "",
     "availability zone of the host", nullptr,
     [](HostEntry& h, const std::string& v) { h.zone = v; }},
    {"region", KnobType::kText, "", 0, kMaxNameBytes, "", "",
     "region of the host", nullptr,
     [](HostEntry& h, const std::string& v) { h.region = v; }},
    {"link", KnobType::kText, "", 0, kMaxNameBytes, "", "",
     "IP:PORT at which its node accepts links", nullptr,
     [](HostEntry& h, const std::string& v) { h.link = v; }},
    {"control", KnobType::kText, "", 0, kMaxNameBytes, "", "",
     "IP:PORT at which its node receives control messages", nullptr,
     [](HostEntry& h, const std::string& v) { h.control = v; }},
    {"state", KnobType::kChoice, "", 0, kMaxNameBytes, "live|leaving", "live",
     "whether the host accepts new work", nullptr,
     [](HostEntry& h, const std::string& v) { h.leaving = v == "leaving"; }},
}};

// Reads the array of tables named `key` into one Options each.
template <typename Options, size_t N>
std::vector<Options> ReadArray(const std::array<Knob<Options>, N>& knobs,
                               const toml::table& table, std::string_view key,
                               const std::string& path) {
  std::vector<Options> out;
  const toml::node* node = table.get(key);
  if (node == nullptr) return out;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    throw SettingsError(path, node->source().begin.line, "not an array",
                        fmt::format("write [[{}]]", key));
  }
  for (const toml::node& item : *array) {
    std::string where = fmt::format("{}.{}[{}]", path, key, out.size());
    if (!item.is_table()) {
      throw SettingsError(where, item.source().begin.line, "not a table",
                          fmt::format("write [[{}]]", key));
    }
    Options options;
    ReadKnobs(knobs, *item.as_table(), where, options);
    out.push_back(std::move(options));
  }
  return out;
}

void CheckRoute(const RoutePolicy& route, const toml::table& table,
                const std::string& path) {
  uint32_t line = table.source().begin.line;
  if (route.name.empty()) {
    throw SettingsError(path, line, "a route has no name", "write name = ...");
  }
  if (route.order && route.idempotent) {
    throw SettingsError(path, line, "a route is both order and idempotent",
                        "keep one of the two");
  }
}

ServicePolicy ReadService(const toml::table& table, const std::string& path) {
  ServicePolicy service;
  for (auto&& [key, node] : table) {
    RefuseUnknown(key.str(), {"gate", "router", "routes"}, node, path);
  }
  if (const toml::table* gate = SubTable(table, "gate", path)) {
    ReadKnobs(kGateKnobs, *gate, path + ".gate", service.gate);
  }
  if (const toml::table* router = SubTable(table, "router", path)) {
    ReadKnobs(kRouterKnobs, *router, path + ".router", service.router);
  }
  service.routes = ReadArray(kRouteKnobs, table, "routes", path);
  for (const RoutePolicy& route : service.routes) {
    CheckRoute(route, table, path + ".routes");
  }
  return service;
}

}  // namespace

const RoutePolicy* ServicePolicy::Match(std::string_view method,
                                        std::string_view path) const {
  for (const RoutePolicy& route : routes) {
    bool method_fits = route.method == "*" || route.method == method;
    if (method_fits && path.substr(0, route.prefix.size()) == route.prefix) {
      return &route;
    }
  }
  return nullptr;
}

const RoutePolicy* ServicePolicy::Find(std::string_view route) const {
  for (const RoutePolicy& r : routes) {
    if (r.name == route) return &r;
  }
  return nullptr;
}

TeamPolicy ParseTeamPolicy(const std::string& team, std::string_view text) {
  std::string root = "/teams/" + team;
  toml::table document = ParseToml(text, root);
  for (auto&& [key, node] : document) {
    RefuseUnknown(key.str(), {"services"}, node, root);
  }
  TeamPolicy policy;
  const toml::table* services = SubTable(document, "services", root);
  if (services == nullptr) return policy;
  for (auto&& [key, node] : *services) {
    std::string name(key.str());
    std::string path = root + "/services/" + name;
    if (name.empty() || name.find('/') != std::string::npos) {
      throw SettingsError(path, node.source().begin.line,
                          "a service's name contains a slash or is empty",
                          "declare only services of your own team, by name");
    }
    const toml::table* table = SubTable(*services, name, root + "/services");
    policy.services[name] = ReadService(*table, path);
  }
  return policy;
}

std::vector<HostEntry> ParseHosts(std::string_view text,
                                  const std::string& path) {
  toml::table document = ParseToml(text, path);
  for (auto&& [key, node] : document) {
    RefuseUnknown(key.str(), {"hosts"}, node, path);
  }
  std::vector<HostEntry> hosts = ReadArray(kHostKnobs, document, "hosts", path);
  for (const HostEntry& host : hosts) {
    if (!host.name.empty() && !host.link.empty()) continue;
    throw SettingsError(path, document.source().begin.line,
                        "a host has no name or link",
                        "write name and link of each host");
  }
  return hosts;
}

std::string PolicyReference() {
  std::string page =
      "| path | type | unit | range | default | meaning |\n"
      "|---|---|---|---|---|---|\n";
  page += KnobRows(kGateKnobs, "services.NAME.gate");
  page += KnobRows(kRouterKnobs, "services.NAME.router");
  page += KnobRows(kRouteKnobs, "services.NAME.routes[]");
  page += KnobRows(kHostKnobs, "hosts[]");
  return page;
}

}  // namespace almondwind::teams
