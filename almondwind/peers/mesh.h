// Links between this sidecar node and its peers.
//
// A peer is identified by the address at which it accepts links. One link per
// peer is enough, so of two nodes the one with the smaller address dials
// immediately and the other waits for MeshOptions::passive_dial_delay. After
// that delay it dials too, unless the first one has dialed by then; the first
// one may, for example, not know any peer yet.
//
// Both sides send State frames every MeshOptions::heartbeat_interval, which
// show that the link is alive. A link on which nothing arrives for
// MeshOptions::silence_timeout is silent: it gets no new calls, and the peer is
// dialed again. The peer may only be paused or cut off for a while, and still
// deliver the answers of calls in progress, so the silent link stays open:
// until the peer is heard again or has restarted, or for
// MeshOptions::abandon_timeout.
//
//   Mesh mesh(io, timers, options, events);
//   mesh.SetTargets({"10.1.0.8:8300"});
//   Link* link = mesh.Find("10.1.0.8:8300");
//   if (link != nullptr) link->Send(frame);
//
// Bounds: MeshOptions::max_links links, beyond which incoming ones are refused;
// a frame larger than MeshOptions::max_frame_bytes closes its link; the stream
// bounds the bytes that wait to be written. Not thread-safe.
#ifndef ALMONDWIND_PEERS_MESH_H_
#define ALMONDWIND_PEERS_MESH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "almondwind/fleet/change_budget.h"
#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/stream.h"
#include "almondwind/loop/timers.h"
#include "almondwind/peers/compressor.h"
#include "almondwind/peers/frames.h"

namespace almondwind::peers {

struct MeshOptions {
  std::string address;  // "ip:port" at which peers reach this node
  std::string listen;   // "ip:port" to bind; empty: `address`
  std::string zone;
  uint64_t incarnation = 0;
  HeaderNames header_names;
  base::Millis heartbeat_interval = fleet::kReportInterval;
  // Allows for three heartbeats and a retransmission.
  base::Millis silence_timeout{1800};
  // Longer than most requests may take.
  base::Millis abandon_timeout{8000};
  base::Millis redial_delay{300};
  base::Millis dial_timeout{900};
  // How long the node with the larger address waits for the other one to dial.
  base::Millis passive_dial_delay{250};
  size_t max_links = 256;
  // A list of 23,000 upstreams takes about 4 MB; large bodies are sent in
  // parts.
  size_t max_frame_bytes = 8u << 20;
};

class Link;

class MeshEvents {
 public:
  virtual ~MeshEvents() = default;
  virtual void OnLinkUp(Link& link) = 0;
  // Nothing has arrived on `link` for a while. Its calls may still be answered;
  // OnLinkUp or OnLinkDown follows.
  virtual void OnLinkSilent(Link& link) = 0;
  // No more frames arrive on `link`; calls in flight on it are lost.
  virtual void OnLinkDown(Link& link) = 0;
  virtual void OnFrame(Link& link, Frame frame) = 0;
  // Returns the State to send now to a peer in `zone`.
  virtual State Report(const std::string& zone) = 0;
};

class Mesh;

// A connection to a peer. It stays valid until OnLinkDown has returned.
class Link : public loop::StreamEvents,
             public boost::intrusive_ref_counter<Link> {
 public:
  Link(Mesh& mesh, uint64_t serial) : mesh_(mesh), serial_(serial) {}

  // Queues `frame`, or drops it if the link is closed.
  void Send(const Frame& frame);
  // Identifies the link within this process; never reused.
  uint64_t serial() const { return serial_; }
  const std::string& peer() const { return hello_.address; }
  const std::string& zone() const { return hello_.zone; }
  uint64_t incarnation() const { return hello_.incarnation; }
  bool up() const { return up_; }
  bool silent() const { return silent_; }

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
  std::string dialed_address_;  // empty on an accepted link
  std::string receive_buffer_;
  // Set after the Hello frames, on links to other zones.
  std::unique_ptr<Compressor> compressor_;
  std::unique_ptr<Decompressor> decompressor_;
  bool up_ = false;  // Hello has arrived
  bool silent_ = false;
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
  // Sets the peers to keep links to. Links to other peers stay open while they
  // are alive.
  void SetTargets(const std::vector<std::string>& addresses);
  // Returns the newest link to `address` that is up and not silent, or null.
  Link* Find(const std::string& address) const;
  // Returns the link with this serial, which may be silent, or null.
  Link* FindSerial(uint64_t serial) const;
  // Sends the state to all peers now, for example because it has changed.
  void BroadcastState();
  // Sends it to the peers in `zone` only.
  void BroadcastState(const std::string& zone);
  // Closes all links. No peer is dialed from now on.
  void Close();
  // Returns all links that are up and not silent.
  std::vector<Link*> up_links() const;

 private:
  friend class Link;
  struct Target {
    base::Millis next_dial{0};
    LinkPtr pending;
  };

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void OnHeartbeat();
  void CheckSilence();
  void Suspend(Link& link);
  void Resume(Link& link);
  void ForgetUp(Link& link);
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
  // Links that are up and not silent, newest last.
  std::map<std::string, std::vector<Link*>> up_by_address_;
  std::map<uint64_t, Link*> by_serial_;  // links that are up
  base::Millis last_heartbeat_{0};
  uint64_t next_serial_ = 1;
  bool closed_ = false;
};

}  // namespace almondwind::peers

#endif  // ALMONDWIND_PEERS_MESH_H_
