// Log of a sidecar node: JSON lines on standard output, by spdlog.
//
// A line says what was decided or learned, with the inputs that decided it.
// Writing never waits: lines are collected, and one thread writes them out a
// few times a second. A wake-up and a system call for each line would cost more
// than the requests do. When the reader of standard output is slow, lines are
// dropped and counted.
//
// The volume is bounded: each kind of line has a budget a second, and what goes
// beyond it is counted in one line when the next second begins.
//
//   log.Write("refused", {{"id", id}, {"reason", "overload"}});
//
// Cost: one small JSON object a line; none for lines over the budget.
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
  // Of each kind; decisions beyond them are counted only.
  int lines_per_second = 30;
  // Of requests that went well: a sample.
  int sampled_per_second = 2;
  base::Millis flush{100};
  size_t backlog_bytes = 256u << 10;  // more is dropped
};

class EventLog {
 public:
  EventLog(const EventLogOptions& options, loop::Timers& timers);
  ~EventLog();

  // Whether a line of this kind would be written now. Callers ask first where
  // collecting the fields costs something.
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
