// A TCP relay in front of one address on loopback, with which tests delay,
// drop, refuse and reset connections. Not thread-safe.
#ifndef ALMONDWIND_LOOP_TESTING_RELAY_H_
#define ALMONDWIND_LOOP_TESTING_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/stream.h"

namespace almondwind::loop::testing {

enum class RelayMode : uint8_t {
  kPass,
  kSilent,  // connections stay open; all bytes are dropped
  kOneWay,  // bytes from the server are dropped
  kRefuse,  // existing and new connections are closed
};

class Relay {
 public:
  Relay(boost::asio::io_context& io, Timers& timers, const std::string& listen,
        const std::string& to);
  ~Relay();

  // A change to kPass closes the connections that have lost bytes.
  void SetMode(RelayMode mode);
  void SetDelay(base::Millis delay) { delay_ = delay; }
  void ResetAll();

 private:
  class Pair;

  boost::asio::io_context& io_;
  Timers& timers_;
  const std::string to_;
  RelayMode mode_ = RelayMode::kPass;
  base::Millis delay_{0};
  std::map<Pair*, std::unique_ptr<Pair>> pairs_;
  Acceptor acceptor_;
};

}  // namespace almondwind::loop::testing

#endif  // ALMONDWIND_LOOP_TESTING_RELAY_H_
