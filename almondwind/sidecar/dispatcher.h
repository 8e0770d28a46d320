// The way of a request from this host through the fleet: route, part, upstream,
// tries, final answer.
//
//   uint64_t id = dispatcher.Accept(request, events);  // -> events.OnAnswer
//   dispatcher.Abandon(id);                            // the caller has left
//
// A request is sent to one gate after another. A gate's refusal proves that
// it has not run, so another gate may be asked at once. When the outcome is
// unknown, only an idempotent request is sent again, within its route's
// attempts and the shared retry budget; any other is answered 502. When the
// route's timeout or the caller's patience is over, the answer is given at
// once, whatever runs is cancelled.
//
// A body too large to be held comes in parts. A request whose body has begun to
// go out is not repeated, for its beginning is no longer there; an answer that
// breaks off midway ends its caller's connection.
//
// Bounds: Options::calls requests and Options::body_bytes of their bodies;
// beyond them a request is refused. Options::streams bodies in parts, with
// Options::body_window bytes each; beyond them a request is refused, and an
// answer waits at its gate. Cost: a few look-ups and one scan of a service's
// upstreams a try. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_DISPATCHER_H_
#define ALMONDWIND_SIDECAR_DISPATCHER_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondwind/peers/mesh.h"
#include "almondwind/routes/retry_budget.h"
#include "almondwind/routes/split.h"
#include "almondwind/routes/table.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"
#include "almondwind/sidecar/gate_server.h"
#include "almondwind/sidecar/metrics.h"
#include "almondwind/zones/directory.h"
#include "almondwind/zones/picker.h"

namespace almondwind::sidecar {

class CallerEvents {
 public:
  virtual ~CallerEvents() = default;
  // Where `response.rest` follows, its parts come once OpenBody was called.
  virtual void OnAnswer(uint64_t call, http::Response response) = 0;
  // A part of the answer's body; anything but kMore ends the call.
  virtual void OnBody(uint64_t call, std::string bytes, peers::BodyEnd end) = 0;
  // This many more bytes of the request's body may be given to FeedBody.
  virtual void OnBodyCredit(uint64_t call, uint32_t bytes) = 0;
};

struct DispatcherOptions {
  std::string service;  // of the upstream beside the node
  std::string link;     // address of this node's links
  std::string zone;
  std::string region;
  size_t max_calls = 4096;
  size_t max_body_bytes = 48u << 20;
  // Bodies in parts, and bytes of each that are on their way at one time:
  // 24 MB in all, a tenth of a small host's memory.
  size_t max_streams = 96;
  uint32_t body_window = 256u << 10;
  // Gates that may refuse one request before it is refused as a whole.
  int max_gates = 3;
  // Patience of a caller that names none.
  base::Millis default_timeout{30'000};
  // Longest wait in a gate's queue: of a caller's request, in percent of its
  // target latency, since a refusal is worth most while there is time to come
  // back; of an upstream's call, in percent of the time that it has left, since
  // the work done for its parent would be lost.
  int entry_wait_percent = 20;
  int nested_wait_percent = 50;
  // Added for a link to another zone or region when upstreams are compared.
  base::Millis zone_penalty{4};
  base::Millis region_penalty{60};
  // How much a free slot in the own zone counts beside one in another: bytes
  // between zones are priced, and an own zone that is short of slots gives
  // only a part of its load to the others.
  double zone_preference = 25;
  // Links notice a peer's silence themselves; a call may be queued for longer
  // than the default.
  zones::EjectOptions eject = [] {
    zones::EjectOptions o;
    o.silence = base::Millis(1000);
    return o;
  }();
  // A failed run is repeated only if its upstream fails this much more often
  // than the best other one; else the cause lies below, and a repeat would
  // find it there too.
  double retry_quality = 0.85;
  // Shortest and longest time after which a refused caller may come back.
  base::Millis min_retry_after{100};
  base::Millis max_retry_after{2000};
};

// How a request is let in.
struct AdmissionDecision {
  // Zero: it enters. Otherwise the time after which to come back.
  base::Millis retry_after{0};
  // Whether it is a call of the upstream beside the node, made for a request
  // that has been let in before.
  bool nested = false;
  base::RequestClass cls = base::RequestClass::kNormal;
};

// Told of requests as they enter; decides whether they may.
class Admission {
 public:
  virtual ~Admission() = default;
  // `deadline`: when the one who sent the request stops waiting.
  virtual AdmissionDecision Admit(const routes::Route& route,
                                  base::Millis deadline, base::Millis now) = 0;
  // What a repeat of `route` at `service` costs each service, in requests.
  virtual routes::RetryBudget::Costs RetryCosts(const std::string& route,
                                                const std::string& service) = 0;
};

class Dispatcher {
 public:
  Dispatcher(loop::Timers& timers, const Dialect& dialect,
             DispatcherOptions options, GateServer& gate, Admission& admission,
             EventLog& log, Metrics& metrics, uint64_t seed);
  ~Dispatcher();

  void Attach(peers::Mesh& mesh) { mesh_ = &mesh; }
  // The service of the upstream beside the node.
  void SetService(const std::string& service) { options_.service = service; }
  void SetTable(routes::RouteTablePtr table) { table_ = std::move(table); }
  const routes::RouteTablePtr& table() const { return table_; }
  zones::Directory& directory() { return directory_; }
  const zones::Directory& directory() const { return directory_; }
  routes::RetryBudget& retry_budget() { return budget_; }
  const zones::EjectOptions& eject_options() const { return options_.eject; }

  // Takes a request from this host. Returns the id under which it is answered;
  // the answer may come before this returns.
  uint64_t Accept(http::Request request, CallerEvents& events);
  // The next id that Accept will use.
  uint64_t next_id() const { return next_id_; }
  void Abandon(uint64_t id);
  // The next part of the body of a request whose `rest` follows.
  void FeedBody(uint64_t id, std::string bytes, bool last);
  // The caller takes the parts of the answer, and has taken some.
  void StartResponseBody(uint64_t id);
  void OnResponseBytesConsumed(uint64_t id, uint32_t bytes);

  // What a gate says of a call: Answer, BodyPart or Credit.
  void OnFrame(peers::Frame frame);
  void OnLinkDown(uint64_t serial);
  // A peer's gate reports its load.
  void OnLoad(const std::string& link, const links::Load& load);

  size_t in_progress() const { return calls_.size(); }
  // An answer of this node's own.
  http::Response LocalResponse(int status, base::Reason reason,
                               base::Millis retry_after) const;

 private:
  struct EntryCall;
  using EntryCallPtr = std::unique_ptr<EntryCall>;

  void OnAnswer(uint64_t attempt, peers::Answer answer);
  void OnBodyPart(peers::BodyPart part);
  void OnCredit(const peers::Credit& credit);
  EntryCall* FindAttempt(uint64_t attempt);
  void SendToGate(const EntryCall& call, const peers::Frame& frame);
  void GrantResponseCredit(EntryCall& call, uint32_t bytes);
  void ReleaseStream(EntryCall& call);
  void AbortResponse(EntryCall& call, const std::string& why);
  void Begin(EntryCall& call);
  void Try(EntryCall& call);
  zones::Machine* Choose(EntryCall& call);
  std::vector<zones::Machine*> Candidates(const EntryCall& call, bool any);
  void SendAttempt(EntryCall& call, zones::Machine& machine);
  base::Millis MaxWait(const EntryCall& call, base::Millis left) const;
  void CancelAttempt(EntryCall& call);
  void OnNotRun(EntryCall& call, const peers::Answer& answer);
  void OnUnknown(EntryCall& call, base::Reason reason);
  void OnDeadline(EntryCall& call);
  bool ReserveRetry(EntryCall& call);
  bool FailsMoreThanOthers(const EntryCall& call);
  void Refuse(EntryCall& call, base::Reason reason, base::Millis retry_after);
  void Finish(EntryCall& call, http::Response response, const std::string& why);
  EntryCallPtr Remove(EntryCall& call, int status, const std::string& why);
  void Log(const EntryCall& call, int status, const std::string& why);
  double Jitter();
  base::Millis ClampAndJitter(base::Millis delay);

  loop::Timers& timers_;
  const Dialect& dialect_;
  DispatcherOptions options_;
  GateServer& gate_;
  Admission& admission_;
  EventLog& log_;
  Metrics& metrics_;
  peers::Mesh* mesh_ = nullptr;
  routes::RouteTablePtr table_;
  routes::Splitter splitter_;
  routes::RetryBudget budget_;
  zones::Directory directory_;
  std::unique_ptr<zones::Picker> picker_;
  zones::Random random_;
  std::unordered_map<uint64_t, EntryCallPtr> calls_;
  std::unordered_map<uint64_t, uint64_t> attempts_;  // leg to call
  size_t body_bytes_ = 0;
  size_t streams_ = 0;                   // bodies in parts under way
  std::deque<uint64_t> waiting_bodies_;  // calls whose answers wait for room
  uint64_t next_id_ = 1;
  uint64_t next_attempt_ = 1;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_DISPATCHER_H_
