#include "almondwind/teams/knob.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace almondwind::teams {
namespace {

uint32_t LineOf(const toml::node& node) { return node.source().begin.line; }

// Levenshtein distance, computed one row at a time.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      size_t above = row[j];
      size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({above + 1, row[j - 1] + 1, substituted});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string NearestKey(std::string_view key,
                       const std::vector<std::string>& known) {
  auto closer = [&](const std::string& a, const std::string& b) {
    return EditDistance(key, a) < EditDistance(key, b);
  };
  auto it = std::min_element(known.begin(), known.end(), closer);
  return it == known.end() ? std::string() : *it;
}

bool IsChoice(std::string_view choices, std::string_view value) {
  while (!choices.empty()) {
    size_t bar = choices.find('|');
    if (choices.substr(0, bar) == value) return true;
    if (bar == std::string_view::npos) return false;
    choices.remove_prefix(bar + 1);
  }
  return false;
}

std::string_view TypeName(KnobType type) {
  switch (type) {
    case KnobType::kInteger:
      return "integer";
    case KnobType::kBoolean:
      return "boolean";
    case KnobType::kText:
      return "text";
    case KnobType::kChoice:
      return "choice";
  }
  return "?";
}

}  // namespace

SettingsError::SettingsError(const std::string& path, uint32_t line,
                             const std::string& fault,
                             const std::string& remedy)
    : std::runtime_error(fmt::format("line {}: {}: {}; remedy: {}", line, path,
                                     fault, remedy)),
      path_(path),
      line_(line) {}

int64_t CheckInteger(const KnobSpec& spec, const toml::node& node,
                     const std::string& path) {
  if (spec.type == KnobType::kBoolean) {
    std::optional<bool> value = node.value_exact<bool>();
    if (!value) {
      throw SettingsError(path, LineOf(node), "not a boolean",
                          "write true or false");
    }
    return *value ? 1 : 0;
  }
  std::optional<int64_t> value = node.value_exact<int64_t>();
  std::string range = fmt::format("write an integer from {} to {} {}", spec.min,
                                  spec.max, spec.unit);
  if (!value) throw SettingsError(path, LineOf(node), "not an integer", range);
  if (*value < spec.min || *value > spec.max) {
    throw SettingsError(path, LineOf(node),
                        fmt::format("{} is out of range", *value), range);
  }
  return *value;
}

std::string CheckText(const KnobSpec& spec, const toml::node& node,
                      const std::string& path) {
  std::optional<std::string> value = node.value_exact<std::string>();
  if (!value) {
    throw SettingsError(path, LineOf(node), "not a string",
                        "write a string in quotes");
  }
  if (spec.type == KnobType::kChoice && !IsChoice(spec.choices, *value)) {
    throw SettingsError(path, LineOf(node),
                        fmt::format("\"{}\" is not an allowed value", *value),
                        fmt::format("write one of {}", spec.choices));
  }
  if (static_cast<int64_t>(value->size()) > spec.max) {
    throw SettingsError(path, LineOf(node), "too long",
                        fmt::format("write at most {} bytes", spec.max));
  }
  return *value;
}

void RefuseUnknown(std::string_view key, const std::vector<std::string>& known,
                   const toml::node& node, const std::string& path) {
  if (std::find(known.begin(), known.end(), key) != known.end()) return;
  throw SettingsError(
      path + "." + std::string(key), LineOf(node), "unknown key",
      fmt::format("remove it, or write {}", NearestKey(key, known)));
}

const toml::table* SubTable(const toml::table& table, std::string_view key,
                            const std::string& path) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) {
    throw SettingsError(path + "." + std::string(key), LineOf(*node),
                        "not a table", "write it as [a.table]");
  }
  return node->as_table();
}

toml::table ParseToml(std::string_view text, const std::string& path) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    throw SettingsError(path, e.source().begin.line,
                        std::string(e.description()), "write valid TOML");
  }
}

std::string KnobRow(const KnobSpec& spec, const std::string& path) {
  std::string range;
  if (spec.type == KnobType::kInteger) {
    range = fmt::format("{} to {}", spec.min, spec.max);
  } else if (spec.type == KnobType::kChoice) {
    range = std::string(spec.choices);
    std::replace(range.begin(), range.end(), '|', ' ');
  }
  return fmt::format("| `{}.{}` | {} | {} | {} | {} | {} |\n", path, spec.name,
                     TypeName(spec.type), spec.unit, range, spec.default_text,
                     spec.help);
}

}  // namespace almondwind::teams
