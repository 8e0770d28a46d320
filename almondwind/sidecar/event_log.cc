#include "almondwind/sidecar/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>

namespace almondwind::sidecar {

EventLog::EventLog(const EventLogOptions& options, const base::Clock& clock)
    : options_(options), clock_(clock) {
  pool_ = std::make_shared<spdlog::details::thread_pool>(options.queue_lines,
                                                         size_t{1});
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  logger_ = std::make_shared<spdlog::async_logger>(
      "almondwind", sink, pool_, spdlog::async_overflow_policy::overrun_oldest);
  // The message is a JSON object without its opening brace.
  logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z",%v)");
  logger_->flush_on(spdlog::level::info);
}

EventLog::~EventLog() { logger_->flush(); }

EventLog::Budget& EventLog::BudgetNow(const std::string& event) {
  Budget& budget = budgets_[event];
  int64_t second = clock_.Now().count() / 1000;
  if (budget.second != second) {
    if (budget.dropped > 0) {
      Put("lines_dropped", {{"of", event}, {"count", budget.dropped}});
    }
    budget = {second, 0, 0};
  }
  return budget;
}

bool EventLog::Wants(const std::string& event) {
  Budget& budget = BudgetNow(event);
  if (budget.written < options_.lines_per_second) return true;
  ++budget.dropped;
  return false;
}

void EventLog::Write(const std::string& event, const nlohmann::json& fields) {
  if (!Wants(event)) return;
  ++budgets_[event].written;
  Put(event, fields);
}

void EventLog::Put(const std::string& event, const nlohmann::json& fields) {
  nlohmann::json line = {{"node", options_.node}, {"event", event}};
  line.update(fields);
  using Handler = nlohmann::json::error_handler_t;
  logger_->info(line.dump(-1, ' ', false, Handler::replace).substr(1));
}

}  // namespace almondwind::sidecar
