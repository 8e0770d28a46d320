// A cluster of real nodes with a virtual clock and in-memory links, driven one
// event at a time, and an oracle that consists of plain counters and sets.
//
// The oracle uses only what is observable from outside: the requests that
// upstreams received, the replies to callers, and the configuration in force.
#ifndef ALMONDWIND_NODE_TESTING_CLUSTER_H_
#define ALMONDWIND_NODE_TESTING_CLUSTER_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/node/node.h"

namespace almondwind::node::testing {

// How the upstreams of a service behave.
enum class UpstreamMode : uint8_t { kNormal, kSlow, kCloses, kSheds };

struct CallerReply {
  base::Outcome outcome;
  base::Reason reason;
  std::string body;
  std::string contract;
};

// Observations from which the invariants are checked, and their violations.
struct Oracle {
  std::map<std::string, int> effects;      // token -> runs that may have acted
  std::set<std::string> reported_not_run;  // tokens
  std::map<std::string, int> key_runs;     // contract -> runs
  std::set<std::string> key_not_run;       // contracts reported not run
  std::map<std::string, int> retries;      // request id -> permits spent
  std::map<uint64_t, int> replies;         // caller -> answers
  std::vector<std::string> violations;     // descriptions
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
};

class Cluster;

// In-memory implementation of the interfaces that one node uses.
class FakeShell : public Links,
                  public Upstream,
                  public Callers,
                  public teams::ControlChannel,
                  public DecisionLog {
 public:
  FakeShell(Cluster& cluster, size_t host) : cluster_(cluster), host_(host) {}
  LinkState Prepare(const zones::HostEntry& host) override;
  bool Send(const std::string& host, const links::Message& message) override;
  void Reply(uint64_t session, const links::Message& message) override;
  void Start(uint64_t run, const machines::Request& request,
             const std::string& request_id, base::Millis timeout) override;
  void Cancel(uint64_t run) override;
  void Answer(uint64_t caller, node::Reply reply) override;
  void SendControl(const std::string& address,
                   const std::string& bytes) override;
  bool enabled() const override { return true; }
  void Write(const Decision& decision) override;
  void Event(std::string_view, const std::string&) override {}

 private:
  Cluster& cluster_;
  size_t host_;
};

// Clock of one host: the virtual time plus a constant offset.
class HostClock : public base::Clock {
 public:
  HostClock(const base::ManualClock& clock, int64_t offset_ms)
      : clock_(clock), offset_(offset_ms) {}
  base::Millis Now() const override { return clock_.Now() + offset_; }

 private:
  const base::ManualClock& clock_;
  base::Millis offset_;
};

struct Topology {
  size_t services = 3;  // a chain: each calls the next
  size_t zones = 3;
  size_t hosts = 3;          // per service, assigned to zones in turn
  std::set<size_t> fan_out;  // services that call the next one twice
  int slots = 2;
  bool with_platform = true;
};

class Cluster {
 public:
  Cluster(const Topology& topology, uint64_t seed);
  ~Cluster();

  // Commands. A host is given by its index modulo the number of hosts.
  uint64_t CallService(size_t host, size_t service, const std::string& token,
                       const std::string& cls = "");
  uint64_t Order(size_t host, const std::string& token,
                 const std::string& contract);
  void Advance(int64_t ms);  // in small steps, delivering messages
  void DuplicateOne(size_t pick);
  void DropOne(size_t pick);
  void ReorderOne(size_t pick);
  void HoldOne(size_t pick);  // delivered after the next ReleaseHeld
  void ReleaseHeld();
  void BreakLinks(size_t host);
  void Cut(size_t zone, bool cut);
  void Pause(size_t host, bool paused);
  void Restart(size_t host);
  void SetLeaving(size_t host, bool leaving);
  void SetMode(size_t service, UpstreamMode mode);
  void DisconnectCaller(size_t pick);
  // Publishes a value whose version is the new revision. `good`: nodes are
  // expected to accept it.
  void Publish(const std::string& path, const std::string& text,
               bool good = true);
  void SetPlatform(bool down, bool older);
  // Returns the text of a policy for all services with this limit on retries.
  std::string PolicyText(int retries) const;

  // Ends all injected faults, runs for 6 s, and checks that the newest value of
  // each path, if good, is in force on every node.
  void Settle();
  // Checks the invariants that hold at any moment and adds to
  // oracle().violations.
  void Check();

  Oracle& oracle() { return oracle_; }
  Node& node(size_t host) { return *HostAt(host).node; }
  size_t host_count() const { return hosts_.size(); }
  const std::map<uint64_t, CallerReply>& replies() const { return replies_; }
  uint64_t platform_reads() const { return platform_reads_; }
  base::Millis now() const { return clock_.Now(); }
  const Topology& topology() const { return topology_; }
  uint64_t revision() const { return revision_; }
  static constexpr int kRetries = 3;

 private:
  friend class FakeShell;
  enum class PacketKind : uint8_t { kToGate, kToRouter, kControl };
  struct Packet {
    PacketKind kind;
    size_t from;
    size_t to;
    uint64_t link;  // connection that carries it; 0: none
    std::string bytes;
  };
  struct Link {
    uint64_t number = 0;
    LinkState state = LinkState::kDown;
    uint64_t session = 0;
  };
  struct UpstreamRun {
    std::string token;
    std::string request_id;
    size_t service = 0;
    bool leaf = false;
    bool order = false;
    UpstreamMode mode = UpstreamMode::kNormal;
    base::Millis ends_at{0};
    int inner_calls_open = 0;
    int inner_calls_failed = 0;
    bool inner_calls_started = false;
  };
  struct Host {
    std::string name;
    std::string zone;
    size_t zone_index = 0;
    size_t service = 0;
    std::unique_ptr<HostClock> clock;
    std::unique_ptr<base::SeededEntropy> entropy;
    std::unique_ptr<FakeShell> shell;
    std::unique_ptr<Node> node;
    bool paused = false;
    bool leaving = false;
    base::Millis left_at{0};
    base::Millis left_at_own_clock{0};
    std::map<std::string, Link> links;                         // by gate's name
    std::map<uint64_t, std::pair<size_t, uint64_t>> sessions;  // -> peer, link
    std::map<uint64_t, UpstreamRun> runs;
    std::map<std::string, uint64_t> versions;  // seen in force
    base::Millis next_read{0};
    bool was_ready = false;
  };
  struct Caller {
    size_t host;
    std::string token;
    std::string contract;
    uint64_t parent_host = 0;
    uint64_t parent_run = 0;  // 0: not an inner call
  };

  Host& HostAt(size_t host) { return hosts_[host % hosts_.size()]; }
  void Boot(Host& host);
  size_t IndexOf(const std::string& name) const;
  bool Partitioned(const Host& a, const Host& b) const;
  void Step();
  void Deliver();
  bool DeliverOne(const Packet& packet);
  void ToGate(Host& to, const Packet& packet);
  void ToRouter(Host& to, const Packet& packet);
  void BreakLink(size_t from, const std::string& to);
  void RunUpstreams();
  void StartInnerCalls(size_t host, uint64_t run);
  void EndRun(size_t host, uint64_t run);
  void ReadPlatform(size_t host);
  std::vector<teams::Value> VisibleValues() const;
  std::string HostsText(size_t service) const;
  void OnAnswer(uint64_t caller, const node::Reply& reply);
  void AddViolation(const std::string& what) {
    oracle_.violations.push_back(what);
  }

  const Topology topology_;
  base::ManualClock clock_;
  Oracle oracle_;
  std::vector<Host> hosts_;
  std::vector<UpstreamMode> modes_;
  std::deque<Packet> wire_;
  std::vector<Packet> held_;
  std::set<size_t> cut_;
  std::map<uint64_t, Caller> callers_;
  std::map<uint64_t, CallerReply> replies_;
  uint64_t next_caller_ = 1;
  uint64_t next_link_ = 1;
  std::map<std::string, teams::Value> platform_;
  std::map<std::string, teams::Value> previous_values_;
  std::map<std::string, uint64_t> newest_good_;  // by path
  uint64_t revision_ = 0;
  bool platform_down_ = false;
  bool platform_older_ = false;
  uint64_t platform_reads_ = 0;
  uint64_t seed_;
};

}  // namespace almondwind::node::testing

#endif  // ALMONDWIND_NODE_TESTING_CLUSTER_H_
