// The client must not send a request twice: a server that runs a request on a
// reused connection and closes it without an answer must have run it once.

#define BOOST_TEST_MODULE http_client
#include "almondwind/links/http_client.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/loop/testing/heap.h"
#include "almondwind/loop/testing/raw_server.h"
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

namespace {

// A client of a server that answers with any bytes.
struct RawExchange {
  // Returns nothing if the exchange did not end within `limit`.
  std::optional<HttpResult> Exchange(std::chrono::milliseconds limit,
                                     size_t upload = 0) {
    HttpRequest request{upload == 0 ? http::verb::get : http::verb::post, "/",
                        11};
    request.body().assign(upload, 'u');
    std::optional<HttpResult> result;
    auto exchange =
        client.Send(loop::ParseEndpoint(kAddress), std::move(request),
                    [&result](HttpResult e) { result = std::move(e); });
    auto end = std::chrono::steady_clock::now() + limit;
    while (!result && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(20));
      peak_bytes = std::max(peak_bytes, loop::testing::HeapBytes());
    }
    if (!result) exchange->Cancel();
    io.poll();
    return result;
  }

  boost::asio::io_context io;
  loop::testing::RawServer server{io, kAddress};
  HttpClient client{io, HttpClientOptions{2, 100'000}};
  size_t peak_bytes = 0;  // of the heap during an exchange
};

constexpr std::chrono::milliseconds kExchangeLimit{5000};

}  // namespace

// Failure: answers with the status 000, or with a blank or a control byte in
// the name of a field, were taken as answers.
BOOST_AUTO_TEST_CASE(a_head_that_is_no_answer_is_not_taken_for_one) {
  const std::string rest = "Content-Length: 2\r\n\r\nok";
  for (const std::string& head :
       {"HTTP/1.1 000 X\r\n" + rest, "HTTP/1.1 099 X\r\n" + rest,
        "HTTP/1.1 600 X\r\n" + rest, "HTTP/1.1 999 X\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX: 1\r\n " + rest,
        "HTTP/1.1 200 OK\r\nX: 1\r\n\t" + rest,
        "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + rest,
        "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n" + rest,
        "HTTP/1.1 200 OK\r\n" + rest.substr(0, 14) + " : 2\r\n\r\nok"}) {
    RawExchange raw;
    raw.server.answer = {head, loop::testing::RawEnd::kClose};
    auto result = raw.Exchange(kExchangeLimit);
    BOOST_REQUIRE(result);
    BOOST_TEST((result->kind == EndKind::kUnusable ||
                result->kind == EndKind::kClosed),
               head);
  }
}

// Failure: an interim answer was taken for the final one.
BOOST_AUTO_TEST_CASE(an_interim_answer_is_not_the_answer) {
  RawExchange raw;
  raw.server.answer = {
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: 1\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
  auto result = raw.Exchange(kExchangeLimit);
  BOOST_REQUIRE(result);
  BOOST_TEST((result->kind == EndKind::kAnswer));
  BOOST_TEST(result->response.result_int() == 200U);
  BOOST_TEST(result->response.body() == "ok");
}

// Failure: bytes behind an answer were taken for the answer to the next request
// of the connection.
BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_do_not_answer_the_next_request) {
  RawExchange raw;
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  raw.server.answer = {one + one};
  BOOST_TEST((raw.Exchange(kExchangeLimit)->kind == EndKind::kAnswer));
  raw.server.answer = {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"};
  auto next = raw.Exchange(kExchangeLimit);
  BOOST_REQUIRE(next);
  BOOST_TEST(
      (next->kind != EndKind::kAnswer || next->response.body() == "two"));
}

// An answer without a length ends with its connection; one that is reset is not
// complete, also while the request is being written.
BOOST_AUTO_TEST_CASE(a_reset_does_not_complete_an_answer) {
  for (size_t upload : {size_t{0}, size_t{16} << 20}) {
    RawExchange raw;
    raw.server.answer = {"HTTP/1.1 200 OK\r\n\r\npart",
                         loop::testing::RawEnd::kReset};
    auto result = raw.Exchange(kExchangeLimit, upload);
    BOOST_REQUIRE(result);
    BOOST_TEST((result->kind == EndKind::kClosed), upload);
    raw.server.answer = {"HTTP/1.1 200 OK\r\n\r\nall",
                         loop::testing::RawEnd::kClose};
    result = raw.Exchange(kExchangeLimit);
    BOOST_REQUIRE(result);
    BOOST_TEST((result->kind == EndKind::kAnswer));
    BOOST_TEST(result->response.body() == "all");
  }
}

// Failure: a server sent bytes without end, in a head or a body, and the client
// kept them all.
BOOST_AUTO_TEST_CASE(an_answer_without_end_ends_its_exchange) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string pad(4096, 'x');
  struct Row {
    const char* what;
    std::string bytes;
    std::string endless;
  };
  const Row rows[] = {
      {"start line", "x", pad},
      {"head", head, "X-Pad: " + pad + "\r\n"},
      {"one header field", head + "X-Pad: ", pad},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body without a length", head + "\r\n", pad},
      {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + pad + "\r\n"},
      {"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", pad},
      {"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Pad: " + pad + "\r\n"},
  };
  for (const Row& row : rows) {
    RawExchange raw;
    raw.server.answer = {row.bytes, loop::testing::RawEnd::kEndless,
                         row.endless};
    size_t before = loop::testing::HeapBytes();
    auto result = raw.Exchange(kExchangeLimit);
    size_t grown = raw.peak_bytes - std::min(raw.peak_bytes, before);
    BOOST_TEST(result.has_value(), row.what);
    BOOST_TEST((!result || result->kind != EndKind::kAnswer), row.what);
    BOOST_TEST(grown < (1u << 20), row.what << ": " << grown);
  }
}

}  // namespace almondwind::links
