// Routes the requests of this host's callers: matches the route, decides
// admission, selects an upstream, retries, and delivers the final response.
//
//   uint64_t id = dispatcher.Accept(request, events);  // -> events.OnAnswer
//   dispatcher.Abandon(id);                            // the caller closed
//
// A request has at most one attempt in flight. A refusal by a gate proves that
// the request did not run, so another gate can be tried immediately. When the
// outcome is unknown, only an idempotent request is retried, within its route's
// max_attempts and the shared retry budget; any other request gets a 502. When
// the route's timeout or the caller's timeout expires, the attempt in flight is
// cancelled and the caller gets a 504 without waiting for it.
//
// While the node stops, requests that may not end before it does are refused
// (stop_window.h).
//
// A request that has crashed several upstreams is refused (crashes/history.h).
// One under which DispatcherOptions::max_ended_upstreams upstreams have ended
// is not retried: it may be what ended them. Most requests that were in
// progress beside it are served by the second upstream.
//
// Bodies too large to buffer are streamed. A request is not retried once part
// of its streamed body has been sent, because that part is no longer held. If a
// streamed response fails midway, the caller's connection is closed.
//
// Bounds: DispatcherOptions::max_calls requests with
// DispatcherOptions::max_body_bytes of buffered bodies in total; a request
// beyond them is refused. DispatcherOptions::max_streams streamed bodies with
// DispatcherOptions::body_window bytes in flight each; beyond them a request is
// refused, and a response waits at its gate. Cost: a few lookups and one scan
// of the service's upstreams per attempt. Not thread-safe.
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

#include "almondwind/crashes/history.h"
#include "almondwind/peers/mesh.h"
#include "almondwind/routes/retry_budget.h"
#include "almondwind/routes/split.h"
#include "almondwind/routes/table.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"
#include "almondwind/sidecar/gate_server.h"
#include "almondwind/sidecar/metrics.h"
#include "almondwind/sidecar/stop_window.h"
#include "almondwind/zones/directory.h"
#include "almondwind/zones/picker.h"

namespace almondwind::sidecar {

class CallerEvents {
 public:
  virtual ~CallerEvents() = default;
  // The final response. If `response.rest.follows`, the body is streamed
  // through OnBody after a call of StartResponseBody.
  virtual void OnAnswer(uint64_t call, http::Response response) = 0;
  // The next part of a streamed response body. Any `end` but kMore ends the
  // call.
  virtual void OnBody(uint64_t call, std::string bytes, peers::BodyEnd end) = 0;
  // Flow-control credit: FeedBody accepts this many more bytes.
  virtual void OnBodyCredit(uint64_t call, uint32_t bytes) = 0;
};

struct DispatcherOptions {
  std::string service;  // of the local upstream
  std::string link;     // address of this node's links
  std::string zone;
  std::string region;
  size_t max_calls = 4096;
  size_t max_body_bytes = 48u << 20;
  // Streamed bodies, and bytes of each that are in flight at one time: 24 MB in
  // total, a tenth of the memory of a small host.
  size_t max_streams = 96;
  uint32_t body_window = 256u << 10;
  // Refusals by gates after which the caller's request is refused.
  int max_gates = 3;
  // Upstreams that may end under one request before it fails.
  int max_ended_upstreams = 2;
  // Used for callers that send no timeout.
  base::Millis default_timeout{30'000};
  // Maximum queue wait at a gate. For a client's request, in percent of the
  // route's target latency: an early refusal leaves the client time to retry.
  // For an inner call, in percent of the time until its deadline: refusing it
  // would waste the work already done for its parent request.
  int entry_wait_percent = 20;
  int inner_wait_percent = 50;
  // Added to the expected latency of an upstream in another zone or region when
  // upstreams are compared.
  base::Millis zone_penalty{4};
  base::Millis region_penalty{60};
  // Weight of a free slot in this node's zone relative to one in another zone.
  // Traffic between zones is charged by the byte. When this node's zone is
  // short of slots, only a part of its load goes to the others.
  double zone_preference = 25;
  // Links detect an unresponsive peer themselves, and a call may wait in a
  // queue for longer than the default `silence`.
  zones::EjectOptions eject = [] {
    zones::EjectOptions o;
    o.silence = base::Millis(1000);
    return o;
  }();
  // A 5xx response is retried only if the upstream's success rate is below this
  // share of the best other upstream's. Otherwise the cause is likely in a
  // service further down, where a retry would fail too.
  double retry_quality = 0.85;
  // Bounds of the retry delay that a refused caller is given, before jitter.
  base::Millis min_retry_after{100};
  base::Millis max_retry_after{2000};
};

// Decision on one request.
struct AdmissionDecision {
  // Zero if the request is admitted, otherwise the delay before a retry.
  base::Millis retry_after{0};
  // Whether this is an inner call: one that the local upstream makes for a
  // request that has been admitted before.
  bool inner = false;
  base::RequestClass cls = base::RequestClass::kNormal;
};

// Decides which requests of this host are admitted.
class Admission {
 public:
  virtual ~Admission() = default;
  // `deadline`: when the sender of the request stops waiting.
  virtual AdmissionDecision Admit(const routes::Route& route,
                                  base::Millis deadline, base::Millis now) = 0;
  // Requests that a retry of `route` at `service` causes at each service.
  virtual routes::RetryBudget::Costs RetryCosts(const std::string& route,
                                                const std::string& service) = 0;
};

class Dispatcher {
 public:
  Dispatcher(loop::Timers& timers, const Dialect& dialect,
             DispatcherOptions options, GateServer& gate, Admission& admission,
             crashes::History& history, EventLog& log, Metrics& metrics,
             uint64_t seed);
  ~Dispatcher();

  void Attach(peers::Mesh& mesh) { mesh_ = &mesh; }
  // Sets the service of the local upstream.
  void SetService(const std::string& service) { options_.service = service; }
  void SetTable(routes::RouteTablePtr table) { table_ = std::move(table); }
  const routes::RouteTablePtr& table() const { return table_; }
  zones::Directory& directory() { return directory_; }
  const zones::Directory& directory() const { return directory_; }
  routes::RetryBudget& retry_budget() { return budget_; }
  const zones::EjectOptions& eject_options() const { return options_.eject; }

  // Starts a request of this host and returns its call id. events.OnAnswer may
  // be called before this returns.
  uint64_t Accept(http::Request request, CallerEvents& events);
  // The id that the next Accept returns.
  uint64_t next_id() const { return next_id_; }
  void Abandon(uint64_t id);
  // Passes on the next part of a streamed request body.
  void FeedBody(uint64_t id, std::string bytes, bool last);
  // Starts a streamed response body, and grants credit for the bytes that the
  // caller has consumed.
  void StartResponseBody(uint64_t id);
  void OnResponseBytesConsumed(uint64_t id, uint32_t bytes);

  // Handles a frame from a gate: Answer, BodyPart or Credit.
  void OnFrame(peers::Frame frame);
  // The peer of a link is silent and may be paused. Idempotent requests sent
  // over it are tried elsewhere if the budget allows; all others wait for their
  // answer until their deadline.
  void OnLinkSilent(uint64_t serial);
  void OnLinkDown(uint64_t serial);
  // Records the load that the gate at `link` reports.
  void OnLoad(const std::string& link, const links::Load& load);

  // Records what the upstream of a gate has announced.
  void OnAnnouncement(const machines::Announcement& announcement);
  // Returns whether this process of the upstream has announced that it leaves.
  bool HasAnnouncedLeaving(const std::string& upstream,
                           int64_t started_at) const {
    const machines::Announcement* known =
        announcements_.Find(upstream, started_at);
    return known != nullptr && known->leaving;
  }

  // The node stops, and ends after `length` at the latest.
  void BeginStop(base::Millis length) { stop_.Begin(timers_.Now(), length); }

  size_t in_progress() const { return calls_.size(); }
  // Builds a response that this node generates itself.
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
  // Refuses a request that crashes upstreams. Returns whether it did.
  bool RefuseForCrashes(EntryCall& call);
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
  // Refuses a request that may not end before this node stops. Returns whether
  // it did.
  bool RefuseForStop(EntryCall& call);
  void FinishCrashing(EntryCall& call, base::Millis refused_for);
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
  crashes::History& history_;
  EventLog& log_;
  Metrics& metrics_;
  peers::Mesh* mesh_ = nullptr;
  routes::RouteTablePtr table_;
  routes::Splitter splitter_;
  routes::RetryBudget budget_;
  zones::Directory directory_;
  machines::AnnouncementMemory announcements_;
  std::unique_ptr<zones::Picker> picker_;
  StopWindow stop_;
  zones::Random random_;
  std::unordered_map<uint64_t, EntryCallPtr> calls_;
  std::unordered_map<uint64_t, uint64_t> attempts_;  // attempt id to call id
  size_t body_bytes_ = 0;
  size_t streams_ = 0;                   // streamed bodies in progress
  std::deque<uint64_t> waiting_bodies_;  // calls waiting for a stream
  uint64_t next_id_ = 1;
  uint64_t next_attempt_ = 1;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_DISPATCHER_H_
