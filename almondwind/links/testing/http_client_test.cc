// The client must not send a request twice: a server that runs a request on a
// reused connection and closes it without an answer must have run it once.

#define BOOST_TEST_MODULE http_client
#include "almondwind/links/http_client.h"

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/standins/http_server.h"

namespace almondwind::links {
namespace {

namespace http = boost::beast::http;
using base::EndKind;
constexpr const char* kAddress = "127.0.0.1:20991";

struct Server {
  Server() {
    standins::Serve(io, kAddress, {},
                    [this](standins::ServedRequest& served, HttpResponse& r) {
                      r.body() = std::string(answer_bytes, 'x');
                      if (served.request.method() == http::verb::get) {
                        return true;
                      }
                      ++posts;
                      return false;
                    });
  }

  HttpResult Exchange(http::verb verb) {
    std::optional<HttpResult> result;
    client.Send(loop::ParseEndpoint(kAddress), HttpRequest{verb, "/", 11},
                [&result](HttpResult e) { result = std::move(e); });
    while (!result) io.run_one();
    return *result;
  }

  boost::asio::io_context io;
  HttpClient client{io, HttpClientOptions{2, 100}};
  size_t answer_bytes = 10;
  int posts = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(run_then_close_is_sent_once) {
  Server server;
  BOOST_TEST((server.Exchange(http::verb::get).kind == EndKind::kAnswer));
  BOOST_TEST((server.Exchange(http::verb::post).kind == EndKind::kClosed));
  server.io.poll();
  BOOST_TEST(server.posts == 1);
}

BOOST_AUTO_TEST_CASE(large_answer_is_told) {
  Server server;
  server.answer_bytes = 101;
  HttpResult result = server.Exchange(http::verb::get);
  BOOST_TEST_INFO("kind " << static_cast<int>(result.kind) << ", body of "
                          << result.response.body().size());
  BOOST_TEST((result.kind == EndKind::kTooLarge));
}

BOOST_AUTO_TEST_CASE(closed_port_is_unreachable) {
  boost::asio::io_context io;
  HttpClient client(io, HttpClientOptions());
  std::optional<HttpResult> result;
  client.Send(loop::ParseEndpoint("127.0.0.1:20992"),
              HttpRequest{http::verb::get, "/", 11},
              [&result](HttpResult e) { result = std::move(e); });
  while (!result) io.run_one();
  BOOST_TEST((result->kind == EndKind::kUnreachable));
}

BOOST_AUTO_TEST_CASE(beyond_the_bound_is_unreachable) {
  Server server;
  int unreachable = 0;
  for (int i = 0; i < 3; ++i) {
    server.client.Send(loop::ParseEndpoint(kAddress),
                       HttpRequest{http::verb::get, "/", 11},
                       [&unreachable](HttpResult e) {
                         unreachable += e.kind == EndKind::kUnreachable;
                       });
  }
  server.io.run_for(std::chrono::milliseconds(200));
  BOOST_TEST(unreachable == 1);
}

}  // namespace almondwind::links
