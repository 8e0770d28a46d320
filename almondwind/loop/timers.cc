#include "almondwind/loop/timers.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace almondwind::loop {

using base::Millis;

void Timer::Start(Millis delay, std::function<void()> callback) {
  Stop();
  callback_ = std::move(callback);
  due_ = timers_.Now() + delay;
  timers_.Add(*this);
}

void Timer::Stop() {
  if (is_linked()) timers_.Remove(*this);
  callback_ = nullptr;
}

void Timers::Add(Timer& timer) {
  queue_.insert(timer);
  Arm();
}

void Timers::Remove(Timer& timer) { queue_.erase(queue_.iterator_to(timer)); }

// Leaves an operating-system timer armed for an earlier time as it is. When it
// fires with no timer due, it is armed again, which is cheaper than a system
// call for each change.
void Timers::Arm() {
  if (queue_.empty()) return;
  Millis due = queue_.begin()->due_;
  if (armed_for_ != Millis(0) && armed_for_ <= due) return;
  armed_for_ = due;
  Millis delay = std::max(Millis(0), due - Now());
  os_timer_.expires_after(std::chrono::milliseconds(delay.count()));
  os_timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    armed_for_ = Millis(0);
    RunDue();
  });
}

void Timers::RunDue() {
  // Also if a callback throws: the other timers must still fire.
  struct ArmOnExit {
    Timers& timers;
    ~ArmOnExit() { timers.Arm(); }
  } arm{*this};
  Millis now = Now();
  while (!queue_.empty() && queue_.begin()->due_ <= now) {
    Timer& timer = *queue_.begin();
    queue_.erase(queue_.begin());
    auto callback = std::move(timer.callback_);
    timer.callback_ = nullptr;
    callback();  // may destroy the timer
  }
}

}  // namespace almondwind::loop
