// One node: the small process beside an upstream, without its sockets.
//
// A node is the router of what its callers and its upstream ask for, the
// server in front of its upstream, and a relay of configuration. Everything
// that happens is one function called from outside; what the node wants done
// goes to the interfaces of node/shell.h. The product and the tests run this
// same class, the tests with a virtual clock and links in memory.
//
//   Node node(options, clock, entropy, shell...);
//   node.OnCallerRequest(request);   // -> Callers::Answer, now or later
//   node.Tick();                     // every few milliseconds
//
// Threads: any number of workers call in. One lock, mutex_, guards all tables
// of the node and is held for the length of one event, some microseconds. It
// is first in the lock order; the shell's own locks (connections, then the
// log's queue) come after it, and none of them is held while calling in.
//
// Cost of one event: a few hash look-ups and, for a routing choice, one pass
// over the service's subset.
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
  size_t services = 64;  // whose machines are kept
  size_t windows = 1024;
  // How long a fresh node waits for a peer's configuration before it serves
  // with what it has.
  base::Millis boot_patience{2000};
};

// A request of a caller, as it came.
struct CallerRequest {
  uint64_t caller = 0;  // to be answered
  std::string method;
  std::string target;
  std::string request_id;     // empty: the node makes one
  std::string request_class;  // empty: the policy's
  int64_t timeout_ms = 0;     // 0: the policy's
  std::string key;            // Idempotency-Key
  std::string content_type;
  std::string body;
};

// Why the upstream takes no new work.
enum class LeaveCause : uint8_t { kList, kUpstream, kStop };

// Counters of a node since its start.
struct NodeCounts {
  // By class and outcome, of entry requests.
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

  // Callers. Throws base::Error for a request that cannot be understood; the
  // shell then answers with the error's status.
  void OnCallerRequest(const CallerRequest& request);
  void OnCallerGone(uint64_t caller);

  // Links dialled by this node.
  void OnLinkUp(const links::Welcome& welcome);
  void OnLinkDown(const std::string& host);
  // A message from the gate called `host`.
  void OnGateMessage(const std::string& host, links::Message message);

  // Links dialled by others. Returns 0 when there are too many.
  uint64_t OpenSession(const links::Hello& hello);
  void CloseSession(uint64_t session);
  void OnRouterMessage(const links::Message& message);

  // Upstream.
  void OnUpstreamEnd(uint64_t run, UpstreamEnd end);

  // Control and platform.
  void OnControl(std::string_view bytes);
  void OnPlatform(const std::vector<teams::Value>& values);
  bool ShouldReadPlatform() const;

  void SetLeaving(LeaveCause cause, bool leaving);
  void Tick();

  // Whether the node has what it needs to serve.
  bool ready() const;
  bool leaving() const;
  // Whether nothing is in progress.
  bool idle() const;
  uint64_t incarnation() const { return incarnation_; }
  const std::string& host() const { return options_.host; }
  NodeCounts counts() const;
  RouterCounts router_counts() const;
  nlohmann::json Status() const;

  // For tests, which look from outside the lock.
  Server& server() { return server_; }
  Router& router() { return router_; }
  teams::Store& store() { return store_; }
  teams::Relay& relay() { return relay_; }

 private:
  struct Entry {
    uint64_t caller = 0;
    CallPtr call;
    std::string offers;          // service whose contract goes with the answer
    bool asks_contract = false;  // for an order that came without one
    bool has_offer = false;      // `reply` waits for its offered contract
    Reply reply;
  };

  // RouterEvents
  void Finished(Call& call, CallResult result) override;
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
  void AdoptParent(Call& call, machines::Run& run);
  bool EnterWindow(Call& call);
  zones::Window* WindowOf(const machines::Request& request);
  void StartCall(const CallPtr& call, Entry entry);
  void StartIssue(const Call& order, const std::string& service, Entry entry);
  void EndEntry(Call& call, CallResult result);
  void EndLeg(const Call& call, const CallResult& result);
  void EndOffer(Entry& entry, const CallResult& result);
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

  mutable std::mutex mutex_;  // guards all below; see the top
  Server server_;
  Router router_;
  teams::Store store_;
  teams::Relay relay_;
  std::map<std::string, PolicyPtr> policies_;  // by "team/name"
  std::map<std::string, std::vector<zones::HostEntry>> hosts_;
  std::map<std::string, base::Millis> tracked_;   // services, last used
  std::map<std::string, zones::Window> windows_;  // by "service route"
  std::unordered_map<uint64_t, Entry> entries_;   // by call id
  std::unordered_map<uint64_t, uint64_t> call_of_caller_;
  std::map<uint64_t, std::set<uint64_t>> legs_;  // run -> its calls
  uint64_t next_call_ = 1;
  std::set<LeaveCause> leaving_;
  bool was_leaving_ = false;
  base::Millis started_;
  NodeCounts counts_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_NODE_H_
