// Source of unpredictable random numbers.
//
// Generates incarnations and contract serials, which outsiders must not be able
// to guess. Routing choices use an ordinary seeded generator instead, so that
// tests can replay them.
#ifndef ALMONDWIND_BASE_ENTROPY_H_
#define ALMONDWIND_BASE_ENTROPY_H_

#include <cstdint>
#include <random>

namespace almondwind::base {

class Entropy {
 public:
  virtual ~Entropy() = default;
  virtual uint64_t Next() = 0;
};

// The operating system's generator. Not thread-safe; costs a system call.
class SystemEntropy : public Entropy {
 public:
  uint64_t Next() override {
    return (uint64_t{device_()} << 32) | uint64_t{device_()};
  }

 private:
  std::random_device device_;
};

// Deterministic generator for tests.
class SeededEntropy : public Entropy {
 public:
  explicit SeededEntropy(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace almondwind::base

#endif  // ALMONDWIND_BASE_ENTROPY_H_
