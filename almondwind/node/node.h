// The logic of one node, the process that runs on the same host as an upstream,
// without any I/O.
//
// A node consists of the router for the requests of its callers and of its
// local upstream, the server in front of that upstream, and a relay of
// configuration. Each event enters through one member function; the node
// performs I/O through the interfaces of node/shell.h. The product and the
// tests run the same class; the tests use a virtual clock and in-memory links.
//
//   Node node(options, clock, entropy, shell...);
//   node.OnCallerRequest(request);   // -> Callers::Answer, now or later
//   node.Tick();                     // every few milliseconds
//
// Threads: thread-safe. One lock, mutex_, guards all tables of the node and is
// held while one event is handled, which takes some microseconds. It is first
// in the lock order, before the locks of the shell (connections, then the log's
// queue), none of which may be held while calling a member function.
//
// Cost of an event: a few hash lookups and, for a routing decision, one scan of
// the service's subset of machines.
#ifndef ALMONDWIND_NODE_NODE_H_
#define ALMONDWIND_NODE_NODE_H_

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondwind/node/router.h"
#include "almondwind/node/server.h"
#include "almondwind/node/shell.h"
#include "almondwind/teams/policy.h"
#include "almondwind/teams/relay.h"
#include "almondwind/teams/store.h"
#include "almondwind/zones/window.h"

namespace almondwind::node {

struct NodeOptions {
  std::string host;
  std::string zone;
  std::string region;
  ServerOptions server;
  RouterLimits router;
  zones::DirectoryOptions directory;
  teams::RelayOptions relay;
  teams::StoreOptions store;
  size_t services = 64;  // called services whose machines are tracked
  size_t windows = 1024;
  // How long a node waits after its start for the configuration of a peer
  // before it serves with the configuration that it has.
  base::Millis boot_sync_timeout{2000};
};

// A caller's request as received.
struct CallerRequest {
  uint64_t caller = 0;  // id to reply to
  std::string method;
  std::string target;
  std::string request_id;     // empty: the node generates one
  std::string request_class;  // empty: the policy's
  int64_t timeout_ms = 0;     // 0: the policy's
  std::string key;            // Idempotency-Key
  std::string content_type;
  std::string body;
};

// Why the upstream accepts no new work: the list of hosts marks it as leaving,
// it reported that it drains, or the process shuts down.
enum class LeaveCause : uint8_t { kList, kUpstream, kStop };

// Counters of a node since its start.
struct NodeCounts {
  // Entry requests, by class and outcome.
  std::array<std::array<uint64_t, 3>, base::kClassCount> outcomes{};
  std::array<uint64_t, base::kReasonCount> refused_at_entry{};
  uint64_t malformed_control = 0;
  uint64_t config_refused = 0;
};

class Node : private RouterEvents,
             private ServerEvents,
             private teams::StoreEvents {
 public:
  Node(NodeOptions options, const base::Clock& clock, base::Entropy& entropy,
       Links& links, Upstream& upstream, Callers& callers,
       teams::ControlChannel& control, DecisionLog& log);

  // Callers. Throws base::Error if the request is refused before routing, for
  // example as malformed; the shell then replies with the error's status.
  void OnCallerRequest(const CallerRequest& request);
  void OnCallerGone(uint64_t caller);

  // Links dialed by this node.
  void OnLinkUp(const links::Welcome& welcome);
  void OnLinkDown(const std::string& host);
  // A message from the gate of `host`.
  void OnGateMessage(const std::string& host, links::Message message);

  // Links dialed by other nodes. OpenSession returns 0 at the session limit.
  uint64_t OpenSession(const links::Hello& hello);
  void CloseSession(uint64_t session);
  void OnRouterMessage(const links::Message& message);

  // Upstream.
  void OnUpstreamEnd(uint64_t run, UpstreamResult end);

  // Control and platform.
  void OnControl(std::string_view bytes);
  void OnPlatform(const std::vector<teams::Value>& values);
  bool ShouldReadPlatform() const;

  void SetLeaving(LeaveCause cause, bool leaving);
  void Tick();

  // Whether the node has the configuration that it needs to serve requests.
  bool ready() const;
  bool leaving() const;
  // Whether no call and no run is in progress.
  bool idle() const;
  uint64_t incarnation() const { return incarnation_; }
  const std::string& host() const { return options_.host; }
  NodeCounts counts() const;
  RouterCounts router_counts() const;
  nlohmann::json Status() const;

  // For tests; access is not guarded by the lock.
  Server& server() { return server_; }
  Router& router() { return router_; }
  teams::Store& store() { return store_; }
  teams::Relay& relay() { return relay_; }

 private:
  struct Entry {
    uint64_t caller = 0;
    CallPtr call;
    std::string offers;  // service whose contract is offered with the answer
    bool lacks_contract = false;  // an order that arrived without a contract
    // `reply` is held until the contract is issued.
    bool awaits_contract = false;
    Reply reply;
  };

  // RouterEvents
  void OnCallFinished(Call& call, CallResult result) override;
  void SendLocal(const links::Call& call) override;
  void CancelLocal(uint64_t id) override;
  // ServerEvents
  void OnLocalAnswer(links::Answer answer) override;
  void OnRunEnded(uint64_t run) override;
  // StoreEvents
  void Apply(const teams::Value& value) override;
  void OnRefused(const teams::Value& value, const std::string& fault) override;

  using PolicyPtr = std::shared_ptr<const teams::ServicePolicy>;

  bool ReadyLocked() const;
  PolicyPtr PolicyOf(const std::string& service) const;
  machines::Run* ParentOf(const std::string& request_id);
  CallPtr MakeCall(const CallerRequest& in, std::string* offers);
  void InheritFromParent(Call& call, machines::Run& run);
  bool EnterWindow(Call& call);
  zones::Window* WindowOf(const machines::Request& request);
  void StartCall(const CallPtr& call, Entry entry);
  void RequestContract(const Call& order, const std::string& service,
                       Entry entry);
  void FinishEntry(Call& call, CallResult result);
  void FinishInnerCall(const Call& call, const CallResult& result);
  void FinishContractRequest(Entry& entry, const CallResult& result);
  void Answer(const Entry& entry, Reply reply);
  void TrackService(const std::string& service);
  void ApplyHosts(const std::string& service,
                  const std::vector<zones::HostEntry>& hosts);
  void ApplyLeaving();

  const NodeOptions options_;
  const base::Clock& clock_;
  const uint64_t incarnation_;
  Callers& callers_;
  DecisionLog& log_;

  mutable std::mutex mutex_;  // guards all members below
  Server server_;
  Router router_;
  teams::Store store_;
  teams::Relay relay_;
  std::map<std::string, PolicyPtr> policies_;  // by "team/name"
  std::map<std::string, std::vector<zones::HostEntry>> hosts_;
  std::map<std::string, base::Millis> tracked_;   // last use, by service
  std::map<std::string, zones::Window> windows_;  // by "service route"
  std::unordered_map<uint64_t, Entry> entries_;   // by call id
  std::unordered_map<uint64_t, uint64_t> call_by_caller_;
  std::map<uint64_t, std::set<uint64_t>> inner_calls_;  // call ids, by run
  uint64_t next_call_ = 1;
  std::set<LeaveCause> leave_causes_;
  bool is_leaving_ = false;
  base::Millis started_;
  NodeCounts counts_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_NODE_H_
