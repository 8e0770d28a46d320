#include "almondwind/sidecar/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace almondwind::sidecar {
namespace {

// Upper bounds in ms. Latency objectives range from 150 ms to a few seconds.
const prometheus::Histogram::BucketBoundaries kEntryBuckets = {
    5, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000};
const prometheus::Histogram::BucketBoundaries kWaitBuckets = {
    1, 5, 10, 20, 50, 100, 200, 500};

prometheus::Family<prometheus::Counter>& Counters(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& MakeHistogram(
    prometheus::Registry& registry, const char* name, const char* help,
    const prometheus::Histogram::BucketBoundaries& buckets) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({}, buckets);
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      entries_(Counters(*registry_, "almondwind_entry_requests_total",
                        "Requests of this host that ended, by cause.")),
      gate_(Counters(*registry_, "almondwind_gate_runs_total",
                     "Requests at the gate that ended, by outcome.")),
      retries_(Counters(*registry_, "almondwind_repeats_total",
                        "Requests sent to one more upstream.")
                   .Add({})),
      entry_ms_(MakeHistogram(*registry_, "almondwind_entry_milliseconds",
                              "Time from a request's arrival to its answer.",
                              kEntryBuckets)),
      gate_wait_ms_(MakeHistogram(*registry_,
                                  "almondwind_gate_wait_milliseconds",
                                  "Time in the gate's queue.", kWaitBuckets)),
      gauges_(prometheus::BuildGauge()
                  .Name("almondwind_state")
                  .Help("What the node holds now.")
                  .Register(*registry_)) {}

Metrics::~Metrics() = default;

void Metrics::OnEntryEnd(bool inner, int status, const std::string& why,
                         base::Millis took) {
  std::string kind = inner ? "call" : "client";
  std::string cause =
      why == "answered" ? std::to_string(status / 100) + "xx" : why;
  prometheus::Counter*& series = entry_series_[{kind, cause}];
  if (series == nullptr) {
    series = &entries_.Add({{"kind", kind}, {"cause", cause}});
  }
  series->Increment();
  entry_ms_.Observe(static_cast<double>(took.count()));
}

void Metrics::OnRetry() { retries_.Increment(); }

void Metrics::OnGateEnd(base::Outcome outcome, base::Reason reason,
                        base::Millis waited) {
  std::string name(base::NameOf(base::kOutcomeNames, outcome));
  std::string cause(base::ReasonName(reason));
  prometheus::Counter*& series = gate_series_[{name, cause}];
  if (series == nullptr) {
    series = &gate_.Add({{"outcome", name}, {"reason", cause}});
  }
  series->Increment();
  gate_wait_ms_.Observe(static_cast<double>(waited.count()));
}

void Metrics::SetGauges(size_t in_progress, size_t limit, size_t peers,
                        uint64_t config_version) {
  auto set = [this](const char* what, double value) {
    gauges_.Add({{"of", what}}).Set(value);
  };
  set("runs_in_progress", static_cast<double>(in_progress));
  set("run_limit", static_cast<double>(limit));
  set("peers", static_cast<double>(peers));
  set("config_version", static_cast<double>(config_version));
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace almondwind::sidecar
