// Time in milliseconds: instants, durations and clocks.
//
// Code that depends on time takes a Clock as a parameter, so that tests can run
// it with a ManualClock. Instants count from an arbitrary origin on the local
// host and are never compared across hosts; messages between hosts carry the
// remaining time instead.
//
//   base::Millis deadline = clock.Now() + base::Millis(250);
//
// A Millis is one 64-bit integer and is passed by value.
#ifndef ALMONDWIND_BASE_CLOCK_H_
#define ALMONDWIND_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace almondwind::base {

class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }

  constexpr Millis operator+(Millis o) const {
    return Millis(count_ + o.count_);
  }
  constexpr Millis operator-(Millis o) const {
    return Millis(count_ - o.count_);
  }
  constexpr Millis operator*(int64_t k) const { return Millis(count_ * k); }
  constexpr Millis operator/(int64_t k) const { return Millis(count_ / k); }
  constexpr bool operator<(Millis o) const { return count_ < o.count_; }
  constexpr bool operator>(Millis o) const { return count_ > o.count_; }
  constexpr bool operator<=(Millis o) const { return count_ <= o.count_; }
  constexpr bool operator>=(Millis o) const { return count_ >= o.count_; }
  constexpr bool operator==(Millis o) const { return count_ == o.count_; }
  constexpr bool operator!=(Millis o) const { return count_ != o.count_; }

 private:
  int64_t count_ = 0;
};

// Source of the current instant. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Millis Now() const = 0;
};

// Monotonic clock of the host. It keeps running while the process is paused, so
// a process that resumes late sees the gap.
class SteadyClock : public Clock {
 public:
  Millis Now() const override {
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    using std::chrono::milliseconds;
    return Millis(std::chrono::duration_cast<milliseconds>(since).count());
  }
};

// Clock for tests that changes only by Advance(). Not thread-safe.
class ManualClock : public Clock {
 public:
  Millis Now() const override { return now_; }
  void Advance(Millis span) { now_ = now_ + span; }

 private:
  Millis now_{1000};
};

}  // namespace almondwind::base

#endif  // ALMONDWIND_BASE_CLOCK_H_
