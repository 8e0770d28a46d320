#include "almondwind/standins/relay.h"

#include <array>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/standins/http_server.h"

namespace almondwind::standins {

namespace net = boost::asio;
using boost::system::error_code;
using Socket = net::ip::tcp::socket;

namespace {

struct NetworkFaults {
  bool cut = false;
  int delay_ms = 0;
};

NetworkFaults& ActiveFaults() {
  static NetworkFaults faults;
  return faults;
}

// Copies one direction of a connection. Drops nothing during a cut: as with TCP
// retransmission, bytes wait until the cut ends or an endpoint closes.
void CopyBytes(const std::shared_ptr<Socket>& from,
               const std::shared_ptr<Socket>& to, net::io_context& io,
               net::yield_context yield) {
  std::array<char, 16384> buffer{};
  net::steady_timer timer(io);
  error_code ec;
  while (true) {
    size_t got = from->async_read_some(net::buffer(buffer), yield[ec]);
    if (ec) break;
    int delay = ActiveFaults().delay_ms;
    do {
      timer.expires_after(std::chrono::milliseconds(delay));
      if (delay > 0) timer.async_wait(yield[ec]);
      delay = 20;
    } while (ActiveFaults().cut);
    net::async_write(*to, net::buffer(buffer, got), yield[ec]);
    if (ec) break;
  }
  from->close(ec);
  to->close(ec);
}

void RelayConnection(net::io_context& io, const std::shared_ptr<Socket>& from,
                     const std::string& address, net::yield_context yield) {
  auto to = std::make_shared<Socket>(io);
  error_code ec;
  net::steady_timer timer(io);
  while (ActiveFaults().cut) {
    timer.expires_after(std::chrono::milliseconds(20));
    timer.async_wait(yield[ec]);
  }
  to->async_connect(loop::ParseEndpoint(address), yield[ec]);
  if (ec) return;
  from->set_option(net::ip::tcp::no_delay(true), ec);
  to->set_option(net::ip::tcp::no_delay(true), ec);
  net::spawn(io, [from, to, &io](net::yield_context y) {
    CopyBytes(to, from, io, y);
  });
  CopyBytes(from, to, io, yield);
}

void ServeForward(net::io_context& io, const std::string& forward) {
  size_t equals = forward.find('=');
  auto acceptor = std::make_shared<net::ip::tcp::acceptor>(
      io, loop::ParseEndpoint(forward.substr(0, equals)));
  std::string to = forward.substr(equals + 1);
  net::spawn(io, [&io, acceptor, to](net::yield_context yield) {
    while (true) {
      error_code ec;
      auto socket = std::make_shared<Socket>(io);
      acceptor->async_accept(*socket, yield[ec]);
      if (ec) return;
      net::spawn(io, [&io, socket, to](net::yield_context y) {
        RelayConnection(io, socket, to, y);
      });
    }
  });
}

}  // namespace

void ServeRelay(net::io_context& io, const std::vector<std::string>& forwards,
                const std::string& admin) {
  for (const std::string& forward : forwards) ServeForward(io, forward);
  Serve(io, admin, {}, [](ServedRequest& served, links::HttpResponse&) {
    auto parameters = ParseQuery(std::string(served.request.target()));
    if (parameters.count("cut") != 0) {
      ActiveFaults().cut = parameters["cut"] == "1";
    }
    if (parameters.count("delay_ms") != 0) {
      ActiveFaults().delay_ms = std::atoi(parameters["delay_ms"].c_str());
    }
    return true;
  });
}

}  // namespace almondwind::standins
