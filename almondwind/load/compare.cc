#include "almondwind/load/compare.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <vector>

#include "almondwind/load/report.h"

namespace almondwind::load {

namespace fs = std::filesystem;
using nlohmann::json;

namespace {

constexpr double kWindowSeconds = 2;
constexpr double kRecoveryTolerance = 0.05;
constexpr double kWarmupSeconds = 1;  // not part of the baseline

struct WindowStats {
  double answered_share = 0;
  double p99_ms = 0;  // median over the buckets' 99th percentiles
};

WindowStats StatsAt(const json& series, size_t first, size_t count) {
  double offered = 0;
  double answered = 0;
  std::vector<double> p99;
  for (size_t i = first; i < std::min(first + count, series.size()); ++i) {
    offered += series[i].at("offered").get<double>();
    answered += series[i].at("answered").get<double>();
    p99.push_back(series[i].at("p99_ms"));
  }
  return {offered > 0 ? answered / offered : 0, QuantileOf(p99, 0.5)};
}

std::string FormatRange(std::vector<double> values, int digits) {
  std::sort(values.begin(), values.end());
  double median = values[values.size() / 2];
  return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", median, digits,
                     values.front(), digits, values.back(), digits);
}

using Runs = std::vector<json>;
using Variants = std::map<std::string, Runs>;

std::map<std::string, Variants> ReadRuns(const std::string& folder) {
  std::map<std::string, Variants> cases;
  for (const auto& file : fs::directory_iterator(folder)) {
    std::string name = file.path().filename().string();
    size_t first = name.find('.');
    size_t second = name.find('.', first + 1);
    size_t third = name.find('.', second + 1);
    bool is_run = third != std::string::npos && name.substr(third) == ".json";
    if (!is_run) continue;
    std::ifstream in(file.path());
    std::string variant = name.substr(first + 1, second - first - 1);
    cases[name.substr(0, first)][variant].push_back(json::parse(in));
  }
  return cases;
}

template <typename F>
std::vector<double> Collect(const Runs& runs, F value) {
  std::vector<double> out;
  for (const json& run : runs) out.push_back(value(run));
  return out;
}

double WastedPercent(const json& run) {
  double work = run.at("work_ms");
  return work > 0 ? 100 * run.at("wasted_ms").get<double>() / work : 0;
}

}  // namespace

double RecoverySeconds(const json& report) {
  const json& series = report.at("series");
  auto bucket = [](double second) {
    return static_cast<size_t>(std::llround(second / kBucketSeconds));
  };
  double from = report.at("strain_from_s");
  double to = report.at("strain_to_s");
  size_t window = bucket(kWindowSeconds);
  // The baseline is the worst window before the strain, so that noise of a
  // normal run does not delay recovery.
  WindowStats baseline{2, 0};
  for (size_t i = bucket(kWarmupSeconds); i + window <= bucket(from); ++i) {
    WindowStats stats = StatsAt(series, i, window);
    baseline.answered_share =
        std::min(baseline.answered_share, stats.answered_share);
    baseline.p99_ms = std::max(baseline.p99_ms, stats.p99_ms);
  }
  size_t end = bucket(to);
  for (size_t i = end; i + window <= series.size(); ++i) {
    WindowStats stats = StatsAt(series, i, window);
    bool recovered = stats.answered_share >=
                         (1 - kRecoveryTolerance) * baseline.answered_share &&
                     stats.p99_ms <= (1 + kRecoveryTolerance) * baseline.p99_ms;
    if (recovered) return static_cast<double>(i - end) * kBucketSeconds;
  }
  return -1;
}

int RunCompare(const std::string& folder) {
  std::cout << "| case | variant | goodput/s | share of the bottleneck | "
               "critical answered | wasted work % | refusal p99 ms | p99 ms | "
               "recovery s | callers' repeats | doubled |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|\n";
  json summary;
  for (const auto& [name, variants] : ReadRuns(folder)) {
    for (const auto& [variant, runs] : variants) {
      auto field = [&runs = runs](const char* key) {
        return Collect(
            runs, [key](const json& run) -> double { return run.at(key); });
      };
      std::vector<double> recovery = Collect(runs, RecoverySeconds);
      std::vector<double> wasted = Collect(runs, WastedPercent);
      std::cout << fmt::format(
          "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", name,
          variant, FormatRange(field("goodput_per_s"), 0),
          FormatRange(field("bottleneck_share"), 2),
          FormatRange(field("critical_share"), 3), FormatRange(wasted, 1),
          FormatRange(field("refusal_p99_ms"), 1),
          FormatRange(field("p99_ms"), 0), FormatRange(recovery, 1),
          FormatRange(field("client_repeats"), 0),
          FormatRange(field("doubled"), 0));
      summary[name][variant] = {{"goodput_per_s", field("goodput_per_s")},
                                {"bottleneck_share", field("bottleneck_share")},
                                {"critical_share", field("critical_share")},
                                {"wasted_percent", wasted},
                                {"recovery_s", recovery}};
    }
  }
  std::cout << "Median (least-most) of the runs; recovery -1.0: not within "
               "the run.\n";
  std::ofstream(fs::path(folder) / "summary.json") << summary.dump(1) << "\n";
  return 0;
}

}  // namespace almondwind::load
