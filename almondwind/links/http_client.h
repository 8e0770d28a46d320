// HTTP client that sends each request exactly once, over Boost.Beast.
//
// A connection that the server closed while idle is noticed before it is used
// again; one that closes after the request was written ends the exchange as
// "closed", and nothing is sent a second time, whatever the method.
// (cpprestsdk's client re-sends there by itself, so it carries no calls.)
//
//   auto exchange = client.Send(endpoint, std::move(request), handler);
//   exchange->Cancel();   // closes its connection; no handler call follows
//
// Bounds: Options::connections open connections in all, beyond which an
// exchange ends as "unreachable"; an answer over Options::answer_bytes ends
// as "too large".
//
// Threads: thread-safe. The handler is called on a worker, with no lock held.
// mutex_ guards the idle connections and is a leaf of the lock order.
#ifndef ALMONDWIND_LINKS_HTTP_CLIENT_H_
#define ALMONDWIND_LINKS_HTTP_CLIENT_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "almondwind/base/outcome.h"

namespace almondwind::links {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

struct HttpResult {
  base::EndKind kind = base::EndKind::kClosed;
  HttpResponse response;
};
using HttpHandler = std::function<void(HttpResult)>;

// One request and its answer in progress.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual void Cancel() = 0;
};

struct HttpClientOptions {
  int connections = 100;
  size_t answer_bytes = 4u << 20;
};

class HttpConnection;

class HttpClient {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  HttpClient(boost::asio::io_context& io, HttpClientOptions options)
      : io_(io), options_(options) {}

  std::shared_ptr<HttpExchange> Send(const Endpoint& endpoint,
                                     HttpRequest request, HttpHandler handler);

 private:
  friend class HttpConnection;
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  ConnectionPtr AcquireConnection(const Endpoint& endpoint);
  void ReleaseConnection(const ConnectionPtr& connection);

  boost::asio::io_context& io_;
  const HttpClientOptions options_;
  std::atomic<int> open_{0};
  std::mutex mutex_;
  std::map<Endpoint, std::vector<ConnectionPtr>> idle_;  // last used last
};

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_HTTP_CLIENT_H_
