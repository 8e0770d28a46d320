// Counters and latency histograms of a sidecar node, with prometheus-cpp.
//
// Label values come from fixed tables of names, so the number of series is
// bounded regardless of the requests received. Text() returns the Prometheus
// text format.
//
// Cost: an update is a map lookup and an atomic addition. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_METRICS_H_
#define ALMONDWIND_SIDECAR_METRICS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
}  // namespace prometheus

namespace almondwind::sidecar {

class Metrics {
 public:
  Metrics();
  ~Metrics();

  // A request of this host ended; `why` is "answered" or else the cause, such
  // as the name of a reason.
  void OnEntryEnd(bool inner, int status, const std::string& why,
                  base::Millis took);
  // A request is retried after it had reached an upstream.
  void OnRetry();
  // A request at the gate ended; it was queued for `waited`.
  void OnGateEnd(base::Outcome outcome, base::Reason reason,
                 base::Millis waited);
  void SetGauges(size_t in_progress, size_t limit, size_t peers,
                 uint64_t config_version);

  std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& entries_;
  prometheus::Family<prometheus::Counter>& gate_;
  prometheus::Counter& retries_;
  prometheus::Histogram& entry_ms_;
  prometheus::Histogram& gate_wait_ms_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  // Series by their label values; saves hashing the labels for each lookup in
  // the family.
  std::map<Key, prometheus::Counter*> entry_series_;
  std::map<Key, prometheus::Counter*> gate_series_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_METRICS_H_
