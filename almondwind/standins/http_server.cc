#include "almondwind/standins/http_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"

namespace almondwind::standins {

namespace beast = boost::beast;
namespace http = beast::http;
namespace net = boost::asio;
using beast::error_code;

namespace {

struct ServerState {
  ServerLimits limits;
  Handler handler;
  int connections = 0;
};

void ServeConnection(const std::shared_ptr<ServerState>& state,
                     net::ip::tcp::socket socket, net::yield_context yield) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  error_code ec;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(16u << 20);
    http::async_read(stream, buffer, parser, yield[ec]);
    if (ec) break;
    links::HttpRequest request = parser.release();
    links::HttpResponse response{http::status::ok, request.version()};
    response.keep_alive(request.keep_alive());
    ServedRequest served{request, stream, yield};
    if (!state->handler(served, response)) break;
    response.prepare_payload();
    http::async_write(stream, response, yield[ec]);
    if (ec || !response.keep_alive()) break;
  }
  stream.socket().close(ec);
  --state->connections;
}

void Accept(net::io_context& io, const std::shared_ptr<ServerState>& state,
            const std::shared_ptr<net::ip::tcp::acceptor>& acceptor,
            net::yield_context yield) {
  while (true) {
    error_code ec;
    net::ip::tcp::socket socket(io);
    acceptor->async_accept(socket, yield[ec]);
    if (ec) return;
    socket.set_option(net::ip::tcp::no_delay(true), ec);
    if (state->connections >= state->limits.max_connections) continue;
    ++state->connections;
    // A coroutine's stack is small, so its state is on the heap.
    net::spawn(io, [state, s = std::make_shared<net::ip::tcp::socket>(
                               std::move(socket))](net::yield_context y) {
      ServeConnection(state, std::move(*s), y);
    });
  }
}

}  // namespace

void Serve(net::io_context& io, const std::string& address, ServerLimits limits,
           Handler handler) {
  auto state = std::make_shared<ServerState>();
  state->limits = limits;
  state->handler = std::move(handler);
  auto acceptor = std::make_shared<net::ip::tcp::acceptor>(io);
  net::ip::tcp::endpoint endpoint = loop::ParseEndpoint(address);
  acceptor->open(endpoint.protocol());
  acceptor->set_option(net::socket_base::reuse_address(true));
  acceptor->bind(endpoint);
  acceptor->listen(net::socket_base::max_listen_connections);
  net::spawn(io, [&io, state, acceptor](net::yield_context yield) {
    Accept(io, state, acceptor, yield);
  });
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> out;
  size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    size_t next = target.find('&', at + 1);
    std::string pair = target.substr(at + 1, next - at - 1);
    size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      out[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    at = next;
  }
  return out;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

}  // namespace almondwind::standins
