#include "almondwind/links/http_client.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/defer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "almondwind/http/reader.h"

namespace almondwind::links {

namespace beast = boost::beast;
namespace http = beast::http;
namespace net = boost::asio;
using base::EndKind;
using beast::error_code;

namespace {

constexpr size_t kReadBytes = 8192;

almondwind::http::ReaderOptions ReaderOptionsFrom(
    const HttpClientOptions& options) {
  almondwind::http::ReaderOptions out;
  out.max_body_bytes = options.answer_bytes;
  return out;
}

HttpResponse ToBeast(almondwind::http::Response response) {
  HttpResponse out;
  out.result(static_cast<unsigned>(response.status));
  out.reason(response.reason);
  for (const almondwind::http::Header& field : response.headers.fields()) {
    out.insert(field.name, field.value);
  }
  out.body() = std::move(response.body);
  return out;
}

}  // namespace

// A connection, which carries one exchange at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpClient& client, const HttpClient::Endpoint& endpoint)
      : client_(client),
        endpoint_(endpoint),
        stream_(net::make_strand(client.io_)),
        reader_(ReaderOptionsFrom(client.options_)) {
    ++client_.open_;
  }
  ~HttpConnection() { --client_.open_; }

  const HttpClient::Endpoint& endpoint() const { return endpoint_; }

  void Run(HttpRequest request, HttpHandler handler, uint64_t exchange_id);
  void Cancel(uint64_t exchange_id);
  // Returns whether this idle connection is open and has no unread bytes.
  bool IsOpen();
  uint64_t NextExchangeId() { return ++last_id_; }

 private:
  void Connect();
  void Write();
  void Read();
  void OnRead(error_code ec, size_t size);
  void OnResponse();
  void Fail(EndKind kind);

  HttpClient& client_;
  const HttpClient::Endpoint endpoint_;
  beast::tcp_stream stream_;
  bool connected_ = false;
  std::atomic<uint64_t> last_id_{0};  // of the latest exchange
  // Latest exchange cancelled, and the one in progress (0: none); both guarded
  // by the strand.
  uint64_t cancelled_id_ = 0;
  uint64_t current_id_ = 0;
  HttpRequest request_;
  HttpHandler handler_;
  std::array<char, kReadBytes> buffer_{};
  almondwind::http::ResponseReader reader_;
};

namespace {

class Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<HttpConnection> connection, uint64_t exchange_id)
      : connection_(std::move(connection)), exchange_id_(exchange_id) {}
  void Cancel() override { connection_->Cancel(exchange_id_); }

 private:
  std::shared_ptr<HttpConnection> connection_;
  uint64_t exchange_id_;
};

// An exchange that failed because no connection was available.
class FailedExchange : public HttpExchange {
 public:
  void Cancel() override {}
};

}  // namespace

void HttpConnection::Run(HttpRequest request, HttpHandler handler,
                         uint64_t exchange_id) {
  auto self = shared_from_this();
  // Deferred rather than posted, so that the same worker runs it next and no
  // other one has to be woken.
  net::defer(stream_.get_executor(),
             [self, exchange_id, request = std::move(request),
              handler = std::move(handler)]() mutable {
               if (self->cancelled_id_ >= exchange_id) return;
               self->current_id_ = exchange_id;
               self->request_ = std::move(request);
               self->handler_ = std::move(handler);
               self->connected_ ? self->Write() : self->Connect();
             });
}

void HttpConnection::Connect() {
  auto self = shared_from_this();
  stream_.async_connect(endpoint_, [self](error_code ec) {
    if (ec) return self->Fail(EndKind::kUnreachable);
    self->connected_ = true;
    self->stream_.socket().set_option(net::ip::tcp::no_delay(true), ec);
    self->Write();
  });
}

void HttpConnection::Write() {
  auto self = shared_from_this();
  http::async_write(stream_, request_, [self](error_code ec, size_t) {
    // Part of the request may have arrived, so the server may have run it.
    if (ec) return self->Fail(EndKind::kClosed);
    self->Read();
  });
}

void HttpConnection::Read() {
  auto self = shared_from_this();
  stream_.async_read_some(
      net::buffer(buffer_),
      [self](error_code ec, size_t size) { self->OnRead(ec, size); });
}

void HttpConnection::OnRead(error_code ec, size_t size) {
  using almondwind::http::ReadState;
  bool ended = ec == net::error::eof;
  if (ec && !ended) return Fail(EndKind::kClosed);
  reader_.Feed({buffer_.data(), size});
  bool to_head = request_.method() == http::verb::head;
  switch (ended ? reader_.FinishAtEof(to_head) : reader_.Next(to_head)) {
    case ReadState::kComplete:
      return OnResponse();
    case ReadState::kPartial:
      return ended ? Fail(EndKind::kClosed) : Read();
    case ReadState::kHeaderTooLarge:
    case ReadState::kBodyTooLarge:
      return Fail(EndKind::kTooLarge);
    case ReadState::kMalformed:
    case ReadState::kBodyFollows:  // not without a streaming threshold
      return Fail(ended ? EndKind::kClosed : EndKind::kUnusable);
  }
}

void HttpConnection::OnResponse() {
  almondwind::http::Response response = reader_.Take();
  // Bytes behind the answer belong to no request.
  bool reusable = response.keep_alive && !reader_.in_message();
  HttpResult result;
  result.kind = EndKind::kAnswer;
  result.response = ToBeast(std::move(response));
  current_id_ = 0;
  HttpHandler handler = std::move(handler_);
  // Released first, so that a request sent by the handler can reuse it.
  if (reusable) client_.ReleaseConnection(shared_from_this());
  handler(std::move(result));
}

void HttpConnection::Fail(EndKind kind) {
  error_code ignored;
  stream_.socket().close(ignored);
  if (current_id_ == 0 || cancelled_id_ >= current_id_) return;
  current_id_ = 0;
  HttpHandler handler = std::move(handler_);
  HttpResult result;
  result.kind = kind;
  handler(std::move(result));
}

void HttpConnection::Cancel(uint64_t exchange_id) {
  auto self = shared_from_this();
  net::post(stream_.get_executor(), [self, exchange_id] {
    // Does nothing if the exchange has ended, because the connection may
    // already serve another one.
    if (self->last_id_ != exchange_id) return;
    self->cancelled_id_ = exchange_id;
    if (self->current_id_ != exchange_id) return;
    self->current_id_ = 0;
    self->handler_ = nullptr;
    error_code ignored;
    self->stream_.socket().close(ignored);
  });
}

bool HttpConnection::IsOpen() {
  char byte = 0;
  ssize_t received = ::recv(stream_.socket().native_handle(), &byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

HttpClient::ConnectionPtr HttpClient::AcquireConnection(
    const Endpoint& endpoint) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<ConnectionPtr>& idle = idle_[endpoint];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsOpen()) return connection;
  }
  if (open_ >= options_.connections) return nullptr;
  return std::make_shared<HttpConnection>(*this, endpoint);
}

void HttpClient::ReleaseConnection(const ConnectionPtr& connection) {
  std::lock_guard<std::mutex> lock(mutex_);
  idle_[connection->endpoint()].push_back(connection);
}

std::shared_ptr<HttpExchange> HttpClient::Send(const Endpoint& endpoint,
                                               HttpRequest request,
                                               HttpHandler handler) {
  request.prepare_payload();
  ConnectionPtr connection = AcquireConnection(endpoint);
  if (connection == nullptr) {
    net::post(io_, [handler = std::move(handler)] {
      HttpResult result;
      result.kind = EndKind::kUnreachable;
      handler(std::move(result));
    });
    return std::make_shared<FailedExchange>();
  }
  uint64_t exchange_id = connection->NextExchangeId();
  connection->Run(std::move(request), std::move(handler), exchange_id);
  return std::make_shared<Exchange>(std::move(connection), exchange_id);
}

}  // namespace almondwind::links
