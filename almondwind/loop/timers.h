// One-shot timers on an event loop.
//
// A Timers object arms a single operating-system timer for its earliest
// deadline, so that an idle process rarely wakes. The resolution is one
// millisecond. Callbacks run on the loop and may start and stop any timer. If
// one throws, the exception leaves io_context::run(), and the others still run
// after the next run().
//
//   Timer timer(timers);
//   timer.Start(base::Millis(250), [this] { OnTimeout(); });
//
// Cost: Start inserts into an ordered set, Stop removes from it. Not
// thread-safe.
#ifndef ALMONDWIND_LOOP_TIMERS_H_
#define ALMONDWIND_LOOP_TIMERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/set.hpp>
#include <functional>

#include "almondwind/base/clock.h"

namespace almondwind::loop {

class Timers;

// A timer with at most one pending callback. Its destructor cancels the
// callback.
class Timer : public boost::intrusive::set_base_hook<> {
 public:
  explicit Timer(Timers& timers) : timers_(timers) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { Stop(); }

  // Calls `callback` once after `delay`. Cancels a pending callback.
  void Start(base::Millis delay, std::function<void()> callback);
  void Stop();
  bool pending() const { return is_linked(); }
  base::Millis due() const { return due_; }

  friend bool operator<(const Timer& a, const Timer& b) {
    return a.due_ < b.due_;
  }

 private:
  friend class Timers;

  Timers& timers_;
  base::Millis due_{0};
  std::function<void()> callback_;
};

// The pending timers of one event loop, which share its operating-system timer.
class Timers {
 public:
  Timers(boost::asio::io_context& io, const base::Clock& clock)
      : clock_(clock), os_timer_(io) {}
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;
  ~Timers() { queue_.clear(); }

  base::Millis Now() const { return clock_.Now(); }
  const base::Clock& clock() const { return clock_; }

 private:
  friend class Timer;

  void Add(Timer& timer);
  void Remove(Timer& timer);
  void Arm();
  void RunDue();

  const base::Clock& clock_;
  boost::asio::steady_timer os_timer_;
  base::Millis armed_for_{0};  // zero: not armed
  boost::intrusive::multiset<Timer> queue_;
};

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_TIMERS_H_
