#include "almondwind/node/operators.h"

#include <cpprest/http_listener.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "almondwind/node/json_log.h"
#include "almondwind/node/node.h"

namespace almondwind::node {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using web::http::experimental::listener::http_listener;

class MetricsPage {
 public:
  // Starts a metric family, to which the following samples are added.
  void Family(std::string name, std::string help, MetricType type) {
    families_.push_back({std::move(name), std::move(help), type, {}});
  }

  void Sample(double value, std::vector<ClientMetric::Label> labels = {}) {
    ClientMetric metric;
    metric.label = std::move(labels);
    if (families_.back().type == MetricType::Counter) {
      metric.counter.value = value;
    } else {
      metric.gauge.value = value;
    }
    families_.back().metric.push_back(std::move(metric));
  }

  std::string Text() const {
    return prometheus::TextSerializer().Serialize(families_);
  }

 private:
  std::vector<MetricFamily> families_;
};

void AddOutcomes(MetricsPage& page, const NodeCounts& counts) {
  page.Family("almondwind_requests_total",
              "Entry requests by class and outcome.", MetricType::Counter);
  for (size_t c = 0; c < base::kClassCount; ++c) {
    for (size_t o = 0; o < base::kOutcomeNames.size(); ++o) {
      page.Sample(static_cast<double>(counts.outcomes.at(c).at(o)),
                  {{"class", std::string(base::kClassNames.at(c))},
                   {"outcome", std::string(base::kOutcomeNames.at(o))}});
    }
  }
  page.Family("almondwind_entry_refusals_total",
              "Requests refused at the entry, by reason.", MetricType::Counter);
  for (size_t r = 0; r < base::kReasonCount; ++r) {
    auto value = static_cast<double>(counts.refused_at_entry.at(r));
    auto name = base::ReasonName(static_cast<base::Reason>(r));
    if (value > 0) page.Sample(value, {{"reason", std::string(name)}});
  }
}

void AddGate(MetricsPage& page, const nlohmann::json& status) {
  page.Family("almondwind_gate_limit", "Limit on runs in progress.",
              MetricType::Gauge);
  page.Sample(status.at("limit"));
  page.Family("almondwind_gate_in_progress", "Runs in progress.",
              MetricType::Gauge);
  page.Sample(status.at("in_progress"));
  page.Family("almondwind_gate_queued", "Runs that wait, by class.",
              MetricType::Gauge);
  for (const auto& [cls, queue] : status.at("queues").items()) {
    page.Sample(queue.at("queued"), {{"class", cls}});
  }
  page.Family("almondwind_gate_wait_milliseconds",
              "Expected queue wait of a new run, by class.", MetricType::Gauge);
  for (const auto& [cls, queue] : status.at("queues").items()) {
    page.Sample(queue.at("wait_ms"), {{"class", cls}});
  }
  page.Family("almondwind_gate_refusals_total", "Refusals by reason.",
              MetricType::Counter);
  for (const auto& [reason, count] : status.at("refusals").items()) {
    page.Sample(count, {{"reason", reason}});
  }
}

void AddRouter(MetricsPage& page, const RouterCounts& counts) {
  page.Family("almondwind_attempts_total", "Calls sent to a gate.",
              MetricType::Counter);
  page.Sample(static_cast<double>(counts.attempts));
  page.Family("almondwind_retries_total", "Retry permits spent.",
              MetricType::Counter);
  page.Sample(static_cast<double>(counts.retries));
  page.Family("almondwind_late_answers_total",
              "Answers that no call waited for.", MetricType::Counter);
  page.Sample(static_cast<double>(counts.late_answers));
  page.Family("almondwind_lost_attempts_total",
              "Attempts without an answer, whose permits are lost.",
              MetricType::Counter);
  page.Sample(static_cast<double>(counts.lost_attempts));
}

void AddConfig(MetricsPage& page, const nlohmann::json& status) {
  page.Family("almondwind_config_version", "Version in force, by path.",
              MetricType::Gauge);
  for (const auto& [path, version] : status.at("config").items()) {
    page.Sample(version, {{"path", path}});
  }
  page.Family("almondwind_config_age_milliseconds",
              "Time since the platform confirmed the configuration.",
              MetricType::Gauge);
  page.Sample(status.at("config_age_ms"));
  page.Family("almondwind_control_sent_bytes_total", "Control messages sent.",
              MetricType::Counter);
  page.Sample(status.at("control_bytes_sent"));
  page.Family("almondwind_contracts_held", "Entries of the ledger.",
              MetricType::Gauge);
  page.Sample(status.at("contracts_held"));
}

std::string Metrics(const Node& node, const JsonLog& log) {
  MetricsPage page;
  nlohmann::json status = node.Status();
  AddOutcomes(page, node.counts());
  AddGate(page, status);
  AddRouter(page, node.router_counts());
  AddConfig(page, status);
  page.Family("almondwind_log_lines_dropped_total",
              "Log lines dropped because logging could not keep up.",
              MetricType::Counter);
  page.Sample(static_cast<double>(log.dropped()));
  return page.Text();
}

}  // namespace

class OperatorServer::Listener {
 public:
  Listener(const std::string& address, Node& node, const JsonLog& log)
      : listener_("http://" + address), node_(node), log_(log) {
    listener_.support(web::http::methods::GET,
                      [this](web::http::http_request r) { Handle(r); });
  }
  http_listener& listener() { return listener_; }

 private:
  void Handle(const web::http::http_request& request) {
    const std::string path = request.relative_uri().path();
    if (path == "/health") {
      request.reply(200, "ok\n", "text/plain");
    } else if (path == "/ready") {
      bool ready = node_.ready();
      request.reply(ready ? 200 : 503, ready ? "ready\n" : "not ready\n",
                    "text/plain");
    } else if (path == "/status") {
      request.reply(200, node_.Status().dump(), "application/json");
    } else if (path == "/metrics") {
      request.reply(200, Metrics(node_, log_), "text/plain; version=0.0.4");
    } else {
      request.reply(404, "use /health, /ready, /status or /metrics\n",
                    "text/plain");
    }
  }

  http_listener listener_;
  Node& node_;
  const JsonLog& log_;
};

OperatorServer::OperatorServer(std::string address, Node& node,
                               const JsonLog& log)
    : listener_(std::make_unique<Listener>(address, node, log)) {}

OperatorServer::~OperatorServer() = default;

void OperatorServer::Listen() { listener_->listener().open().wait(); }

void OperatorServer::Close() { listener_->listener().close().wait(); }

}  // namespace almondwind::node
