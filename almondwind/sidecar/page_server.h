// Small HTTP/1.1 server for the readiness, metrics and status pages.
//
//   PageServer pages(io, timers, "10.1.0.8:8302", [](const http::Request& r) {
//     http::Response out; ...; return out;
//   });
//
// Bounds: kMaxConnections connections, closed after kIdleTimeout without
// data; headers and bodies of up to 8 KB each. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_PAGE_SERVER_H_
#define ALMONDWIND_SIDECAR_PAGE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "almondwind/http/message.h"
#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/stream.h"

namespace almondwind::sidecar {

class PageServer {
 public:
  using Handler = std::function<http::Response(const http::Request&)>;

  // Listens immediately. Throws std::system_error if the port is taken.
  PageServer(boost::asio::io_context& io, loop::Timers& timers,
             const std::string& listen, Handler handler);
  ~PageServer();

  void Close();

 private:
  class Connection;

  void Erase(Connection& connection);

  loop::Timers& timers_;
  Handler handler_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  loop::Acceptor acceptor_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_PAGE_SERVER_H_
