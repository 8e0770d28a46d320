// Transport of control messages between nodes, over nng.
//
// Each node receives on one listening pull socket and sends on one push socket
// per peer. At most ControlSocketOptions::peers push sockets are open; the
// least recently used one is closed to make room. Sending never blocks, and
// nothing is re-sent: a message is dropped if the connection is down or its
// buffer full. The digests that relays exchange recover what was lost.
//
// nng carries control messages only, never calls.
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

  // Listens, and passes messages to `node` on a separate thread. Throws
  // std::runtime_error if the port is in use.
  void Start(Node& node);
  void Close();

  // Must be called with the node's lock held, which guards peers_.
  void SendControl(const std::string& address,
                   const std::string& bytes) override;

 private:
  struct Peer {
    nng_socket socket;
    uint64_t used;  // value of uses_ at the last send
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
