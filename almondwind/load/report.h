// Results of a load run: outcomes, latencies and goodput over time.
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

// The result of one user request over all retries of its caller.
struct RequestResult {
  double started_s = 0;
  double ended_s = 0;
  base::RequestClass cls = base::RequestClass::kNormal;
  base::Outcome outcome = base::Outcome::kUnknown;
  int repeats = 0;
  int bottleneck_ms = 0;
};

// The part of a run with a surge or a fault, and the capacity of the bottleneck
// during it.
struct Strain {
  double from_s = 0;
  double to_s = 0;
  double capacity_ms = 0;  // slot time that the bottleneck offers
  double factor = 1;       // slowdown of the bottleneck
};

class Report {
 public:
  Report(double seconds, const Strain& strain);

  void RecordOffered(double at_s);
  void RecordEnd(const RequestResult& result);
  // Counts an answer that is truncated or belongs to another request.
  void RecordBrokenAnswer() { ++broken_; }
  // Counts an attempt that ended without an answer or as unknown. A retry that
  // succeeds hides such attempts from the outcomes of user requests.
  void RecordLostAttempt() { ++lost_attempts_; }
  // Records the time from sending an attempt to its refusal.
  void RecordRefusal(double ms) { refusal_ms_.push_back(ms); }

  // Set after the run from what the stand-ins report.
  uint64_t doubled = 0;         // orders that ran more than once
  uint64_t untrue_not_run = 0;  // orders that ran, but were reported as not run
  double work_ms = 0;           // total work of the upstreams
  double wasted_ms = 0;         // part of it spent on attempts that failed

  bool passed() const {
    return doubled == 0 && broken_ == 0 && untrue_not_run == 0;
  }
  // Returns a line with the counts so far.
  std::string Progress(double at_s) const;
  nlohmann::json Json() const;
  // Returns a readable summary. Its last line starts with `label` and a colon.
  std::string Summary(const std::string& label) const;
  // Returns columns for gnuplot: second, offered/s, answered/s, p99 in ms.
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
  double strain_used_ms_ = 0;  // slot time of answered requests
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
