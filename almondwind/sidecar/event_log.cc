#include "almondwind/sidecar/event_log.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace almondwind::sidecar {

// Collects formatted lines on the event loop's thread; a separate thread writes
// them out. The mutex guards only the buffer passed between the two, and no
// other lock is taken while it is held.
class EventLog::Writer
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Writer(size_t backlog_bytes)
      : backlog_bytes_(backlog_bytes), thread_([this] { Run(); }) {}
  ~Writer() override {
    HandOver();
    {
      std::lock_guard<std::mutex> lock(handover_);
      stop_ = true;
    }
    ready_.notify_one();
    thread_.join();
  }

  // Passes the collected lines to the writing thread. Returns how many lines
  // were dropped because too many bytes wait to be written.
  int HandOver() {
    int dropped = 0;
    {
      std::lock_guard<std::mutex> lock(handover_);
      if (waiting_.size() + collected_.size() > backlog_bytes_) {
        dropped = lines_;
      } else {
        waiting_ += collected_;
      }
    }
    collected_.clear();
    lines_ = 0;
    ready_.notify_one();
    return dropped;
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    collected_.append(line.data(), line.size());
    ++lines_;
  }
  void flush_() override {}

 private:
  void Run() {
    std::unique_lock<std::mutex> lock(handover_);
    for (;;) {
      ready_.wait(lock, [this] { return stop_ || !waiting_.empty(); });
      if (waiting_.empty()) return;
      std::string bytes = std::move(waiting_);
      waiting_.clear();
      lock.unlock();
      // A failed write to standard output cannot be reported anywhere.
      (void)std::fwrite(bytes.data(), 1, bytes.size(), stdout);
      (void)std::fflush(stdout);
      lock.lock();
    }
  }

  const size_t backlog_bytes_;
  std::string collected_;
  int lines_ = 0;
  std::mutex handover_;
  std::condition_variable ready_;
  std::string waiting_;
  bool stop_ = false;
  std::thread thread_;
};

EventLog::EventLog(const EventLogOptions& options, loop::Timers& timers)
    : options_(options),
      timers_(timers),
      writer_(std::make_shared<Writer>(options.backlog_bytes)),
      logger_(std::make_shared<spdlog::logger>("almondwind", writer_)),
      flush_(timers) {
  // The message is a JSON object whose opening brace is part of the pattern.
  logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z",%v)");
}

EventLog::~EventLog() = default;

int EventLog::LimitOf(const std::string& event) const {
  return event == "answered" ? options_.sampled_per_second
                             : options_.lines_per_second;
}

EventLog::Budget& EventLog::CurrentBudget(const std::string& event) {
  Budget& budget = budgets_[event];
  int64_t second = timers_.Now().count() / 1000;
  if (budget.second != second) {
    int dropped = budget.dropped;
    budget = {second, 0, 0};
    if (dropped > 0) Emit("lines_dropped", {{"of", event}, {"count", dropped}});
  }
  return budget;
}

bool EventLog::ShouldLog(const std::string& event) {
  Budget& budget = CurrentBudget(event);
  if (budget.written < LimitOf(event)) return true;
  ++budget.dropped;
  return false;
}

void EventLog::Write(const std::string& event, const nlohmann::json& fields) {
  if (!ShouldLog(event)) return;
  ++budgets_[event].written;
  Emit(event, fields);
}

void EventLog::Emit(const std::string& event, const nlohmann::json& fields) {
  nlohmann::json line = {{"node", options_.node}, {"event", event}};
  line.update(fields);
  using Handler = nlohmann::json::error_handler_t;
  logger_->info(line.dump(-1, ' ', false, Handler::replace).substr(1));
  if (!flush_.pending()) flush_.Start(options_.flush, [this] { Flush(); });
}

void EventLog::Flush() {
  int dropped = writer_->HandOver();
  if (dropped > 0) {
    Emit("lines_dropped", {{"of", "all"}, {"count", dropped}});
  }
}

}  // namespace almondwind::sidecar
