#include "almondwind/loop/stream.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace almondwind::loop {

using base::Millis;
using boost::system::error_code;
namespace net = boost::asio;

namespace {

// Read buffer shared by all streams: the loop has one thread, and OnData copies
// the data that it keeps.
constexpr size_t kReadBufferBytes = 64u << 10;
std::array<char, kReadBufferBytes>& ReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

// Limits the time for writing and the peer's close after CloseAfterWrites.
constexpr Millis kLingerTimeout{1000};
// Written bytes are erased from the front of the write buffer only beyond this
// size. An empty buffer of a larger capacity is freed.
constexpr size_t kCompactBytes = 64u << 10;

void SetSocketOption(int fd, int level, int name, int value) {
  // Errors are ignored: without TCP_USER_TIMEOUT the connection works, but the
  // loss of the peer is detected later.
  (void)setsockopt(fd, level, name, &value, sizeof value);
}

}  // namespace

StreamEnd EndOf(const error_code& read_error, bool write_failed) {
  // The kernel reports a reset once. After a write has, reads end as after an
  // orderly close.
  bool orderly = read_error == net::error::eof && !write_failed;
  return orderly ? StreamEnd::kClosed : StreamEnd::kReset;
}

Stream::Stream(Timers& timers, Tcp::socket socket, const StreamOptions& options,
               StreamEvents& events)
    : socket_(std::move(socket)),
      options_(options),
      events_(&events),
      timer_(timers) {}

StreamPtr Stream::Dial(net::io_context& io, Timers& timers,
                       const Tcp::endpoint& endpoint,
                       const StreamOptions& options, StreamEvents& events) {
  StreamPtr stream(new Stream(timers, Tcp::socket(io), options, events));
  stream->remote_ = endpoint;
  stream->timer_.Start(options.dial_timeout,
                       [stream] { stream->End(StreamEnd::kUnreachable); });
  stream->socket_.async_connect(
      endpoint, [stream](error_code ec) { stream->OnDialDone(ec); });
  return stream;
}

StreamPtr Stream::Adopt(Timers& timers, Tcp::socket socket,
                        const StreamOptions& options, StreamEvents& events) {
  error_code ec;
  Tcp::endpoint remote = socket.remote_endpoint(ec);
  StreamPtr stream(new Stream(timers, std::move(socket), options, events));
  stream->remote_ = remote;
  stream->connected_ = true;
  stream->Configure();
  stream->WaitRead();
  return stream;
}

void Stream::Configure() {
  error_code ec;
  socket_.non_blocking(true, ec);
  if (ec) return End(StreamEnd::kReset);
  int fd = socket_.native_handle();
  SetSocketOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(options_.tcp_user_timeout.count()));
}

void Stream::OnDialDone(error_code ec) {
  if (events_ == nullptr && !closing_after_writes_) return;
  timer_.Stop();
  if (ec) return End(StreamEnd::kUnreachable);
  connected_ = true;
  Configure();
  if (events_ != nullptr) events_->OnConnected();
  if (!socket_.is_open()) return;
  WaitRead();
  Flush();
}

void Stream::WaitRead() {
  if (read_wait_pending_ || reading_paused_ || !socket_.is_open()) return;
  read_wait_pending_ = true;
  StreamPtr self(this);
  socket_.async_wait(Tcp::socket::wait_read, [self](error_code ec) {
    self->read_wait_pending_ = false;
    if (!ec && self->socket_.is_open()) self->OnReadable();
  });
}

void Stream::OnReadable() {
  if (reading_paused_) return;
  StreamPtr self(this);
  auto& buffer = ReadBuffer();
  error_code ec;
  size_t received = socket_.read_some(net::buffer(buffer), ec);
  if (ec == net::error::would_block || ec == net::error::try_again) {
    return WaitRead();
  }
  if (ec) return End(EndOf(ec, write_failed_));
  try {
    if (events_ != nullptr) events_->OnData({buffer.data(), received});
  } catch (...) {
    // What the handler has done with the data is unknown, so the connection
    // cannot go on. The exception is reported where the loop runs.
    End(StreamEnd::kReset);
    throw;
  }
  WaitRead();
}

void Stream::Write(std::string_view data) {
  if (events_ == nullptr) return;
  if (written_bytes_ > kCompactBytes) {
    write_buffer_.erase(0, written_bytes_);
    written_bytes_ = 0;
  }
  if (unwritten() + data.size() > options_.max_unwritten_bytes) {
    // The peer does not read; buffering more would only use memory.
    CloseSocket();
    StreamPtr self(this);
    net::post(socket_.get_executor(), [self] { self->End(StreamEnd::kReset); });
    return;
  }
  write_buffer_.append(data);
  if (connected_ && !write_wait_pending_) Flush();
}

void Stream::Flush() {
  while (unwritten() > 0) {
    error_code ec;
    size_t sent =
        socket_.write_some(net::buffer(write_buffer_.data() + written_bytes_,
                                       write_buffer_.size() - written_bytes_),
                           ec);
    if (ec == net::error::would_block || ec == net::error::try_again) {
      return WaitWrite();
    }
    if (ec) {
      // The pending read reports the end, after data that arrived before it.
      write_failed_ = true;
      write_buffer_.clear();
      written_bytes_ = 0;
      if (closing_after_writes_) CloseSocket();
      return;
    }
    written_bytes_ += sent;
  }
  write_buffer_.clear();
  written_bytes_ = 0;
  if (write_buffer_.capacity() > kCompactBytes) write_buffer_.shrink_to_fit();
  if (closing_after_writes_) ShutdownSend();
}

void Stream::WaitWrite() {
  write_wait_pending_ = true;
  StreamPtr self(this);
  socket_.async_wait(Tcp::socket::wait_write, [self](error_code ec) {
    self->write_wait_pending_ = false;
    if (ec || !self->socket_.is_open()) return;
    self->Flush();
    if (self->unwritten() == 0 && self->events_ != nullptr) {
      self->events_->OnDrained();
    }
  });
}

void Stream::Close() {
  events_ = nullptr;
  CloseSocket();
}

void Stream::CloseAfterWrites() {
  if (!socket_.is_open() || closing_after_writes_) return;
  events_ = nullptr;
  closing_after_writes_ = true;
  if (!connected_) return CloseSocket();
  StreamPtr self(this);
  timer_.Start(kLingerTimeout, [self] { self->CloseSocket(); });
  reading_paused_ = false;
  if (unwritten() == 0) ShutdownSend();
  WaitRead();
}

void Stream::ShutdownSend() {
  error_code ec;
  socket_.shutdown(Tcp::socket::shutdown_send, ec);
  if (ec) CloseSocket();
}

void Stream::PauseReading() { reading_paused_ = true; }

bool Stream::peer_closed() {
  if (!socket_.is_open()) return true;
  pollfd peer{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&peer, 1, 0) > 0;
}

void Stream::ResumeReading() {
  reading_paused_ = false;
  if (connected_) WaitRead();
}

void Stream::End(StreamEnd end) {
  StreamPtr self(this);
  StreamEvents* events = std::exchange(events_, nullptr);
  CloseSocket();
  if (events != nullptr) events->OnEnd(end);
}

void Stream::CloseSocket() {
  timer_.Stop();
  error_code ec;
  // The error is ignored: the descriptor is released even if close fails.
  socket_.close(ec);
}

}  // namespace almondwind::loop
