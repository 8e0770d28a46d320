#include "almondwind/cli/trace.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <stdexcept>

namespace almondwind::cli {
namespace {

using nlohmann::json;

struct Line {
  std::string time;
  int64_t ms = 0;
  json fields;
};

// Parses a time such as "2026-07-04T09:11:23.021+00:00" to milliseconds and
// ignores the UTC offset: results are only compared with each other. Returns 0
// if the text is not a time.
int64_t ParseTime(const std::string& text) {
  std::tm tm{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &tm);
  if (rest == nullptr) return 0;
  int ms = *rest == '.' ? std::atoi(rest + 1) : 0;
  return static_cast<int64_t>(timegm(&tm)) * 1000 + ms;
}

// Skips lines that hold no JSON log object. The object may follow a prefix,
// such as the timestamp of a log collector.
void ReadLines(std::istream& in, std::vector<Line>& lines) {
  for (std::string text; std::getline(in, text);) {
    size_t begin = text.find('{');
    if (begin == std::string::npos) continue;
    json fields = json::parse(text.substr(begin), nullptr, false);
    if (!fields.is_object() || !fields.contains("event")) continue;
    Line line;
    line.time = fields.value("time", "");
    line.ms = ParseTime(line.time);
    line.fields = std::move(fields);
    lines.push_back(std::move(line));
  }
}

bool IsContextEvent(const Line& line) {
  static const std::set<std::string> kEvents = {
      "admission", "config",     "fleet",   "peer_lost",
      "peer_up",   "store_lost", "started", "stop_begins"};
  return kEvents.count(line.fields.value("event", "")) != 0;
}

void PrintLine(const Line& line, bool context, std::ostream& out) {
  out << (context ? "  . " : "  ") << line.time.substr(11, 12) << "  "
      << line.fields.value("node", "?") << "  "
      << line.fields.value("event", "?");
  for (const auto& [name, value] : line.fields.items()) {
    if (name == "time" || name == "node" || name == "event") continue;
    out << "  " << name << "="
        << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  out << "\n";
}

}  // namespace

int RunTrace(const TraceOptions& options, std::istream& in, std::ostream& out) {
  std::vector<Line> lines;
  if (options.files.empty()) ReadLines(in, lines);
  for (const std::string& file : options.files) {
    std::ifstream stream(file);
    if (!stream) throw std::runtime_error("cannot read log file " + file);
    ReadLines(stream, lines);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Line& a, const Line& b) { return a.ms < b.ms; });
  std::set<std::string> nodes;
  int64_t first_ms = 0;
  int64_t last_ms = 0;
  for (const Line& line : lines) {
    if (line.fields.value("id", "") != options.id) continue;
    if (nodes.empty()) first_ms = line.ms;
    last_ms = line.ms;
    nodes.insert(line.fields.value("node", ""));
  }
  if (nodes.empty()) {
    out << "no line of request " << options.id
        << "; a node that exceeds its log budget drops lines and counts them "
           "(lines_dropped)\n";
    return 1;
  }
  for (const Line& line : lines) {
    if (line.fields.value("id", "") == options.id) {
      PrintLine(line, false, out);
      continue;
    }
    bool in_context_window =
        line.ms >= first_ms - options.context_ms && line.ms <= last_ms;
    bool on_path = nodes.count(line.fields.value("node", "")) != 0;
    if (in_context_window && on_path && IsContextEvent(line)) {
      PrintLine(line, true, out);
    }
  }
  return 0;
}

}  // namespace almondwind::cli
