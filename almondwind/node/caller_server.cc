#include "almondwind/node/caller_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/defer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/node/node.h"

namespace almondwind::node {

namespace beast = boost::beast;
namespace http = beast::http;
namespace net = boost::asio;
using beast::error_code;

namespace {
constexpr size_t kReadBytes = 4096;
}  // namespace

class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(CallerServer& server, net::ip::tcp::socket socket)
      : server_(server), stream_(std::move(socket)) {
    ++server_.connections_;
    // Beast reads at most the buffer's capacity at a time, or 512 bytes if
    // nothing is reserved.
    buffer_.reserve(kReadBytes);
  }
  ~CallerSession() { --server_.connections_; }

  void Read();
  void Answer(Reply reply);
  void CloseIfIdle();
  beast::tcp_stream::executor_type executor() { return stream_.get_executor(); }

 private:
  using Response = http::response<http::string_body>;

  void OnRead(error_code ec);
  void Dispatch();
  CallerRequest Parse() const;
  void Refuse(const base::Error& error);
  void WatchForClose();
  bool PeerClosed();
  void Write(Response response);

  CallerServer& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<Response> response_;
  uint64_t caller_ = 0;  // id of the request in progress; 0: none
  bool keep_alive_ = true;
  bool awaiting_request_ = false;  // no byte of the next request has been read
};

namespace {

std::string Header(const http::request<http::string_body>& request,
                   beast::string_view name) {
  auto it = request.find(name);
  return it == request.end() ? std::string() : std::string(it->value());
}

int64_t ParseTimeout(const std::string& text) {
  if (text.empty()) return 0;
  int64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw base::Error(base::Reason::kMalformed,
                      "X-Request-Timeout-Ms is no integer");
  }
  // In CallerRequest 0 means that no timeout was given; a timeout of zero has
  // expired, which a negative value expresses.
  return value == 0 ? -1 : value;
}

std::string ErrorBody(base::Reason reason, const std::string& detail) {
  nlohmann::json body = {{"reason", base::ReasonName(reason)},
                         {"remedy", base::ReasonRemedy(reason)}};
  if (!detail.empty()) body["detail"] = detail;
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void CallerSession::Read() {
  awaiting_request_ = true;
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(server_.options_.header_bytes));
  parser_->body_limit(server_.options_.body_bytes);
  stream_.expires_after(
      std::chrono::milliseconds(server_.options_.idle.count()));
  http::async_read(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code ec, size_t) { self->OnRead(ec); });
}

void CallerSession::CloseIfIdle() {
  error_code ec;
  bool no_input = buffer_.size() == 0 && stream_.socket().available(ec) == 0;
  if (!awaiting_request_ || !no_input) return;
  stream_.socket().close(ec);
}

void CallerSession::OnRead(error_code ec) {
  awaiting_request_ = false;
  if (ec == net::error::operation_aborted) return;
  if (ec == http::error::body_limit) {
    keep_alive_ = false;
    return Refuse(base::Error(base::Reason::kBodyTooLarge, "request body"));
  }
  if (ec == http::error::end_of_stream || ec == net::error::eof ||
      ec == beast::error::timeout || ec == net::error::connection_reset) {
    error_code ignored;
    stream_.socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  if (ec) {
    keep_alive_ = false;
    return Refuse(base::Error(base::Reason::kMalformed, ec.message()));
  }
  keep_alive_ = parser_->get().keep_alive();
  Dispatch();
}

CallerRequest CallerSession::Parse() const {
  const auto& message = parser_->get();
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.request_id = Header(message, "X-Request-Id");
  request.request_class = Header(message, "X-Request-Class");
  request.timeout_ms = ParseTimeout(Header(message, "X-Request-Timeout-Ms"));
  request.key = Header(message, "Idempotency-Key");
  request.content_type = Header(message, "Content-Type");
  return request;
}

void CallerSession::Dispatch() {
  stream_.expires_never();
  try {
    CallerRequest request = Parse();
    request.body = std::move(parser_->get().body());
    caller_ = server_.RegisterCaller(shared_from_this());
    request.caller = caller_;
    WatchForClose();
    server_.node_->OnCallerRequest(request);
  } catch (const base::Error& e) {
    server_.UnregisterCaller(caller_);
    Refuse(e);
  }
}

void CallerSession::Refuse(const base::Error& error) {
  Reply reply;
  // The request was not forwarded, so it was certainly not run.
  reply.outcome = base::Outcome::kNotRun;
  reply.reason = error.reason();
  reply.body = error.what();
  Answer(std::move(reply));
}

// Detects that the caller closes the connection while its request is in
// progress. Bytes that arrive belong to the next request and end the watch.
void CallerSession::WatchForClose() {
  if (buffer_.size() > 0) return;
  stream_.socket().async_wait(
      net::ip::tcp::socket::wait_read,
      [self = shared_from_this(), caller = caller_](error_code ec) {
        if (ec || self->caller_ != caller) return;
        if (self->PeerClosed()) self->server_.node_->OnCallerGone(caller);
      });
}

bool CallerSession::PeerClosed() {
  char byte = 0;
  ssize_t got = ::recv(stream_.socket().native_handle(), &byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerSession::Answer(Reply reply) {
  caller_ = 0;
  error_code ignored;
  stream_.socket().cancel(ignored);  // ends the watch
  Response response;
  response.version(11);
  response.set("X-Outcome",
               std::string(base::NameOf(base::kOutcomeNames, reply.outcome)));
  if (!reply.request_id.empty()) {
    response.set("X-Request-Id", reply.request_id);
  }
  if (!reply.contract.empty()) response.set("X-Contract", reply.contract);
  if (reply.outcome == base::Outcome::kAnswered) {
    response.result(reply.status);
    response.set(http::field::content_type, reply.content_type);
    response.body() = std::move(reply.body);
  } else {
    response.result(static_cast<unsigned>(base::ReasonStatus(reply.reason)));
    response.set("X-Reason", std::string(base::ReasonName(reply.reason)));
    response.set(http::field::content_type, "application/json");
    if (reply.outcome == base::Outcome::kNotRun) {
      // Whole seconds, as HTTP has it, and the finer value beside it.
      int64_t after = reply.retry_after.count();
      response.set(http::field::retry_after, std::to_string(after / 1000 + 1));
      response.set("X-Retry-After-Ms", std::to_string(after));
    }
    response.body() = ErrorBody(reply.reason, reply.body);
  }
  Write(std::move(response));
}

void CallerSession::Write(Response response) {
  bool keep = keep_alive_ && !server_.closing_;
  response.keep_alive(keep);
  response.prepare_payload();
  response_.emplace(std::move(response));
  http::async_write(stream_, *response_,
                    [self = shared_from_this(), keep](error_code ec, size_t) {
                      if (ec) return;
                      if (keep) return self->Read();
                      error_code ignored;
                      self->stream_.socket().shutdown(
                          net::ip::tcp::socket::shutdown_send, ignored);
                    });
}

CallerServer::CallerServer(net::io_context& io, CallerServerOptions options)
    : io_(io), options_(std::move(options)), acceptor_(net::make_strand(io)) {}

CallerServer::~CallerServer() = default;

void CallerServer::Listen() {
  net::ip::tcp::endpoint endpoint = loop::ParseEndpoint(options_.listen);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(net::socket_base::max_listen_connections);
  Accept();
}

void CallerServer::Accept() {
  acceptor_.async_accept(
      net::make_strand(io_),
      net::bind_executor(acceptor_.get_executor(),
                         [this](error_code ec, net::ip::tcp::socket socket) {
                           if (!ec) StartSession(std::move(socket));
                           acceptor_.is_open() ? Accept() : EndAccepting();
                         }));
}

void CallerServer::StartSession(net::ip::tcp::socket socket) {
  if (connections_ >= static_cast<int>(options_.connections)) return;
  error_code ignored;
  socket.set_option(net::ip::tcp::no_delay(true), ignored);
  auto session = std::make_shared<CallerSession>(*this, std::move(socket));
  TrackSession(session);
  // Runs on the session's own strand, because another thread may handle its
  // first bytes.
  net::post(session->executor(), [session] { session->Read(); });
}

void CallerServer::StopAccepting() {
  net::post(acceptor_.get_executor(), [this] {
    error_code ec;
    // Closing the acceptor resets the connections in its backlog, on which
    // requests may already have arrived.
    acceptor_.non_blocking(true, ec);
    while (!ec && acceptor_.is_open()) {
      net::ip::tcp::socket socket(net::make_strand(io_));
      acceptor_.accept(socket, ec);
      if (!ec) StartSession(std::move(socket));
    }
    acceptor_.close(ec);
  });
}

// Called after the last accept has completed, so that no connection is added
// later.
void CallerServer::EndAccepting() { stopped_accepting_ = true; }

void CallerServer::TrackSession(const std::shared_ptr<CallerSession>& session) {
  std::lock_guard<std::mutex> lock(mutex_);
  // Limits the list to twice the number of open connections plus 16.
  if (sessions_.size() > 2 * static_cast<size_t>(connections_) + 16) {
    auto ended = [](const auto& weak) { return weak.expired(); };
    sessions_.erase(std::remove_if(sessions_.begin(), sessions_.end(), ended),
                    sessions_.end());
  }
  sessions_.push_back(session);
}

void CallerServer::CloseIdle() {
  std::vector<std::shared_ptr<CallerSession>> open;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto& weak : sessions_) {
      if (auto session = weak.lock()) open.push_back(std::move(session));
    }
  }
  for (auto& session : open) {
    CallerSession* raw = session.get();
    net::post(raw->executor(),
              [session = std::move(session)] { session->CloseIfIdle(); });
  }
}

uint64_t CallerServer::RegisterCaller(
    const std::shared_ptr<CallerSession>& session) {
  std::lock_guard<std::mutex> lock(mutex_);
  uint64_t caller = next_caller_++;
  callers_[caller] = session;
  return caller;
}

void CallerServer::UnregisterCaller(uint64_t caller) {
  std::lock_guard<std::mutex> lock(mutex_);
  callers_.erase(caller);
}

void CallerServer::Answer(uint64_t caller, Reply reply) {
  std::shared_ptr<CallerSession> session;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    auto it = callers_.find(caller);
    if (it == callers_.end()) return;
    session = std::move(it->second);
    callers_.erase(it);
  }
  // Deferred, because the node calls with its lock held. net::defer prefers the
  // current thread, so that no other one has to be woken.
  CallerSession* raw = session.get();
  net::defer(raw->executor(), [session = std::move(session),
                               reply = std::move(reply)]() mutable {
    session->Answer(std::move(reply));
  });
}

}  // namespace almondwind::node
