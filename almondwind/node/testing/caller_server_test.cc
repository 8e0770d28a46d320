// Shutdown of the callers' server: every request that has reached the host is
// answered.

#define BOOST_TEST_MODULE node_caller_server
#include "almondwind/node/caller_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstring>
#include <optional>
#include <string>
#include <vector>

namespace almondwind::node {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

constexpr int kPort = 21410;
// A malformed request, which the server answers without a node.
const char* const kRequest =
    "GET /addis/catalogue/boards HTTP/1.1\r\nHost: h\r\n"
    "X-Request-Timeout-Ms: soon\r\n\r\n";

struct Server {
  Server() {
    CallerServerOptions options;
    options.listen = "127.0.0.1:" + std::to_string(kPort);
    server.emplace(io, options);
    server->Listen();
  }
  // Returns the connection of a caller whose request has reached the host.
  tcp::socket Caller() {
    tcp::socket socket(client_io);
    socket.connect({net::ip::make_address("127.0.0.1"), kPort});
    net::write(socket, net::buffer(kRequest, strlen(kRequest)));
    return socket;
  }
  void Run() { io.run_for(std::chrono::milliseconds(300)); }

  net::io_context io;
  net::io_context client_io;
  std::optional<CallerServer> server;
};

std::string FirstLine(tcp::socket& socket) {
  std::string bytes(512, '\0');
  boost::system::error_code ec;
  bytes.resize(socket.read_some(net::buffer(bytes), ec));
  return ec ? ec.message() : bytes.substr(0, bytes.find('\r'));
}

}  // namespace

// Guards against requests that are lost in a graceful shutdown because the
// acceptor is closed while connections that the kernel has accepted are still
// in its backlog.
BOOST_AUTO_TEST_CASE(requests_on_connections_not_yet_accepted_are_answered) {
  Server world;
  std::vector<tcp::socket> callers;
  for (int i = 0; i < 20; ++i) callers.push_back(world.Caller());
  world.server->CloseAfterAnswers();
  world.server->StopAccepting();
  world.Run();
  for (tcp::socket& caller : callers) {
    BOOST_TEST(FirstLine(caller) == "HTTP/1.1 400 Bad Request");
  }
  BOOST_TEST(world.server->stopped_accepting());
}

// Guards against a process that exits because it counts zero connections while
// one more can still be added.
BOOST_AUTO_TEST_CASE(accepting_is_over_only_once_no_connection_can_be_added) {
  Server world;
  world.server->StopAccepting();
  BOOST_TEST(!world.server->stopped_accepting());
  world.Run();
  BOOST_TEST(world.server->stopped_accepting());
  tcp::socket late(world.client_io);
  boost::system::error_code ec;
  late.connect({net::ip::make_address("127.0.0.1"), kPort}, ec);
  BOOST_TEST(ec == net::error::connection_refused);
  BOOST_TEST(world.server->connection_count() == 0);
}

}  // namespace almondwind::node
