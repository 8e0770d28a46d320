// The inbound half of a node, in front of the local upstream.
//
// Receives calls from routers (the local one and, over links, remote ones),
// drops duplicates, consults the ledger and the gate, sends runs to the
// upstream, and replies with one of three outcomes. For a call that was sent,
// only this class reports "not run", which is always true because:
//   - each call is handled at most once: ids increase strictly within a
//     session and session numbers are never reused, so a delayed or duplicated
//     copy of a refused call is dropped;
//   - an order runs only in the step that moves its contract from fresh to
//     running, and a refused order is voided before the refusal is sent;
//   - a request that was given to the upstream but not answered is reported as
//     "unknown".
//
// Bounds: ServerOptions::runs runs, beyond which a call is refused, and
// ServerOptions::sessions sessions, beyond which none is opened. Not
// thread-safe; Node guards it.
#ifndef ALMONDWIND_NODE_SERVER_H_
#define ALMONDWIND_NODE_SERVER_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "almondwind/contracts/ledger.h"
#include "almondwind/machines/gate.h"
#include "almondwind/node/shell.h"

namespace almondwind::node {

struct ServerOptions {
  std::string host;
  std::string service;  // of the local upstream, "team/name"; empty: none
  int slots = 1;
  int connections = 1;
  size_t runs = 20'000;
  size_t sessions = 30'000;
  // How long an order may run past its caller's deadline, so that a repeat of
  // the order can get its answer.
  base::Millis order_grace{30'000};
  contracts::LedgerOptions ledger;
};

// Events that the server reports to its node.
class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  // The answer to a call of the local router.
  virtual void OnLocalAnswer(links::Answer answer) = 0;
  // A run has ended; the inner calls made for it are no longer needed.
  virtual void OnRunEnded(uint64_t run) = 0;
};

class Server : public machines::GateEvents {
 public:
  Server(ServerOptions options, uint64_t incarnation, base::Entropy& entropy,
         Links& links, Upstream& upstream, ServerEvents& events,
         DecisionLog& log);

  // Opens a session for a router that dialed this node. Returns 0 at the
  // session limit.
  uint64_t OpenSession(const links::Hello& hello, base::Millis now);
  void CloseSession(uint64_t session, base::Millis now);

  // A call or cancellation received over a link.
  void OnMessage(const links::Message& message, base::Millis now);
  // A call of the local router, whose session is 0.
  void OnLocalCall(const links::Call& call, base::Millis now);
  void OnLocalCancel(uint64_t id, base::Millis now);
  void OnUpstreamEnd(uint64_t run, UpstreamResult end, base::Millis now);
  void Tick(base::Millis now);
  // Stops accepting new work and notifies all connected routers.
  void Leave();
  void Join(base::Millis now, bool cold);

  // Returns the run with this id, or null if it has ended.
  machines::Run* FindRun(uint64_t id);

  machines::Gate& gate() { return gate_; }
  const machines::Gate& gate() const { return gate_; }
  const contracts::Ledger& ledger() const { return ledger_; }
  const ServerOptions& options() const { return options_; }
  size_t run_count() const { return runs_.size(); }
  size_t session_count() const { return sessions_.size(); }
  uint64_t duplicates_dropped() const { return duplicates_dropped_; }
  uint64_t runs_started() const { return runs_started_; }

  // machines::GateEvents
  void Start(machines::Run& run) override;
  void Refused(machines::Run& run, base::Reason reason) override;

 private:
  struct Session {
    uint64_t last_id = 0;
    // Smallest difference seen between the clocks of the two hosts. Any excess
    // over it is time that a frame spent waiting, for example while a process
    // was paused.
    int64_t clock_difference_ms = 0;
  };
  using OriginKey = std::pair<uint64_t, uint64_t>;

  void OnCall(const links::Call& call, base::Millis now);
  void OnCancel(const links::Cancel& cancel, base::Millis now);
  // Returns the call's timeout less the time that its frame spent waiting.
  base::Millis TimeLeft(const links::Call& call, Session& session,
                        base::Millis now);
  void HandleCall(const links::Call& call, base::Millis left, base::Millis now);
  machines::RunPtr MakeRun(const links::Call& call, base::Millis deadline);
  // Returns whether an order may be offered to the gate; if not, it has been
  // answered.
  bool BeginOrder(const links::Call& call, base::Millis now);
  void IssueContract(const links::Call& call, base::Millis now);
  void CancelRun(machines::Run& run, base::Millis now);
  void RemoveRun(const machines::Run& run);
  void Send(const machines::Origin& origin, links::Answer answer,
            base::Millis now);
  void SendRefusal(const machines::Origin& origin, base::Outcome outcome,
                   base::Reason reason, uint32_t permits, base::Millis now);
  void RecordOrderResult(const machines::Run& run, const links::Answer& answer,
                         base::Millis now);
  void NotifyRouters(bool leaving);
  void AbandonRun(machines::Run& run, base::Reason reason, base::Millis now);

  const ServerOptions options_;
  Links& links_;
  Upstream& upstream_;
  ServerEvents& events_;
  DecisionLog& log_;
  contracts::Ledger ledger_;
  machines::Gate gate_;
  // Starts at a random number, so that the sessions of an earlier incarnation
  // are not reused.
  uint64_t next_session_;
  uint64_t next_run_ = 1;
  base::Millis now_{0};  // of the event in progress
  std::unordered_map<uint64_t, Session> sessions_;
  std::unordered_map<uint64_t, machines::RunPtr> runs_;
  std::map<OriginKey, uint64_t> by_origin_;
  uint64_t duplicates_dropped_ = 0;
  uint64_t runs_started_ = 0;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_SERVER_H_
