#include "almondwind/node/json_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>

namespace almondwind::node {
namespace {

std::string Dump(const nlohmann::json& line) {
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

JsonLog::JsonLog(const JsonLogOptions& options)
    : host_(options.host), decisions_(options.level == "info") {
  pool_ = std::make_shared<spdlog::details::thread_pool>(options.queue_lines,
                                                         size_t{1});
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  logger_ = std::make_shared<spdlog::async_logger>(
      "almondwind", sink, pool_, spdlog::async_overflow_policy::overrun_oldest);
  // The message is a JSON object without its opening brace; the pattern adds
  // the brace, the time and the level in front of its fields.
  logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)");
  logger_->set_level(spdlog::level::from_str(options.level));
}

JsonLog::~JsonLog() { logger_->flush(); }

void JsonLog::Write(const Decision& decision) {
  nlohmann::json line = {{"host", host_}, {"event", decision.what}};
  if (decision.request != nullptr) {
    line["request_id"] = decision.request->id;
    line["service"] = decision.request->service;
    line["route"] = decision.request->route;
    line["class"] = base::NameOf(base::kClassNames, decision.request->cls);
  }
  if (!decision.host.empty()) line["chosen"] = decision.host;
  if (decision.reason != base::Reason::kNone) {
    line["reason"] = base::ReasonName(decision.reason);
  }
  line["permits"] = decision.permits;
  for (const PassedOver& passed : decision.passed_over) {
    line["passed_over"].push_back({{"host", passed.host}, {"why", passed.why}});
  }
  logger_->info(Dump(line).substr(1));
}

void JsonLog::Event(std::string_view what, const std::string& detail) {
  nlohmann::json line = {{"host", host_}, {"event", what}, {"detail", detail}};
  logger_->warn(Dump(line).substr(1));
}

size_t JsonLog::dropped() const { return pool_->overrun_counter(); }

}  // namespace almondwind::node
