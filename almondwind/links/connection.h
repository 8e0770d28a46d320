// One TCP connection that carries frames between two nodes; used by Mesh.
//
// Frames are read one at a time and handed to the mesh. Frames to be written
// wait in a queue of at most MeshOptions::max_queue_bytes; a frame beyond the
// bound closes the connection. Reads and teardown run on the socket's strand.
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

  // Host of the gate on a dialed connection; empty on an accepted one.
  std::string host;
  // Session of an accepted connection, 0 before Hello; guarded by the strand.
  uint64_t session = 0;

  // Connects, sends `hello` and reads frames. Closes the connection if no frame
  // arrives within MeshOptions::handshake_timeout.
  void Dial(const boost::asio::ip::tcp::endpoint& endpoint,
            const Message& hello);
  // Reads frames until the connection closes.
  void Read();
  // Queues a frame. Returns false if the connection is closed, or if the queue
  // is full, which closes the connection. Thread-safe.
  bool Write(std::string frame);
  // Closes the connection asynchronously. Thread-safe.
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
  std::mutex mutex_;     // guards the members below
  std::deque<std::string> queue_;
  size_t queue_bytes_ = 0;
  bool open_ = true;
  bool writing_ = false;
};

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_CONNECTION_H_
