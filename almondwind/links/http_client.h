// HTTP client, over Boost.Beast, that never sends a request twice. Answers are
// read by http::ResponseReader, with its checks.
//
// Before an idle connection is reused, the client checks whether the server has
// closed it. If a connection closes after the request was written, the exchange
// ends with EndKind::kClosed and the request is not sent again, whatever its
// method. (cpprestsdk's client resends it in that case, so it is not used for
// calls.)
//
//   auto exchange = client.Send(endpoint, std::move(request), handler);
//   exchange->Cancel();   // closes its connection; the handler is not called
//
// Bounds: HttpClientOptions::connections open connections in total, beyond
// which an exchange ends with kUnreachable; an answer with a body larger than
// HttpClientOptions::answer_bytes, or a head larger than 16 KB, ends it with
// kTooLarge.
//
// Threads: thread-safe. The handler is called on a worker, with no lock held.
// mutex_ guards the idle connections; no other lock is taken while it is held.
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

// How an exchange ended; `response` is set for kAnswer only.
struct HttpResult {
  base::EndKind kind = base::EndKind::kClosed;
  HttpResponse response;
};
using HttpHandler = std::function<void(HttpResult)>;

// A request in progress.
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
  // Idle connections of each endpoint, the most recently used last.
  std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_HTTP_CLIENT_H_
