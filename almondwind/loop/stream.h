// One TCP connection on the event loop: dialled or accepted.
//
// Reads go through one buffer of the whole process, so that an idle connection
// costs no read buffer. Writes are tried at once; what the socket does not
// take is kept and written later.
//
//   StreamPtr stream = Stream::Dial(io, timers, endpoint, options, events);
//   stream->Write("...");
//   stream->CloseAfterWrites();
//
// Events come from the loop, never from inside a call on the stream. After
// Close, or after OnEnd, none follow. The owner drops its events by
// Close before it is destroyed.
//
// Bounds: Options::max_unwritten_bytes waiting to be written, beyond which the
// stream is reset and ends. Not thread-safe.
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

// How the other side ended a stream.
enum class StreamEnd : uint8_t {
  kClosed,      // orderly, after its last byte
  kReset,       // by an error, or by silence of the network
  kUnreachable  // the dial failed
};

class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  // A dialled stream stands.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  virtual void OnEnd(StreamEnd end) = 0;
  // All that was written has left the process.
  virtual void OnDrained() {}
};

struct StreamOptions {
  base::Millis dial_timeout{1000};
  // Time that written bytes may stay unacknowledged before the kernel resets
  // the connection; it also bounds the silence of an idle one.
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
  static boost::intrusive_ptr<Stream> Adopt(Timers& timers, Tcp::socket socket,
                                            const StreamOptions& options,
                                            StreamEvents& events);

  void Write(std::string_view data);
  // Takes no further events; resets if the other side has unread data.
  void Close();
  // Writes what waits, tells the other side that no more follows, and reads
  // on for a moment, so that it gets the last bytes. No events follow.
  void CloseAfterWrites();
  // While paused nothing is read, so the other side is held back.
  void PauseReading();
  void ResumeReading();

  // Whether the other side has closed or reset, also behind bytes that have
  // not been read; for streams whose reading is paused. One system call.
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
  Timer timer_;  // of the dial, then of the last reads after a close
  std::string write_buffer_;
  size_t written_bytes_ = 0;  // bytes of write_buffer_ that are written
  bool connected_ = false;
  bool read_wait_pending_ = false;  // a wait for bytes is pending
  bool reading_paused_ = false;
  bool write_wait_pending_ = false;
  bool closing_after_writes_ = false;  // after CloseAfterWrites
};
using StreamPtr = boost::intrusive_ptr<Stream>;

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_STREAM_H_
