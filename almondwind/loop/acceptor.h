// A listening TCP socket on the event loop.
//
//   Acceptor acceptor(io, timers, "10.1.0.8:8300", [](Tcp::socket s) {...});
//
// When the process is out of descriptors, accepting pauses for
// kAcceptRetryDelay instead of spinning. Not thread-safe.
#ifndef ALMONDWIND_LOOP_ACCEPTOR_H_
#define ALMONDWIND_LOOP_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "almondwind/loop/timers.h"

namespace almondwind::loop {

class Acceptor {
 public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  // Throws std::system_error if the port is taken, base::Error(kMalformed) if
  // `address` is not "ip:port".
  Acceptor(boost::asio::io_context& io, Timers& timers,
           const std::string& address, Handler handler);

  void Close();
  // Hands over the connections that the kernel has accepted already, then
  // closes: a plain close resets them, and requests may have come on them.
  void CloseAfterBacklog();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  Timer retry_timer_;
};

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_ACCEPTOR_H_
