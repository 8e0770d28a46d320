// An outgoing or accepted TCP connection on the event loop.
//
// All streams of the process share one read buffer, so that an idle connection
// needs none. Write passes data to the socket immediately and buffers what the
// socket does not accept.
//
//   StreamPtr stream = Stream::Dial(io, timers, endpoint, options, events);
//   stream->Write("...");
//   stream->CloseAfterWrites();
//
// Events are delivered from the loop, not from inside a call on the stream.
// None follow after Close, CloseAfterWrites or OnEnd. An owner must call Close
// before its StreamEvents is destroyed.
//
// Bounds: at most StreamOptions::max_unwritten_bytes are buffered for writing;
// a write beyond that closes the stream, and OnEnd(kReset) follows. Not
// thread-safe.
#ifndef ALMONDWIND_LOOP_STREAM_H_
#define ALMONDWIND_LOOP_STREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>
#include <string_view>

#include "almondwind/base/clock.h"
#include "almondwind/loop/timers.h"

namespace almondwind::loop {

// How a stream ended.
enum class StreamEnd : uint8_t {
  kClosed,      // orderly close by the peer; all its data was delivered
  kReset,       // socket error, also of an earlier write, tcp_user_timeout or
                // write buffer overflow
  kUnreachable  // no connection, or none within dial_timeout
};

// Returns how a connection ended whose read failed with `read_error`.
// `write_failed`: a write had failed before.
StreamEnd EndOf(const boost::system::error_code& read_error, bool write_failed);

class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  // A dialed stream is connected.
  virtual void OnConnected() {}
  // `data` is valid only during the call.
  virtual void OnData(std::string_view data) = 0;
  virtual void OnEnd(StreamEnd end) = 0;
  // The socket has accepted all data that had to be buffered.
  virtual void OnDrained() {}
};

struct StreamOptions {
  base::Millis dial_timeout{1000};
  // Time that sent data may stay unacknowledged before the kernel resets the
  // connection (TCP_USER_TIMEOUT).
  base::Millis tcp_user_timeout{3000};
  size_t max_unwritten_bytes = 64u << 20;
};

class Stream : public boost::intrusive_ref_counter<Stream> {
 public:
  using Tcp = boost::asio::ip::tcp;

  static boost::intrusive_ptr<Stream> Dial(boost::asio::io_context& io,
                                           Timers& timers,
                                           const Tcp::endpoint& endpoint,
                                           const StreamOptions& options,
                                           StreamEvents& events);
  // Takes over an accepted socket.
  static boost::intrusive_ptr<Stream> Adopt(Timers& timers, Tcp::socket socket,
                                            const StreamOptions& options,
                                            StreamEvents& events);

  void Write(std::string_view data);
  // Closes immediately and drops unwritten data. The kernel sends a reset if
  // data from the peer is unread.
  void Close();
  // Writes the buffered data, shuts down sending, and discards what the peer
  // still sends, since closing with unread data would reset the connection and
  // the peer could lose the last bytes. Closes after at most a second. Drops
  // the data if the stream is not connected yet.
  void CloseAfterWrites();
  // Nothing is read while paused, so that TCP flow control stops the peer.
  void PauseReading();
  void ResumeReading();

  // Whether the peer has closed or reset the connection, even if data that it
  // sent before is unread. For streams whose reading is paused. Costs one
  // system call.
  bool peer_closed();

  bool open() const { return events_ != nullptr; }
  size_t unwritten() const { return write_buffer_.size() - written_bytes_; }
  const Tcp::endpoint& remote() const { return remote_; }

 private:
  Stream(Timers& timers, Tcp::socket socket, const StreamOptions& options,
         StreamEvents& events);

  void Configure();
  void OnDialDone(boost::system::error_code ec);
  void WaitRead();
  void OnReadable();
  void Flush();
  void WaitWrite();
  void ShutdownSend();
  void End(StreamEnd end);
  void CloseSocket();

  Tcp::socket socket_;
  Tcp::endpoint remote_;
  const StreamOptions options_;
  StreamEvents* events_;
  Timer timer_;  // bounds the dial, later CloseAfterWrites
  std::string write_buffer_;
  size_t written_bytes_ = 0;  // prefix of write_buffer_ already written
  bool connected_ = false;
  bool read_wait_pending_ = false;
  bool reading_paused_ = false;
  bool write_wait_pending_ = false;
  bool write_failed_ = false;
  bool closing_after_writes_ = false;
};
using StreamPtr = boost::intrusive_ptr<Stream>;

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_STREAM_H_
