// Control messages between nodes, over nng.
//
// Each node pulls from one listening socket and pushes over one dialled
// socket a peer, at most Options::peers of them; the least recently used
// gives way. Nothing here re-sends, and a full or broken way drops the
// message, which the relay's digests make good. Sending never blocks.
//
// nng is used for control only: no call passes here.
#ifndef ALMONDWIND_NODE_CONTROL_SOCKET_H_
#define ALMONDWIND_NODE_CONTROL_SOCKET_H_

#include <nng/nng.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "almondwind/teams/relay.h"

namespace almondwind::node {

class Node;

struct ControlSocketOptions {
  std::string listen;  // "ip:port"
  size_t peers = 32;
  size_t message_bytes = 2u << 20;
};

class ControlSocket : public teams::ControlChannel {
 public:
  explicit ControlSocket(ControlSocketOptions options);
  ~ControlSocket() override;

  // Listens and hands messages to `node` on a thread of its own. Throws
  // std::runtime_error if the port is taken.
  void Serve(Node& node);
  void Close();

  // Called with the node's lock held, which guards the table.
  void SendControl(const std::string& address,
                   const std::string& bytes) override;

 private:
  struct Peer {
    nng_socket socket;
    uint64_t used;
  };

  Peer* PeerAt(const std::string& address);
  void Receive(Node& node);

  const ControlSocketOptions options_;
  nng_socket listener_{};
  std::atomic<bool> closed_{false};
  std::thread receiver_;
  std::map<std::string, Peer> peers_;
  uint64_t uses_ = 0;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_CONTROL_SOCKET_H_
