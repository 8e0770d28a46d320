#include "almondwind/loop/testing/raw_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

#include "almondwind/loop/endpoint.h"

namespace almondwind::loop::testing {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kIdField = "X-Attempt-Id: ";

// Returns the id of the request with this head, or an empty string.
std::string IdOf(const std::string& head) {
  size_t at = head.find(kIdField);
  if (at == std::string::npos) return {};
  at += kIdField.size();
  return head.substr(at, head.find('\r', at) - at);
}

}  // namespace

class RawServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::weak_ptr<RawServer*> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        delay_(socket_.get_executor()) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() {
    if (auto server = server_.lock()) ++(*server)->ended;
  }

  void ReadHead() {
    auto self = shared_from_this();
    socket_.async_read_some(net::buffer(buffer_),
                            [self](error_code ec, size_t size) {
                              if (!ec) self->OnData(size);
                            });
  }

 private:
  void OnData(size_t size) {
    head_.append(buffer_.data(), size);
    size_t end = head_.find(kHeadEnd);
    if (end == std::string::npos) return ReadHead();
    auto server = server_.lock();
    if (server == nullptr) return;
    ++(*server)->requests;
    answer_ = (*server)->answer;
    size_t at = answer_.bytes.find("{id}");
    if (at != std::string::npos) answer_.bytes.replace(at, 4, IdOf(head_));
    head_.erase(0, end + kHeadEnd.size());
    Write(answer_.bytes);
  }

  void Write(const std::string& bytes) {
    auto self = shared_from_this();
    net::async_write(socket_, net::buffer(bytes),
                     [self](error_code ec, size_t) {
                       if (!ec) self->OnWritten();
                     });
  }

  void OnWritten() {
    auto self = shared_from_this();
    switch (answer_.end) {
      case RawEnd::kKeep:
        return ReadHead();
      case RawEnd::kClose: {
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        return ReadToEnd();
      }
      case RawEnd::kReset:
        delay_.expires_after(answer_.delay);
        return delay_.async_wait([self](error_code) { self->Reset(); });
      case RawEnd::kEndless:
        return Write(answer_.endless);
    }
  }

  void ReadToEnd() {
    auto self = shared_from_this();
    socket_.async_read_some(net::buffer(buffer_),
                            [self](error_code ec, size_t) {
                              if (!ec) self->ReadToEnd();
                            });
  }

  void Reset() {
    error_code ec;
    socket_.set_option(net::socket_base::linger(true, 0), ec);
    socket_.close(ec);
  }

  std::weak_ptr<RawServer*> server_;
  tcp::socket socket_;
  net::steady_timer delay_;
  std::array<char, 16384> buffer_{};
  std::string head_;
  RawAnswer answer_;
};

RawServer::RawServer(net::io_context& io, const std::string& address)
    : acceptor_(io, ParseEndpoint(address)),
      self_(std::make_shared<RawServer*>(this)) {
  Accept();
}

RawServer::~RawServer() = default;

void RawServer::Accept() {
  std::weak_ptr<RawServer*> self = self_;
  acceptor_.async_accept([self](error_code ec, tcp::socket socket) {
    auto server = self.lock();
    if (ec || server == nullptr) return;
    ++(*server)->opened;
    std::make_shared<Connection>(self, std::move(socket))->ReadHead();
    (*server)->Accept();
  });
}

}  // namespace almondwind::loop::testing
