// Log of a sidecar node: JSON lines on standard output, written with spdlog.
//
// Each line records a decision or an observed change together with its inputs.
// Write never blocks: lines are buffered, and a separate thread writes them to
// standard output a few times a second, because a wake-up and a system call per
// line would cost more than the requests themselves. If standard output is not
// read fast enough, lines are dropped and counted.
//
// The volume is bounded: each kind of event has a budget of lines per second.
// The number of lines dropped over it is logged in one line at the next event
// of that kind in a later second.
//
//   log.Write("refused", {{"id", id}, {"reason", "overload"}});
//
// Cost: one small JSON object per line written; lines over the budget build
// none if the caller asks ShouldLog first. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_EVENT_LOG_H_
#define ALMONDWIND_SIDECAR_EVENT_LOG_H_

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "almondwind/base/clock.h"
#include "almondwind/loop/timers.h"

namespace spdlog {
class logger;
}  // namespace spdlog

namespace almondwind::sidecar {

struct EventLogOptions {
  std::string node;
  // Budget of each kind of event; further lines are only counted.
  int lines_per_second = 30;
  // Budget of `answered` lines, of which a sample is enough.
  int sampled_per_second = 2;
  base::Millis flush{100};
  size_t backlog_bytes = 256u << 10;  // further lines are dropped
};

class EventLog {
 public:
  EventLog(const EventLogOptions& options, loop::Timers& timers);
  ~EventLog();

  // Returns whether a line of this kind is within its budget, and counts it as
  // dropped if not. Lets callers skip building expensive fields.
  bool ShouldLog(const std::string& event);
  void Write(const std::string& event, const nlohmann::json& fields);

 private:
  class Writer;
  struct Budget {
    int64_t second = 0;
    int written = 0;
    int dropped = 0;
  };

  Budget& CurrentBudget(const std::string& event);
  int LimitOf(const std::string& event) const;
  void Emit(const std::string& event, const nlohmann::json& fields);
  void Flush();

  const EventLogOptions options_;
  loop::Timers& timers_;
  std::map<std::string, Budget> budgets_;
  std::shared_ptr<Writer> writer_;
  std::shared_ptr<spdlog::logger> logger_;
  loop::Timer flush_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_EVENT_LOG_H_
