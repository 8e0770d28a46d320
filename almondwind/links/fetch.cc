#include "almondwind/links/fetch.h"

#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "almondwind/loop/endpoint.h"

namespace almondwind::links {

namespace http = boost::beast::http;

std::optional<HttpResponse> Fetch(const FetchOptions& options) {
  boost::asio::io_context io;
  HttpClient client(io, HttpClientOptions{1, options.max_body_bytes});
  HttpRequest request{http::verb::get, options.target, 11};
  request.set(http::field::host, options.address);
  request.keep_alive(false);
  std::optional<HttpResult> result;
  auto exchange =
      client.Send(loop::ParseEndpoint(options.address), std::move(request),
                  [&result](HttpResult r) { result = std::move(r); });
  io.run_for(std::chrono::milliseconds(options.timeout.count()));
  if (!result) {
    // The handlers of a cancelled exchange must run while the client exists.
    exchange->Cancel();
    io.restart();
    io.run();
  }
  if (!result || result->kind != base::EndKind::kAnswer) return std::nullopt;
  return std::move(result->response);
}

}  // namespace almondwind::links
