// A listening TCP socket on the event loop.
//
//   Acceptor acceptor(io, timers, "10.1.0.8:8300", [](Tcp::socket s) {...});
//
// Accepts connections and passes each to the handler. When the process is out
// of file descriptors, it retries after kAcceptRetryDelay instead of spinning.
// Not thread-safe.
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

  // Listens immediately. Throws std::system_error if the port is in use, and
  // base::Error(kMalformed) if `address` is not "ip:port".
  Acceptor(boost::asio::io_context& io, Timers& timers,
           const std::string& address, Handler handler);

  void Close();
  // Passes the connections in the kernel's accept queue to the handler, then
  // closes. Close alone would reset them, and they may carry requests already.
  void CloseAfterBacklog();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  Timer retry_timer_;
};

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_ACCEPTOR_H_
