// The half of a node that stands in front of its own upstream.
//
// It takes calls from routers (its own and, over links, others'), drops
// copies, asks ledger and gate, gives runs to the upstream and answers with
// one of three outcomes. Only here is "not run" said of a call that was sent,
// and it is always true, for:
//   - a call is looked at once: within a session ids rise strictly, and a
//     session's number is never used again, so a delayed or repeated copy of
//     a refused call is dropped;
//   - an order is run only in the step that moves its contract from fresh to
//     running, and a refused one is voided before the refusal is sent;
//   - whatever was given to the upstream and not answered is unknown.
//
// Bounds: Options::runs runs and Options::sessions sessions; beyond them a
// call is refused, a session not opened. Not thread-safe; Node guards it.
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
  std::string service;  // of the own upstream, "team/name"; empty: none
  int slots = 1;
  int connections = 1;
  size_t runs = 20'000;
  size_t sessions = 30'000;
  // How long an order may run after its caller's deadline, so that its
  // answer can be given to a repeat.
  base::Millis order_grace{30'000};
  contracts::LedgerOptions ledger;
};

// What the server tells its own node.
class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  // The answer to a call of the node's own router.
  virtual void OnLocalAnswer(links::Answer answer) = 0;
  // A run is over: the calls made for it serve nobody any more.
  virtual void OnRunEnded(uint64_t run) = 0;
};

class Server : public machines::GateEvents {
 public:
  Server(ServerOptions options, uint64_t incarnation, base::Entropy& entropy,
         Links& links, Upstream& upstream, ServerEvents& events,
         DecisionLog& log);

  // A router dialled; returns its session, or 0 when there are too many.
  uint64_t OpenSession(const links::Hello& hello, base::Millis now);
  void CloseSession(uint64_t session, base::Millis now);

  // A call or cancellation that came over a link.
  void OnMessage(const links::Message& message, base::Millis now);
  // A call of the own router (its session is 0).
  void OnLocalCall(const links::Call& call, base::Millis now);
  void OnLocalCancel(uint64_t id, base::Millis now);
  void OnUpstreamEnd(uint64_t run, UpstreamResult end, base::Millis now);
  void Tick(base::Millis now);
  // Takes no new work, and tells all routers that are linked.
  void Leave();
  void Join(base::Millis now, bool cold);

  // The live run with this id, or null.
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
    // Smallest difference of the two hosts' clocks seen; what exceeds it is
    // time that a frame spent waiting (in a paused process, say).
    int64_t clock_difference_ms = 0;
  };
  using OriginKey = std::pair<uint64_t, uint64_t>;

  void OnCall(const links::Call& call, base::Millis now);
  void OnCancel(const links::Cancel& cancel, base::Millis now);
  // Takes the time that the frame waited off the call's deadline.
  base::Millis TimeLeft(const links::Call& call, Session& session,
                        base::Millis now);
  void HandleCall(const links::Call& call, base::Millis left, base::Millis now);
  machines::RunPtr MakeRun(const links::Call& call, base::Millis deadline);
  // Whether an order may go on to the gate; if not, it has been answered.
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
  // Starts at random, so that no session of an earlier incarnation returns.
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
