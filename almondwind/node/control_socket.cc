#include "almondwind/node/control_socket.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <stdexcept>
#include <string_view>

#include "almondwind/node/node.h"

namespace almondwind::node {
namespace {

constexpr nng_duration kReceiveTimeoutMs = 200;
constexpr nng_duration kRedialMinMs = 100;
constexpr nng_duration kRedialMaxMs = 2000;
constexpr int kSendBufferMessages = 16;

void Check(int result, const std::string& what) {
  if (result == 0) return;
  throw std::runtime_error(what + ": " + nng_strerror(result) +
                           "; remedy: free the address or set another one");
}

}  // namespace

ControlSocket::ControlSocket(ControlSocketOptions options)
    : options_(std::move(options)) {}

ControlSocket::~ControlSocket() { Close(); }

void ControlSocket::Start(Node& node) {
  Check(nng_pull0_open(&listener_), "control socket");
  nng_socket_set_ms(listener_, NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
  nng_socket_set_size(listener_, NNG_OPT_RECVMAXSZ, options_.message_bytes);
  std::string url = "tcp://" + options_.listen;
  Check(nng_listen(listener_, url.c_str(), nullptr, 0), "control " + url);
  receiver_ = std::thread([this, &node] { Receive(node); });
}

void ControlSocket::Receive(Node& node) {
  while (!closed_) {
    char* data = nullptr;
    size_t size = 0;
    int result = nng_recv(listener_, &data, &size, NNG_FLAG_ALLOC);
    if (result == NNG_ECLOSED) return;
    if (result != 0) continue;
    node.OnControl(std::string_view(data, size));
    nng_free(data, size);
  }
}

void ControlSocket::Close() {
  if (closed_.exchange(true)) return;
  if (receiver_.joinable()) {
    nng_close(listener_);
    receiver_.join();
  }
  for (auto& [address, peer] : peers_) nng_close(peer.socket);
  peers_.clear();
}

ControlSocket::Peer* ControlSocket::PeerAt(const std::string& address) {
  auto it = peers_.find(address);
  if (it != peers_.end()) return &it->second;
  if (peers_.size() >= options_.peers) {
    auto older = [](const auto& a, const auto& b) {
      return a.second.used < b.second.used;
    };
    auto oldest = std::min_element(peers_.begin(), peers_.end(), older);
    nng_close(oldest->second.socket);
    peers_.erase(oldest);
  }
  Peer peer{};
  if (nng_push0_open(&peer.socket) != 0) return nullptr;
  // Without a buffer, a message sent before the connection is up is lost.
  nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, kRedialMinMs);
  nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, kRedialMaxMs);
  std::string url = "tcp://" + address;
  if (nng_dial(peer.socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(peer.socket);
    return nullptr;
  }
  return &peers_.emplace(address, peer).first->second;
}

void ControlSocket::SendControl(const std::string& address,
                                const std::string& bytes) {
  if (closed_) return;
  Peer* peer = PeerAt(address);
  if (peer == nullptr) return;
  peer->used = ++uses_;
  // nng copies the bytes; the cast is needed only for its C signature.
  nng_send(peer->socket, const_cast<char*>(bytes.data()), bytes.size(),
           NNG_FLAG_NONBLOCK);
}

}  // namespace almondwind::node
