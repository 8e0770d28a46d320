#include "almondwind/load/mix.h"

#include <array>
#include <fstream>
#include <sstream>

#include "almondwind/teams/knob.h"

namespace almondwind::load {
namespace {

using teams::Knob;
using teams::KnobType;
using teams::SettingsError;
using Text = const std::string&;

constexpr std::array<Knob<Mix>, 8> kMixKnobs = {{
    {"rate", KnobType::kInteger, "requests/s", 1, 100'000, "", "100",
     "user requests per second",
     [](Mix& m, int64_t v) { m.rate = static_cast<double>(v); }, nullptr},
    {"seconds", KnobType::kInteger, "s", 1, 3600, "", "15", "duration",
     [](Mix& m, int64_t v) { m.seconds = static_cast<double>(v); }, nullptr},
    {"client_retries", KnobType::kInteger, "repeats", 0, 20, "", "3",
     "retries by a caller",
     [](Mix& m, int64_t v) { m.client_retries = static_cast<int>(v); },
     nullptr},
    {"client_pause_ms", KnobType::kInteger, "ms", 0, 60'000, "", "5",
     "pause before a retry",
     [](Mix& m, int64_t v) { m.client_pause_ms = static_cast<int>(v); },
     nullptr},
    {"strain_from_s", KnobType::kInteger, "s", 0, 3600, "", "0",
     "when the strain begins",
     [](Mix& m, int64_t v) { m.strain_from_s = static_cast<double>(v); },
     nullptr},
    {"strain_to_s", KnobType::kInteger, "s", 0, 3600, "", "0",
     "when the strain ends",
     [](Mix& m, int64_t v) { m.strain_to_s = static_cast<double>(v); },
     nullptr},
    {"bottleneck_slots", KnobType::kInteger, "slots", 0, 100'000, "", "0",
     "total slots of the bottleneck",
     [](Mix& m, int64_t v) { m.bottleneck_slots = static_cast<int>(v); },
     nullptr},
    {"bottleneck_factor", KnobType::kInteger, "", 1, 1000, "", "1",
     "slowdown of the bottleneck during the strain",
     [](Mix& m, int64_t v) { m.bottleneck_factor = static_cast<int>(v); },
     nullptr},
}};

constexpr std::array<Knob<RequestKind>, 8> kKindKnobs = {{
    {"bottleneck_ms", KnobType::kInteger, "ms", 0, 60'000, "", "0",
     "time that a request occupies a slot of the bottleneck",
     [](RequestKind& k, int64_t v) { k.bottleneck_ms = static_cast<int>(v); },
     nullptr},
    {"name", KnobType::kText, "", 0, 100, "", "", "name", nullptr,
     [](RequestKind& k, Text v) { k.name = v; }},
    {"weight", KnobType::kInteger, "", 0, 10'000, "", "1", "share of the mix",
     [](RequestKind& k, int64_t v) { k.weight = static_cast<double>(v); },
     nullptr},
    {"method", KnobType::kChoice, "", 0, 10, "GET|POST", "GET", "method",
     nullptr, [](RequestKind& k, Text v) { k.method = v; }},
    {"target", KnobType::kText, "", 0, 1000, "", "", "/TEAM/SERVICE/...",
     nullptr, [](RequestKind& k, Text v) { k.target = v; }},
    {"class", KnobType::kChoice, "", 0, 100, "critical|high|normal|background",
     "normal", "class", nullptr,
     [](RequestKind& k, Text v) {
       k.cls = *base::FromName<base::RequestClass>(base::kClassNames, v);
     }},
    {"order", KnobType::kBoolean, "", 0, 1, "", "false", "sent with a contract",
     [](RequestKind& k, int64_t v) { k.order = v != 0; }, nullptr},
    {"timeout_ms", KnobType::kInteger, "ms", 1, 600'000, "", "1000", "deadline",
     [](RequestKind& k, int64_t v) { k.timeout_ms = static_cast<int>(v); },
     nullptr},
}};

template <typename T>
void ForEachTable(const toml::table& document, std::string_view key, T use) {
  const toml::array* array = document[key].as_array();
  if (array == nullptr) return;
  for (const toml::node& item : *array) {
    if (item.is_table()) use(*item.as_table());
  }
}

}  // namespace

double Mix::RateAt(double second) const {
  double out = rate;
  for (const Surge& surge : surges) {
    bool on = second >= surge.at_s && second < surge.at_s + surge.for_s;
    if (on) out *= surge.factor;
  }
  return out;
}

Mix ReadMix(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw SettingsError(file, 0, "cannot read mix file",
                        "set --mix to a mix file");
  std::stringstream text;
  text << in.rdbuf();
  toml::table document = teams::ParseToml(text.str(), file);
  Mix mix;
  teams::ReadKnobs(kMixKnobs, document, file, mix,
                   {"requests", "surges", "faults"});
  ForEachTable(document, "requests", [&](const toml::table& table) {
    RequestKind kind;
    teams::ReadKnobs(kKindKnobs, table, "requests", kind);
    mix.kinds.push_back(kind);
  });
  ForEachTable(document, "surges", [&](const toml::table& table) {
    mix.surges.push_back({table["at_s"].value_or(0.0),
                          table["for_s"].value_or(0.0),
                          table["factor"].value_or(1.0)});
  });
  ForEachTable(document, "faults", [&](const toml::table& table) {
    mix.faults.push_back(
        {table["at_s"].value_or(0.0), table["target"].value_or(std::string())});
  });
  if (mix.kinds.empty()) {
    throw SettingsError(file, 1, "mix has no requests",
                        "add a [[requests]] table");
  }
  return mix;
}

}  // namespace almondwind::load
