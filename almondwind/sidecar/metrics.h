// Counters and latency histograms of a sidecar node, by prometheus-cpp.
//
// Label values are names from tables, so the number of series is bounded
// whatever is asked of the node. Text() is the Prometheus text format.
//
// Cost: an update is a map look-up and an atomic addition. Not thread-safe.
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

  // A request of this host ended; `why` is a reason's name or "answered".
  void OnEntryEnd(bool inner, int status, const std::string& why,
                  base::Millis took);
  // A request was sent once more after it had reached an upstream.
  void OnRetry();
  // A run at the gate ended, after `waited` in its queue.
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
  // Series by their labels; looking one up in the family costs a hash of them.
  std::map<Key, prometheus::Counter*> entry_series_;
  std::map<Key, prometheus::Counter*> gate_series_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_METRICS_H_
