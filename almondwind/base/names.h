// Conversion between enum values and their names.
//
// Each enum whose values count up from zero is paired with an array of names:
//
//   constexpr Names<3> kOutcomeNames = {"answered", "not_run", "unknown"};
//   NameOf(kOutcomeNames, Outcome::kNotRun)      -> "not_run"
//   FromName<Outcome>(kOutcomeNames, "unknown")  -> Outcome::kUnknown
//
// Cost: NameOf is an array access, FromName a linear scan.
#ifndef ALMONDWIND_BASE_NAMES_H_
#define ALMONDWIND_BASE_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace almondwind::base {

template <size_t N>
using Names = std::array<std::string_view, N>;

// Returns the name of `value`, or "?" if the table has none.
template <typename Enum, size_t N>
constexpr std::string_view NameOf(const Names<N>& names, Enum value) {
  auto index = static_cast<size_t>(value);
  return index < N ? names[index] : "?";
}

// Returns the value whose name is `name`, or nullopt.
template <typename Enum, size_t N>
constexpr std::optional<Enum> FromName(const Names<N>& names,
                                       std::string_view name) {
  for (size_t i = 0; i < N; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

// Returns the names joined by ", ", for use in messages.
template <size_t N>
std::string JoinNames(const Names<N>& names) {
  std::string out;
  for (std::string_view name : names) {
    if (!out.empty()) out += ", ";
    out += name;
  }
  return out;
}

}  // namespace almondwind::base

#endif  // ALMONDWIND_BASE_NAMES_H_
