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

// One read buffer for all streams: a loop has one thread, and OnData takes
// what it keeps.
constexpr size_t kReadBytes = 64u << 10;
std::array<char, kReadBytes>& ReadBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

// Time for the other side to read the last bytes after a close.
constexpr Millis kLinger{1000};
// Written bytes at the front of the buffer are dropped beyond this size.
constexpr size_t kCompactBytes = 64u << 10;

void SetOption(int fd, int level, int name, int value) {
  // A kernel without the option still serves; silence is then found later.
  (void)setsockopt(fd, level, name, &value, sizeof value);
}

}  // namespace

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
      endpoint, [stream](error_code ec) { stream->OnDialled(ec); });
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
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(options_.silence.count()));
}

void Stream::OnDialled(error_code ec) {
  if (events_ == nullptr && !finishing_) return;
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
  if (reading_ || paused_ || !socket_.is_open()) return;
  reading_ = true;
  StreamPtr self(this);
  socket_.async_wait(Tcp::socket::wait_read, [self](error_code ec) {
    self->reading_ = false;
    if (!ec && self->socket_.is_open()) self->OnReadable();
  });
}

void Stream::OnReadable() {
  if (paused_) return;
  StreamPtr self(this);
  auto& buffer = ReadBuffer();
  error_code ec;
  size_t got = socket_.read_some(net::buffer(buffer), ec);
  if (ec == net::error::would_block || ec == net::error::try_again) {
    return WaitRead();
  }
  if (ec == net::error::eof) return End(StreamEnd::kClosed);
  if (ec) return End(StreamEnd::kReset);
  if (events_ != nullptr) events_->OnData({buffer.data(), got});
  WaitRead();
}

void Stream::Write(std::string_view data) {
  if (events_ == nullptr) return;
  if (out_at_ > kCompactBytes) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  if (unwritten() + data.size() > options_.write_bytes) {
    // The other side does not read; keeping more would only cost memory.
    Shut();
    StreamPtr self(this);
    net::post(socket_.get_executor(), [self] { self->End(StreamEnd::kReset); });
    return;
  }
  out_.append(data);
  if (connected_ && !writing_) Flush();
}

void Stream::Flush() {
  while (unwritten() > 0) {
    error_code ec;
    size_t put = socket_.write_some(
        net::buffer(out_.data() + out_at_, out_.size() - out_at_), ec);
    if (ec == net::error::would_block || ec == net::error::try_again) {
      return WaitWrite();
    }
    if (ec) {
      // The end is reported by the pending read, with what came before it.
      out_.clear();
      out_at_ = 0;
      if (finishing_) Shut();
      return;
    }
    out_at_ += put;
  }
  out_.clear();
  out_at_ = 0;
  if (out_.capacity() > kCompactBytes) out_.shrink_to_fit();
  if (finishing_) FinishWrites();
}

void Stream::WaitWrite() {
  writing_ = true;
  StreamPtr self(this);
  socket_.async_wait(Tcp::socket::wait_write, [self](error_code ec) {
    self->writing_ = false;
    if (ec || !self->socket_.is_open()) return;
    self->Flush();
    if (self->unwritten() == 0 && self->events_ != nullptr) {
      self->events_->OnDrained();
    }
  });
}

void Stream::Close() {
  events_ = nullptr;
  Shut();
}

void Stream::CloseAfterWrites() {
  if (!socket_.is_open() || finishing_) return;
  events_ = nullptr;
  finishing_ = true;
  if (!connected_) return Shut();
  StreamPtr self(this);
  timer_.Start(kLinger, [self] { self->Shut(); });
  paused_ = false;
  if (unwritten() == 0) FinishWrites();
  WaitRead();
}

void Stream::FinishWrites() {
  error_code ec;
  socket_.shutdown(Tcp::socket::shutdown_send, ec);
  if (ec) Shut();
}

void Stream::PauseReading() { paused_ = true; }

bool Stream::peer_closed() {
  if (!socket_.is_open()) return true;
  pollfd probe{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&probe, 1, 0) > 0;
}

void Stream::ResumeReading() {
  paused_ = false;
  if (connected_) WaitRead();
}

void Stream::End(StreamEnd end) {
  StreamPtr self(this);
  StreamEvents* events = std::exchange(events_, nullptr);
  Shut();
  if (events != nullptr) events->OnEnd(end);
}

void Stream::Shut() {
  timer_.Stop();
  error_code ec;
  // Nothing is left to do about a failed close; the descriptor is gone.
  socket_.close(ec);
}

}  // namespace almondwind::loop
