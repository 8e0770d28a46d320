#include "almondwind/crashes/history.h"

#include <algorithm>

namespace almondwind::crashes {

using base::Millis;

int History::CrashesOf(const Record& record, Millis now) const {
  int crashes = static_cast<int>(record.crashes.size());
  bool refusal_over = now >= record.newest() + options_.refusal;
  // After the refusal the next end refuses the request again.
  return refusal_over ? std::min(crashes, options_.crashes_until_refused - 1)
                      : crashes;
}

bool History::Expired(const Record& record, Millis now) const {
  bool refused =
      static_cast<int>(record.crashes.size()) >= options_.crashes_until_refused;
  Millis kept = options_.suspicion;
  if (refused) kept = kept + options_.refusal;
  return now >= record.newest() + kept;
}

void History::RemoveExpired(Millis now) {
  for (auto it = records_.begin(); it != records_.end();) {
    it = Expired(it->second, now) ? records_.erase(it) : std::next(it);
  }
}

Standing History::StandingOf(const std::string& request, Millis now) {
  Standing standing;
  auto it = records_.find(request);
  if (it == records_.end()) return standing;
  if (Expired(it->second, now)) {
    records_.erase(it);
    return standing;
  }
  standing.crashes = CrashesOf(it->second, now);
  if (standing.crashes >= options_.crashes_until_refused) {
    standing.refused_for = it->second.newest() + options_.refusal - now;
  }
  return standing;
}

std::vector<Report> History::OnUpstreamEnded(
    const std::string& upstream, const std::vector<std::string>& requests,
    Millis now) {
  RemoveExpired(now);
  std::map<std::string, int> crashes;
  int most = 0;
  for (const std::string& request : requests) {
    crashes[request] = StandingOf(request, now).crashes;
    most = std::max(most, crashes[request]);
  }
  std::vector<Report> reports;
  for (const auto& [request, count] : crashes) {
    if (count != most) continue;
    Report report{request, upstream, Millis(0)};
    if (Add(report, now)) reports.push_back(std::move(report));
  }
  return reports;
}

bool History::OnCompleted(const std::string& request) {
  return records_.erase(request) > 0;
}

bool History::Add(const Report& report, Millis now) {
  Millis at = now - report.age;
  auto it = records_.find(report.request);
  if (report.upstream.empty()) {
    if (it == records_.end() || it->second.newest() > at) return false;
    records_.erase(it);
    return true;
  }
  if (report.age >= options_.refusal + options_.suspicion) return false;
  if (it == records_.end()) {
    MakeRoom();
    it = records_.emplace(report.request, Record()).first;
  }
  std::vector<Crash>& crashes = it->second.crashes;
  for (const Crash& crash : crashes) {
    if (crash.upstream == report.upstream) return false;
  }
  // More than these make no difference, and the newest say how long to refuse.
  if (crashes.size() >= static_cast<size_t>(options_.crashes_until_refused)) {
    if (at <= crashes.front().at) return false;
    crashes.erase(crashes.begin());
  }
  crashes.push_back({report.upstream, at});
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash& a, const Crash& b) { return a.at < b.at; });
  return true;
}

void History::MakeRoom() {
  if (records_.size() < options_.max_requests) return;
  auto least = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        size_t a_size = a.second.crashes.size();
        size_t b_size = b.second.crashes.size();
        return a_size != b_size ? a_size < b_size
                                : a.second.newest() < b.second.newest();
      });
  records_.erase(least);
}

std::vector<Report> History::Reports(Millis now) {
  RemoveExpired(now);
  std::vector<Report> reports;
  for (const auto& [request, record] : records_) {
    for (const Crash& crash : record.crashes) {
      reports.push_back({request, crash.upstream, now - crash.at});
    }
  }
  return reports;
}

}  // namespace almondwind::crashes
