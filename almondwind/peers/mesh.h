// The links between this sidecar node and its peers.
//
// A peer is known by the address at which it accepts links. One link a peer is
// enough, so of two nodes the one with the smaller address dials at once and
// the other waits a moment; either takes over when the other cannot dial, for
// example because it knows nobody yet.
//
// A link shows that it is alive by the State frames that both sides send every
// Options::heartbeat_interval. One that is silent for Options::silence_timeout
// is given up, and a new one is dialled beside it.
//
//   Mesh mesh(io, timers, options, events);
//   mesh.SetTargets({"10.1.0.8:8300"});
//   Link* link = mesh.Find("10.1.0.8:8300");
//   if (link != nullptr) link->Send(frame);
//
// Bounds: Options::max_links links, beyond which accepted ones are refused; a
// frame of Options::max_frame_bytes, beyond which the link is closed; what
// waits to be written on a link by the stream's own bound. Not thread-safe.
#ifndef ALMONDWIND_PEERS_MESH_H_
#define ALMONDWIND_PEERS_MESH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/stream.h"
#include "almondwind/loop/timers.h"
#include "almondwind/peers/compressor.h"
#include "almondwind/peers/frames.h"

namespace almondwind::peers {

struct MeshOptions {
  std::string address;  // of this node, "ip:port", as others reach it
  std::string listen;   // where it listens, if that is another; empty: no
  std::string zone;
  uint64_t incarnation = 0;
  HeaderNames header_names;
  base::Millis heartbeat_interval{500};
  // Three heartbeats and a retransmission.
  base::Millis silence_timeout{1800};
  base::Millis redial_delay{300};
  base::Millis dial_timeout{900};
  // How long the node with the larger address leaves the dialling to the
  // other one.
  base::Millis passive_dial_delay{250};
  size_t max_links = 256;
  // A list of 23,000 upstreams has about 4 MB; bodies come in parts.
  size_t max_frame_bytes = 8u << 20;
};

class Link;

class MeshEvents {
 public:
  virtual ~MeshEvents() = default;
  virtual void OnLinkUp(Link& link) = 0;
  // Nothing more comes over `link`; what it carried is lost.
  virtual void OnLinkDown(Link& link) = 0;
  virtual void OnFrame(Link& link, Frame frame) = 0;
  // The State to send now, to a peer in `zone`.
  virtual State Report(const std::string& zone) = 0;
};

class Mesh;

// One connection to a peer. It stays valid until OnLinkDown has returned.
class Link : public loop::StreamEvents,
             public boost::intrusive_ref_counter<Link> {
 public:
  Link(Mesh& mesh, uint64_t serial) : mesh_(mesh), serial_(serial) {}

  void Send(const Frame& frame);
  // Number that no other link of this process has.
  uint64_t serial() const { return serial_; }
  const std::string& peer() const { return hello_.address; }
  const std::string& zone() const { return hello_.zone; }
  uint64_t incarnation() const { return hello_.incarnation; }
  bool up() const { return up_; }

  void OnConnected() override;
  void OnData(std::string_view data) override;
  void OnEnd(loop::StreamEnd end) override;

 private:
  friend class Mesh;

  void ParseFrames();
  Frame ParseFrame(std::string_view bytes);
  void OnHello(Hello hello);

  Mesh& mesh_;
  const uint64_t serial_;
  loop::StreamPtr stream_;
  Hello hello_;
  std::string dialed_address_;  // the address, where this side dialled
  std::string receive_buffer_;
  // After the hellos, on links to other zones.
  std::unique_ptr<Compressor> compressor_;
  std::unique_ptr<Decompressor> decompressor_;
  bool up_ = false;
  base::Millis last_received_{0};
};
using LinkPtr = boost::intrusive_ptr<Link>;

class Mesh {
 public:
  Mesh(boost::asio::io_context& io, loop::Timers& timers, MeshOptions options,
       MeshEvents& events);
  ~Mesh();

  // Throws std::system_error if the port is taken.
  void Listen();
  // Peers to hold links to. Links to others stay while they are alive.
  void SetTargets(const std::vector<std::string>& addresses);
  // Returns the newest link to `address` that is up, or null.
  Link* Find(const std::string& address) const;
  // Sends the state to all peers now, for example because it has changed.
  void BroadcastState();
  void Close();
  // All links that are up.
  std::vector<Link*> up_links() const;

 private:
  friend class Link;
  struct Target {
    base::Millis next_dial{0};
    LinkPtr pending;
  };

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void OnHeartbeat();
  void CloseSilentLinks();
  void DialMissingTargets();
  void OnUp(Link& link);
  void CloseLink(Link& link);
  Hello MakeHello() const;
  loop::StreamOptions LinkStreamOptions() const;

  boost::asio::io_context& io_;
  loop::Timers& timers_;
  const MeshOptions options_;
  MeshEvents& events_;
  std::unique_ptr<loop::Acceptor> acceptor_;
  loop::Timer heartbeat_timer_;
  loop::Timer dial_timer_;
  std::map<std::string, Target> targets_;
  std::set<LinkPtr> all_links_;
  std::map<std::string, std::vector<Link*>> up_by_address_;  // newest last
  base::Millis last_heartbeat_{0};
  uint64_t next_serial_ = 1;
};

}  // namespace almondwind::peers

#endif  // ALMONDWIND_PEERS_MESH_H_
