// One TCP connection that carries frames; part of Mesh.
#ifndef ALMONDWIND_LINKS_CONNECTION_H_
#define ALMONDWIND_LINKS_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "almondwind/links/mesh.h"
#include "almondwind/links/message.h"

namespace almondwind::links {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Mesh& mesh, boost::asio::ip::tcp::socket socket);

  // The gate's host for a dialled link, empty for an accepted one.
  std::string host;
  // Of an accepted link, after Hello; guarded by the strand.
  uint64_t session = 0;

  // Dials, then reads.
  void Dial(const boost::asio::ip::tcp::endpoint& endpoint,
            const Message& hello);
  // Reads frames until the link closes.
  void Read();
  // Queues a frame; thread-safe. False: closed, or the queue was full and the
  // link is being closed.
  bool Write(std::string frame);
  // Thread-safe.
  void Close();

 private:
  void ReadHeader();
  void ReadFrame(uint32_t length);
  void WriteNext();
  void Fail();

  Mesh& mesh_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer handshake_timer_;
  std::array<unsigned char, 4> header_{};
  std::string frame_;
  bool closed_ = false;  // guarded by the strand
  std::mutex mutex_;     // guards the queue and open_
  std::deque<std::string> queue_;
  size_t queue_bytes_ = 0;
  bool open_ = true;
  bool writing_ = false;
};

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_CONNECTION_H_
