#include "almondwind/load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace almondwind::load {

using base::Outcome;

double QuantileOf(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  auto at = static_cast<size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(at),
                   values.end());
  return values[at];
}

Report::Report(double seconds, const Strain& strain)
    : seconds_(seconds),
      strain_(strain),
      latency_(boost::histogram::make_histogram(Axis(400, 0.05, 60'000))) {}

Report::Bucket& Report::BucketAt(double second) {
  auto index = static_cast<size_t>(std::max(0.0, second) / kBucketSeconds);
  if (buckets_.size() <= index) buckets_.resize(index + 1);
  return buckets_[index];
}

void Report::RecordOffered(double at_s) {
  ++offered_;
  ++BucketAt(at_s).offered;
}

void Report::RecordEnd(const RequestResult& result) {
  ++outcomes_.at(base::Index(result.cls))
        .at(static_cast<size_t>(result.outcome));
  repeats_ += static_cast<uint64_t>(result.repeats);
  bool answered = result.outcome == Outcome::kAnswered;
  if (InStrain(result.started_s) &&
      result.cls == base::RequestClass::kCritical) {
    ++strain_critical_;
    strain_critical_answered_ += answered ? 1 : 0;
  }
  if (answered && InStrain(result.ended_s)) {
    strain_used_ms_ += result.bottleneck_ms * strain_.factor;
  }
  if (!answered) return;
  double ms = (result.ended_s - result.started_s) * 1000;
  latency_(ms);
  Bucket& bucket = BucketAt(result.ended_s);
  ++bucket.answered;
  bucket.latency_ms.push_back(ms);
}

bool Report::InStrain(double second) const {
  return second >= strain_.from_s && second < strain_.to_s;
}

uint64_t Report::Count(Outcome outcome) const {
  uint64_t total = 0;
  for (const auto& row : outcomes_) {
    total += row.at(static_cast<size_t>(outcome));
  }
  return total;
}

double Report::Quantile(double q) const {
  double total = 0;
  for (auto&& cell : boost::histogram::indexed(latency_)) total += *cell;
  double seen = 0;
  for (auto&& cell : boost::histogram::indexed(latency_)) {
    seen += *cell;
    if (total > 0 && seen >= q * total) return cell.bin().upper();
  }
  return 0;
}

std::string Report::Progress(double at_s) const {
  return fmt::format(
      "{:5.1f} s  offered {}  answered {}  not run {}  unknown {}", at_s,
      offered_, Count(Outcome::kAnswered), Count(Outcome::kNotRun),
      Count(Outcome::kUnknown));
}

nlohmann::json Report::Json() const {
  nlohmann::json classes;
  for (size_t c = 0; c < base::kClassCount; ++c) {
    const auto& row = outcomes_.at(c);
    classes[std::string(base::kClassNames.at(c))] = {
        {"answered", row[0]}, {"not_run", row[1]}, {"unknown", row[2]}};
  }
  nlohmann::json series = nlohmann::json::array();
  for (const Bucket& bucket : buckets_) {
    series.push_back({{"offered", bucket.offered},
                      {"answered", bucket.answered},
                      {"p99_ms", QuantileOf(bucket.latency_ms, 0.99)}});
  }
  return {
      {"offered", offered_},
      {"answered", Count(Outcome::kAnswered)},
      {"not_run", Count(Outcome::kNotRun)},
      {"unknown", Count(Outcome::kUnknown)},
      {"doubled", doubled},
      {"broken", broken_},
      {"untrue_not_run", untrue_not_run},
      {"client_repeats", repeats_},
      {"lost_tries", lost_attempts_},
      {"goodput_per_s",
       static_cast<double>(Count(Outcome::kAnswered)) / seconds_},
      {"p50_ms", Quantile(0.5)},
      {"p99_ms", Quantile(0.99)},
      {"refusal_p50_ms", QuantileOf(refusal_ms_, 0.5)},
      {"refusal_p99_ms", QuantileOf(refusal_ms_, 0.99)},
      {"work_ms", work_ms},
      {"wasted_ms", wasted_ms},
      {"strain_from_s", strain_.from_s},
      {"strain_to_s", strain_.to_s},
      {"bottleneck_share",
       strain_.capacity_ms > 0 ? strain_used_ms_ / strain_.capacity_ms : 0.0},
      {"critical_share", strain_critical_ > 0
                             ? static_cast<double>(strain_critical_answered_) /
                                   static_cast<double>(strain_critical_)
                             : 1.0},
      {"classes", classes},
      {"bucket_s", kBucketSeconds},
      {"series", series}};
}

std::string Report::Summary(const std::string& label) const {
  std::string out;
  for (size_t c = 0; c < base::kClassCount; ++c) {
    const auto& row = outcomes_.at(c);
    out += fmt::format("{:<11} answered {:>7}  not run {:>7}  unknown {:>6}\n",
                       base::kClassNames.at(c), row[0], row[1], row[2]);
  }
  out += fmt::format(
      "latency p50 {:.1f} ms, p99 {:.1f} ms; refusal p50 {:.1f} "
      "ms, p99 {:.1f} ms\n",
      Quantile(0.5), Quantile(0.99), QuantileOf(refusal_ms_, 0.5),
      QuantileOf(refusal_ms_, 0.99));
  double wasted = work_ms > 0 ? 100 * wasted_ms / work_ms : 0;
  out += fmt::format(
      "goodput {:.1f} requests/s; wasted work {:.1f}%; callers' "
      "repeats {}; told not run but ran {}\n",
      static_cast<double>(Count(Outcome::kAnswered)) / seconds_, wasted,
      repeats_, untrue_not_run);
  out += fmt::format(
      "{}: offered={} answered={} not_run={} unknown={} doubled={} broken={}\n",
      label, offered_, Count(Outcome::kAnswered), Count(Outcome::kNotRun),
      Count(Outcome::kUnknown), doubled, broken_);
  return out;
}

std::string Report::Series() const {
  std::string out;
  for (size_t i = 0; i < buckets_.size(); ++i) {
    const Bucket& bucket = buckets_[i];
    out += fmt::format("{:.1f} {:.1f} {:.1f} {:.2f}\n",
                       static_cast<double>(i) * kBucketSeconds,
                       static_cast<double>(bucket.offered) / kBucketSeconds,
                       static_cast<double>(bucket.answered) / kBucketSeconds,
                       QuantileOf(bucket.latency_ms, 0.99));
  }
  return out;
}

}  // namespace almondwind::load
