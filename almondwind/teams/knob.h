// Tables of settings. Each entry, a knob, is the one place that defines a
// setting's path, type, unit, range, default and description.
//
// The same table validates a TOML document, fills the options and prints the
// reference page, so that they cannot disagree:
//
//   ReadKnobs(kGateKnobs, table, "services.pricing.gate", options);
//
// An invalid document throws SettingsError, which names the line, the path, the
// fault and its remedy. For an unknown key the remedy names the nearest known
// key.
#ifndef ALMONDWIND_TEAMS_KNOB_H_
#define ALMONDWIND_TEAMS_KNOB_H_

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace almondwind::teams {

// An error in a settings or policy document.
class SettingsError : public std::runtime_error {
 public:
  SettingsError(const std::string& path, uint32_t line,
                const std::string& fault, const std::string& remedy);
  const std::string& path() const { return path_; }
  uint32_t line() const { return line_; }

 private:
  std::string path_;
  uint32_t line_;
};

enum class KnobType : uint8_t { kInteger, kBoolean, kText, kChoice };

template <typename Options>
struct Knob {
  std::string_view name;
  KnobType type;
  std::string_view unit;     // "ms", "requests", ... or ""
  int64_t min;               // of an integer
  int64_t max;               // of an integer; maximum bytes of a text
  std::string_view choices;  // allowed values of a choice, separated by "|"
  std::string_view default_text;  // default, as printed on the reference page
  std::string_view help;
  // Setters, of which exactly one is not null; set_integer also takes booleans.
  void (*set_integer)(Options&, int64_t);
  void (*set_text)(Options&, const std::string&);
};

// The part of a knob that does not depend on the type of the options.
struct KnobSpec {
  std::string_view name;
  KnobType type;
  std::string_view unit;
  int64_t min;
  int64_t max;
  std::string_view choices;
  std::string_view default_text;
  std::string_view help;
};

template <typename Options>
KnobSpec SpecOf(const Knob<Options>& k) {
  return {k.name, k.type,    k.unit,         k.min,
          k.max,  k.choices, k.default_text, k.help};
}

// Returns the validated value of an integer or boolean. Throws SettingsError.
int64_t CheckInteger(const KnobSpec& spec, const toml::node& node,
                     const std::string& path);
// Returns the validated value of a text or choice. Throws SettingsError.
std::string CheckText(const KnobSpec& spec, const toml::node& node,
                      const std::string& path);
// Throws SettingsError unless `key` is one of `known`.
void RefuseUnknown(std::string_view key, const std::vector<std::string>& known,
                   const toml::node& node, const std::string& path);
// Returns the table named `key`, or null if absent. Throws SettingsError if the
// value is not a table.
const toml::table* SubTable(const toml::table& table, std::string_view key,
                            const std::string& path);
// Parses a document. Throws SettingsError with the line of the error.
toml::table ParseToml(std::string_view text, const std::string& path);
// Returns the row of one setting in the Markdown table of the reference page.
std::string KnobRow(const KnobSpec& spec, const std::string& path);

// Sets `options` from those keys of `table` that `knobs` lists. Keys in
// `other_keys` are left to the caller; any other key throws SettingsError.
template <typename Options, size_t N>
void ReadKnobs(const std::array<Knob<Options>, N>& knobs,
               const toml::table& table, const std::string& path,
               Options& options, std::vector<std::string> other_keys = {}) {
  std::vector<std::string> known = std::move(other_keys);
  for (const auto& knob : knobs) known.emplace_back(knob.name);
  for (auto&& [key, node] : table) RefuseUnknown(key.str(), known, node, path);
  for (const auto& knob : knobs) {
    const toml::node* node = table.get(knob.name);
    if (node == nullptr) continue;
    std::string where = path + "." + std::string(knob.name);
    KnobSpec spec = SpecOf(knob);
    if (knob.set_integer != nullptr) {
      knob.set_integer(options, CheckInteger(spec, *node, where));
    } else {
      knob.set_text(options, CheckText(spec, *node, where));
    }
  }
}

// Returns the rows of all `knobs` for the reference page.
template <typename Options, size_t N>
std::string KnobRows(const std::array<Knob<Options>, N>& knobs,
                     const std::string& path) {
  std::string rows;
  for (const auto& knob : knobs) rows += KnobRow(SpecOf(knob), path);
  return rows;
}

}  // namespace almondwind::teams

#endif  // ALMONDWIND_TEAMS_KNOB_H_
