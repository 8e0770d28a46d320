#include "almondwind/links/connection.h"

#include <boost/asio/defer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace almondwind::links {

namespace net = boost::asio;
using boost::system::error_code;

Connection::Connection(Mesh& mesh, net::ip::tcp::socket socket)
    : mesh_(mesh),
      socket_(std::move(socket)),
      handshake_timer_(socket_.get_executor()) {}

void Connection::Dial(const net::ip::tcp::endpoint& endpoint,
                      const Message& hello) {
  auto self = shared_from_this();
  handshake_timer_.expires_after(
      std::chrono::milliseconds(mesh_.options_.handshake_timeout.count()));
  handshake_timer_.async_wait([self](error_code ec) {
    if (!ec) self->Fail();
  });
  std::string frame = Encode(hello);
  socket_.async_connect(
      endpoint, [self, frame = std::move(frame)](error_code ec) mutable {
        if (ec) return self->Fail();
        self->socket_.set_option(net::ip::tcp::no_delay(true), ec);
        self->Write(std::move(frame));
        self->Read();
      });
}

void Connection::Read() {
  auto self = shared_from_this();
  net::dispatch(socket_.get_executor(), [self] { self->ReadHeader(); });
}

void Connection::ReadHeader() {
  auto self = shared_from_this();
  net::async_read(socket_, net::buffer(header_), [self](error_code ec, size_t) {
    if (ec) return self->Fail();
    self->ReadFrame(FrameLength(self->header_.data()));
  });
}

void Connection::ReadFrame(uint32_t length) {
  if (length == 0 || length > mesh_.options_.max_frame_bytes) return Fail();
  frame_.resize(length);
  auto self = shared_from_this();
  net::async_read(socket_, net::buffer(frame_), [self](error_code ec, size_t) {
    if (ec) return self->Fail();
    try {
      self->handshake_timer_.cancel();
      self->mesh_.OnFrame(self, Decode(self->frame_));
    } catch (const base::Error&) {
      return self->Fail();
    }
    if (!self->closed_) self->ReadHeader();
  });
}

bool Connection::Write(std::string frame) {
  auto self = shared_from_this();
  std::lock_guard<std::mutex> lock(mutex_);
  if (!open_) return false;
  if (queue_bytes_ + frame.size() > mesh_.options_.max_queue_bytes) {
    open_ = false;
    net::post(socket_.get_executor(), [self] { self->Fail(); });
    return false;
  }
  queue_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (!writing_) {
    writing_ = true;
    net::defer(socket_.get_executor(), [self] { self->WriteNext(); });
  }
  return true;
}

void Connection::WriteNext() {
  auto self = shared_from_this();
  std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.empty()) {
    writing_ = false;
    return;
  }
  // The frame stays at the front of the deque until it is written; push_back
  // does not move it.
  net::async_write(socket_, net::buffer(queue_.front()),
                   [self](error_code ec, size_t) {
                     if (ec) return self->Fail();
                     {
                       std::lock_guard<std::mutex> inner(self->mutex_);
                       self->queue_bytes_ -= self->queue_.front().size();
                       self->queue_.pop_front();
                     }
                     self->WriteNext();
                   });
}

void Connection::Close() {
  auto self = shared_from_this();
  net::post(socket_.get_executor(), [self] { self->Fail(); });
}

void Connection::Fail() {
  if (closed_) return;
  closed_ = true;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    open_ = false;
  }
  handshake_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  mesh_.OnClosed(shared_from_this());
}

}  // namespace almondwind::links
