// Log of a sidecar node: JSON lines on standard output, by spdlog.
//
// A line says what was decided or learned, with the inputs that decided it.
// Writing never waits: lines go to a bounded queue that one thread writes out.
// The volume is bounded too: each kind of line has a budget a second, and what
// goes beyond it is counted in one line when the next second begins.
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

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}  // namespace details
}  // namespace spdlog

namespace almondwind::sidecar {

struct EventLogOptions {
  std::string node;
  int lines_per_second = 3;   // of each kind
  size_t queue_lines = 2048;  // the oldest are dropped beyond this
};

class EventLog {
 public:
  EventLog(const EventLogOptions& options, const base::Clock& clock);
  ~EventLog();

  // Whether a line of this kind would be written now. Callers ask first where
  // collecting the fields costs something.
  bool Wants(const std::string& event);
  void Write(const std::string& event, const nlohmann::json& fields);

 private:
  struct Budget {
    int64_t second = 0;
    int written = 0;
    int dropped = 0;
  };

  Budget& BudgetNow(const std::string& event);
  void Put(const std::string& event, const nlohmann::json& fields);

  const EventLogOptions options_;
  const base::Clock& clock_;
  std::map<std::string, Budget> budgets_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_EVENT_LOG_H_
