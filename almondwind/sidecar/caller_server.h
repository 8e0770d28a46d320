// HTTP/1.1 server for the callers on this host: clients and the upstream.
//
// Requests on one connection may be pipelined; they are worked on together and
// answered in order. When a caller closes its connection, what it waits for is
// abandoned at once.
//
// A body too large to be held is passed on in parts, as fast as the other side
// takes them; meanwhile nothing further is read, or written, on its connection.
//
// Bounds: Options::connections, beyond which new ones are closed;
// Options::pipeline requests of one connection, beyond which it is not read;
// the operators' limits on header, body, header time and idle time. Not
// thread-safe.
#ifndef ALMONDWIND_SIDECAR_CALLER_SERVER_H_
#define ALMONDWIND_SIDECAR_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "almondwind/http/reader.h"
#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/stream.h"
#include "almondwind/sidecar/dispatcher.h"

namespace almondwind::sidecar {

struct CallerServerOptions {
  std::string listen;  // "ip:port"
  size_t connections = 2048;
  size_t pipeline = 16;
  // Bodies of requests beyond this are passed on in parts.
  size_t whole_bytes = 64u << 10;
};

class CallerServer {
 public:
  // Listens at once. Throws std::system_error if the port is taken.
  CallerServer(boost::asio::io_context& io, loop::Timers& timers,
               const CallerServerOptions& options, Dispatcher& dispatcher);
  ~CallerServer();

  // From now on answers close their connections.
  void CloseAfterAnswers() { closing_ = true; }
  // Takes what the kernel has accepted, and no further connection.
  void StopAccepting() { acceptor_.CloseAfterBacklog(); }
  // Closes connections on which nothing is in progress.
  void CloseIdle();
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void Erase(Connection& connection);
  void CheckTimeouts();
  // Looks after connections that are not being read, for callers who leave.
  void CheckPaused();
  routes::Limits limits() const;

  loop::Timers& timers_;
  const CallerServerOptions options_;
  Dispatcher& dispatcher_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  loop::Timer timeout_check_;
  loop::Timer paused_check_;
  bool closing_ = false;
  loop::Acceptor acceptor_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_CALLER_SERVER_H_
