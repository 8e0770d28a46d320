#include "almondwind/sidecar/page_server.h"

#include <utility>

#include "almondwind/http/reader.h"

namespace almondwind::sidecar {

namespace {
// Enough for readiness checks, metrics scrapers and a few operators at once.
constexpr size_t kMaxConnections = 32;
constexpr base::Millis kIdleTimeout{30'000};
constexpr http::ReaderOptions kReaderOptions{8u << 10, 8u << 10};
}  // namespace

class PageServer::Connection : public loop::StreamEvents {
 public:
  Connection(PageServer& server, boost::asio::ip::tcp::socket socket)
      : server_(server), reader_(kReaderOptions), idle_(server.timers_) {
    stream_ = loop::Stream::Adopt(server.timers_, std::move(socket),
                                  loop::StreamOptions(), *this);
    RestartIdleTimer();
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() override { stream_->Close(); }

  void OnData(std::string_view data) override {
    reader_.Feed(data);
    for (;;) {
      http::ReadState state = reader_.Next();
      if (state == http::ReadState::kPartial) return RestartIdleTimer();
      if (state != http::ReadState::kComplete) return server_.Erase(*this);
      http::Request request = reader_.Take();
      http::Response response = server_.handler_(request);
      response.keep_alive = request.keep_alive;
      std::string bytes;
      http::Append(response, request.method == "HEAD", bytes);
      stream_->Write(bytes);
      if (request.keep_alive) continue;
      stream_->CloseAfterWrites();
      return server_.Erase(*this);
    }
  }

  void OnEnd(loop::StreamEnd) override { server_.Erase(*this); }

 private:
  void RestartIdleTimer() {
    idle_.Start(kIdleTimeout, [this] { server_.Erase(*this); });
  }

  PageServer& server_;
  loop::StreamPtr stream_;
  http::RequestReader reader_;
  loop::Timer idle_;
};

PageServer::PageServer(boost::asio::io_context& io, loop::Timers& timers,
                       const std::string& listen, Handler handler)
    : timers_(timers),
      handler_(std::move(handler)),
      acceptor_(
          io, timers, listen, [this](boost::asio::ip::tcp::socket socket) {
            if (connections_.size() >= kMaxConnections) return;
            auto owned = std::make_unique<Connection>(*this, std::move(socket));
            Connection* connection = owned.get();
            connections_[connection] = std::move(owned);
          }) {}

PageServer::~PageServer() = default;

void PageServer::Erase(Connection& connection) {
  connections_.erase(&connection);
}

void PageServer::Close() {
  acceptor_.Close();
  connections_.clear();
}

}  // namespace almondwind::sidecar
