// HTTP server for the stand-ins: one coroutine per connection, all on the
// thread of the io_context, so that the stand-ins need no locks.
#ifndef ALMONDWIND_STANDINS_HTTP_SERVER_H_
#define ALMONDWIND_STANDINS_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <string>

#include "almondwind/links/http_client.h"

namespace almondwind::standins {

struct ServedRequest {
  const links::HttpRequest& request;
  boost::beast::tcp_stream& stream;
  boost::asio::yield_context& yield;
};

// Fills in the response. Returns false to close the connection without one.
using Handler = std::function<bool(ServedRequest&, links::HttpResponse&)>;

struct ServerLimits {
  int max_connections = 100'000;
};

// Serves `address` ("ip:port") until the io_context stops. Closes connections
// above the limit as soon as they are accepted.
void Serve(boost::asio::io_context& io, const std::string& address,
           ServerLimits limits, Handler handler);

// Returns the query parameters of a request target without percent-decoding.
std::map<std::string, std::string> ParseQuery(const std::string& target);

// Returns the part of a request target before the query.
std::string PathOf(const std::string& target);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_HTTP_SERVER_H_
