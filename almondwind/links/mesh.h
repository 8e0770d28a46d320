// TCP links of one node: those it dials and those it accepts.
//
//   Mesh mesh(io, options, clock);
//   mesh.SetNode(node);      // before any other call
//   mesh.Listen();           // throws std::system_error if the port is taken
//
// A link is one connection. Frames are written whole and in order. A frame
// larger than MeshOptions::max_frame_bytes, or one that cannot be decoded,
// closes the link. Frames waiting to be written are bounded by
// MeshOptions::max_queue_bytes per link; a link that reaches the bound is
// closed, because its peer does not read fast enough.
//
// Threads: one mutex guards the tables of links, and each connection has one of
// its own; lock order: tables, then connection. Neither is held while the node
// is called. The node calls the mesh with its own lock held, so the mesh never
// calls the node from within such a call: events are posted to the workers.
#ifndef ALMONDWIND_LINKS_MESH_H_
#define ALMONDWIND_LINKS_MESH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "almondwind/base/clock.h"
#include "almondwind/node/shell.h"

namespace almondwind::node {
class Node;
}  // namespace almondwind::node

namespace almondwind::links {

struct MeshOptions {
  std::string host;
  std::string zone;
  std::string listen;  // "ip:port"
  size_t max_frame_bytes = 8u << 20;
  size_t max_queue_bytes = 32u << 20;
  // After a link failed or could not be established.
  base::Millis redial_delay{200};
  base::Millis handshake_timeout{2000};
};

class Connection;

class Mesh : public node::Links {
 public:
  Mesh(boost::asio::io_context& io, MeshOptions options,
       const base::Clock& clock);
  ~Mesh() override;

  void SetNode(node::Node& node) { node_ = &node; }
  void Listen();
  // Closes the listener and all links.
  void Close();

  node::LinkState Prepare(const zones::HostEntry& host) override;
  bool Send(const std::string& host, const Message& message) override;
  void Reply(uint64_t session, const Message& message) override;

 private:
  friend class Connection;
  struct OutboundLink {
    node::LinkState state = node::LinkState::kDown;
    std::string address;
    std::shared_ptr<Connection> connection;
    base::Millis next_dial{0};
  };

  void Accept();
  void Connect(const std::string& host, const std::string& address);
  void OnFrame(const std::shared_ptr<Connection>& connection,
               const Message& message);
  void OnClosed(const std::shared_ptr<Connection>& connection);
  void OnWelcome(const std::shared_ptr<Connection>& connection,
                 const Welcome& welcome);
  void OnHello(const std::shared_ptr<Connection>& connection,
               const Hello& hello);

  boost::asio::io_context& io_;
  const MeshOptions options_;
  const base::Clock& clock_;
  node::Node* node_ = nullptr;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex mutex_;  // guards the two tables
  std::unordered_map<std::string, OutboundLink> outbound_links_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> sessions_;
};

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_MESH_H_
