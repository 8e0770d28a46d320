// What a load run found: counts, latencies and goodput over time.
#ifndef ALMONDWIND_LOAD_REPORT_H_
#define ALMONDWIND_LOAD_REPORT_H_

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "almondwind/base/outcome.h"

namespace almondwind::load {

constexpr double kBucketSeconds = 0.1;

// The end of one user request, over all repeats of its caller.
struct RequestResult {
  double started_s = 0;
  double ended_s = 0;
  base::RequestClass cls = base::RequestClass::kNormal;
  base::Outcome outcome = base::Outcome::kUnknown;
  int repeats = 0;
  int bottleneck_ms = 0;
};

// What the report needs to know of a strain.
struct Strain {
  double from_s = 0;
  double to_s = 0;
  double capacity_ms = 0;  // slot time of the bottleneck while it lasts
  double factor = 1;
};

class Report {
 public:
  Report(double seconds, const Strain& strain);

  void RecordOffered(double at_s);
  void RecordEnd(const RequestResult& result);
  // An answer that was not the whole answer to its own request.
  void RecordBrokenAnswer() { ++broken_; }
  // A try of a caller that ended without an answer, or as unknown; the repeat
  // that follows may hide it from the counts of whole requests.
  void RecordLostAttempt() { ++lost_attempts_; }
  // Time from sending to a refusal, in milliseconds.
  void RecordRefusal(double ms) { refusal_ms_.push_back(ms); }

  // What the stand-ins tell after the run.
  uint64_t doubled = 0;         // orders that ran more than once
  uint64_t untrue_not_run = 0;  // told not run, but ran
  double work_ms = 0;           // upstream time in all
  double wasted_ms = 0;         // of it for attempts that were not answered

  bool passed() const {
    return doubled == 0 && broken_ == 0 && untrue_not_run == 0;
  }
  // Offered, ended and the last p99, for the line of progress.
  std::string Progress(double at_s) const;
  nlohmann::json Json() const;
  // Lines for people; the last one starts with `label` and a colon.
  std::string Summary(const std::string& label) const;
  // Columns for gnuplot: second, offered/s, answered/s, p99 in ms.
  std::string Series() const;

 private:
  struct Bucket {
    uint64_t offered = 0;
    uint64_t answered = 0;
    std::vector<double> latency_ms;
  };
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  Bucket& BucketAt(double second);
  double Quantile(double q) const;
  uint64_t Count(base::Outcome outcome) const;

  bool InStrain(double second) const;

  double seconds_;
  Strain strain_;
  double strain_used_ms_ = 0;  // slot time of the bottleneck, of answers
  uint64_t strain_critical_ = 0;
  uint64_t strain_critical_answered_ = 0;
  uint64_t offered_ = 0;
  uint64_t broken_ = 0;
  uint64_t repeats_ = 0;
  uint64_t lost_attempts_ = 0;
  std::array<std::array<uint64_t, 3>, base::kClassCount> outcomes_{};
  decltype(boost::histogram::make_histogram(Axis(400, 0.05, 60'000))) latency_;
  std::vector<Bucket> buckets_;
  std::vector<double> refusal_ms_;
};

// Returns the q-quantile of `values`, 0 if there are none.
double QuantileOf(std::vector<double> values, double q);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_REPORT_H_
