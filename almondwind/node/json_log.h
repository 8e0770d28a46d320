// Log of decisions and events as JSON lines on standard error, with spdlog.
//
// Logging never blocks the request path: lines go to a bounded queue that one
// thread writes out. When the queue is full, the oldest lines are dropped and
// counted.
#ifndef ALMONDWIND_NODE_JSON_LOG_H_
#define ALMONDWIND_NODE_JSON_LOG_H_

#include <memory>
#include <string>

#include "almondwind/node/shell.h"

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}  // namespace details
}  // namespace spdlog

namespace almondwind::node {

struct JsonLogOptions {
  std::string host;
  std::string level = "info";  // "info": each decision; "warn": events; "off"
  size_t queue_lines = 8192;
};

class JsonLog : public DecisionLog {
 public:
  explicit JsonLog(const JsonLogOptions& options);
  ~JsonLog() override;

  bool enabled() const override { return decisions_; }
  void Write(const Decision& decision) override;
  void Event(std::string_view what, const std::string& detail) override;

  size_t dropped() const;

 private:
  const std::string host_;
  bool decisions_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_JSON_LOG_H_
