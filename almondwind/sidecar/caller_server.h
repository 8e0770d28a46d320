// HTTP/1.1 server for the callers on this host: clients and the local upstream.
//
// Requests on one connection may be pipelined; they are processed concurrently
// and answered in order. When a caller closes its connection, its requests in
// progress are cancelled immediately.
//
// A body too large to buffer is streamed at the speed of its receiver. While a
// request body is streamed, no further request is read from its connection;
// while a response body is streamed, no further response is written to it.
//
// Bounds: CallerServerOptions::connections, beyond which new connections are
// closed; CallerServerOptions::pipeline requests per connection, beyond which
// reading is paused; the configured limits on header size, body size, header
// time and idle time. Not thread-safe.
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
  // Larger request bodies are streamed.
  size_t streaming_threshold_bytes = 64u << 10;
};

class CallerServer {
 public:
  // Listens immediately. Throws std::system_error if the port is taken.
  CallerServer(boost::asio::io_context& io, loop::Timers& timers,
               const CallerServerOptions& options, Dispatcher& dispatcher);
  ~CallerServer();

  // Makes every further response close its connection.
  void CloseAfterAnswers() { closing_ = true; }
  // Accepts the connections in the kernel's backlog, then closes the listener.
  void StopAccepting() { acceptor_.CloseAfterBacklog(); }
  // Closes connections without a request in progress.
  void CloseIdle();
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void Erase(Connection& connection);
  void CheckTimeouts();
  // Closes paused connections whose callers have closed their side; without
  // reading, a close is not noticed otherwise.
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
