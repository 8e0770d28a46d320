#include "almondwind/loop/acceptor.h"

#include <utility>

#include "almondwind/loop/endpoint.h"

namespace almondwind::loop {

namespace net = boost::asio;
using boost::system::error_code;

namespace {
// Long enough for some connections to close, short relative to the timeouts of
// callers.
constexpr base::Millis kAcceptRetryDelay{50};
}  // namespace

Acceptor::Acceptor(net::io_context& io, Timers& timers,
                   const std::string& address, Handler handler)
    : acceptor_(io), handler_(std::move(handler)), retry_timer_(timers) {
  net::ip::tcp::endpoint endpoint = ParseEndpoint(address);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

void Acceptor::Accept() {
  acceptor_.async_accept([this](error_code ec, net::ip::tcp::socket socket) {
    if (ec == net::error::operation_aborted) return;
    if (ec == net::error::no_descriptors) {
      retry_timer_.Start(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    // Accepts the next one first, so that an exception of the handler does not
    // end accepting.
    if (acceptor_.is_open()) Accept();
    if (!ec) handler_(std::move(socket));
  });
}

void Acceptor::CloseAfterBacklog() {
  error_code ec;
  acceptor_.non_blocking(true, ec);
  while (!ec && acceptor_.is_open()) {
    net::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    if (!ec) handler_(std::move(socket));
  }
  Close();
}

void Acceptor::Close() {
  retry_timer_.Stop();
  error_code ec;
  // The error is ignored: the listener may be closed already.
  acceptor_.close(ec);
}

}  // namespace almondwind::loop
