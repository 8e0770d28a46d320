// The gate in front of the local upstream, and the requests that it holds.
//
// Every request for the upstream passes through here, from the local dispatcher
// or over a link, so the concurrency limit, queueing, draining and "not run"
// are decided next to the upstream. machines::Gate decides which requests run,
// wait or are refused.
//
//   gate.Offer({link_serial, call.id}, call, reply);  // the reply is an Answer
//   gate.Cancel({link_serial, call.id});
//
// A response is passed on only if it is complete and, for a success, sealed by
// the upstream. If the upstream does anything else after a request was sent,
// without marking it as not run, the outcome is "unknown".
//
// If a connection to the upstream is lost, the gate looks whether the
// upstream's process has ended, and records under which requests
// (crashes/history.h). A request that has crashed several upstreams is refused;
// while one that is suspected of it runs, no other such request does, so that
// the next end tells which of them it was.
//
// An upstream that leaves is recognized by its own answers and its health page
// too (machines/leaving_detector.h), in case the list of upstreams comes late.
//
// A body too large for one frame is streamed. For a request body, credit is
// granted for as many bytes as have been written to the upstream; a response
// body is read only while the sender of the call has granted credit.
//
// Bounds: those of the gate's queues, and GateServerOptions::body_window bytes
// of each streamed body. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_GATE_SERVER_H_
#define ALMONDWIND_SIDECAR_GATE_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "almondwind/crashes/history.h"
#include "almondwind/fleet/change_budget.h"
#include "almondwind/machines/announcement.h"
#include "almondwind/machines/gate.h"
#include "almondwind/machines/leaving_detector.h"
#include "almondwind/peers/frames.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"
#include "almondwind/sidecar/metrics.h"
#include "almondwind/sidecar/upstream_pool.h"

namespace almondwind::sidecar {

// Serial of a link (0: the local dispatcher) and id of a call on it.
using CallKey = std::pair<uint64_t, uint64_t>;
// Sends a frame back to the sender of a call: one Answer, and for streamed
// bodies Credit for the request body and BodyPart frames of the response body.
using Reply = std::function<void(peers::Frame)>;

// Observes the runs of the upstream, to learn what they cost.
class RunObserver {
 public:
  virtual ~RunObserver() = default;
  // A run starts; the upstream has been sent its `deadline`.
  virtual void OnRunStarted(uint64_t run, const std::string& route,
                            base::RequestClass cls, base::Millis deadline) = 0;
  // A run ended after it held a slot for `took`. `completed`: the upstream
  // answered with success.
  virtual void OnRunEnded(uint64_t run, bool completed, base::Millis took) = 0;
};

// Told about what a gate learns of requests that crash upstreams.
class CrashObserver {
 public:
  virtual ~CrashObserver() = default;
  virtual void OnCrashReports(const std::vector<crashes::Report>& reports) = 0;
};

struct GateServerOptions {
  machines::GateOptions gate = [] {
    machines::GateOptions o;
    // A fixed limit: all requests for the upstream pass this gate, which keeps
    // to the published slots, so a refusal by the upstream is a separate fault
    // and not a sign of overload. No ramp: a cold upstream is slow and so needs
    // more slots for the same load, not fewer.
    o.limiter = "fixed";
    o.ramp_start_percent = 100;
    o.evict = false;
    return o;
  }();
  // Share of the published slots that is used. From 95% on, upstreams become
  // slower by a factor of 1.3, which costs more than the unused slots. A new
  // connection also occupies one slot briefly.
  int usable_percent = 94;
  // Reserved before the deadline for a refusal to reach the caller.
  base::Millis refusal_margin{25};
  // Requests with less time until their deadline are refused.
  base::Millis min_time_left{5};
  // Bytes in flight of a streamed request body. Sufficient for 1 Gbit/s at a
  // round-trip time of 2 ms.
  uint32_t body_window = 256u << 10;
  // Ends of upstreams from which on a request runs beside no other such one.
  // After the first end every request that was in progress is suspected, and
  // the bystanders must be repeated without delay.
  int crashes_until_alone = 2;
  // Retry delay of a request that has to wait for another such one.
  base::Millis alone_retry_after{300};
  // Time in which the connections of an upstream that ended are all seen to
  // end.
  base::Millis end_window{20};
  machines::LeavingDetectorOptions leaving = [] {
    machines::LeavingDetectorOptions o;
    o.delay = fleet::kOwnSignDelay;
    return o;
  }();
  // Time in which the health page must answer: the page of an upstream in use
  // takes one of its slots for a few ms.
  base::Millis health_timeout{500};
};

class GateServer : public machines::GateEvents, public UpstreamPoolEvents {
 public:
  GateServer(loop::Timers& timers, const Dialect& dialect,
             const GateServerOptions& options, EventLog& log, Metrics& metrics,
             RunObserver& observer, crashes::History& history,
             CrashObserver& crash_observer);
  ~GateServer() override;

  void Attach(UpstreamPool& pool) { pool_ = &pool; }

  // Applies the published entry of the upstream; null if it is not listed.
  void SetUpstream(const fleet::Upstream* upstream);
  // Sets the path of the upstream's health page; empty: it has none.
  void SetHealthPath(const std::string& path) { health_path_ = path; }
  void Offer(const CallKey& key, peers::Call call, Reply reply);
  // The sender no longer waits for the answer. A queued request is refused. A
  // running one is aborted if it is idempotent or one of its bodies is
  // streamed; otherwise it is left to finish.
  void Cancel(const CallKey& key);
  // Passes on the next part of a streamed request body.
  void OnBodyPart(const CallKey& key, const peers::BodyPart& part);
  // The sender grants credit for this many more bytes of the response body.
  void OnCredit(const CallKey& key, uint32_t bytes);
  // Cancels all calls that came over a link that is down.
  void CancelLink(uint64_t serial);
  // Refuses all new requests from now on.
  void Leave();

  links::Load Load() const;
  // What the upstream has announced in its responses.
  const machines::Announcement& announcement() const {
    return tracker_.current();
  }
  bool idle() const { return runs_.empty() && lost_runs_.empty(); }
  size_t in_progress() const { return runs_.size(); }

  void Start(machines::Run& run) override;
  void Refused(machines::Run& run, base::Reason reason) override;
  void OnUpstreamEnd(uint64_t exchange, base::EndKind kind,
                     http::Response response,
                     const ResponseMetadata& metadata) override;
  void OnUpstreamHead(uint64_t exchange, http::Response response,
                      const ResponseMetadata& metadata) override;
  void OnUpstreamBody(uint64_t exchange, std::string bytes,
                      peers::BodyEnd end) override;
  void OnUpstreamDrained(uint64_t exchange) override;
  void OnUpstreamProbed(bool refused) override;

 private:
  struct GateRun {
    machines::RunPtr run;
    CallKey key;
    peers::Call call;
    Reply reply;
    bool abandoned = false;
    // Streamed request: bytes received for which no new credit was granted yet.
    uint32_t ungranted = 0;
    // Streamed response: whether its head was sent, and the bytes that may be
    // sent.
    bool response_started = false;
    int64_t credit = 0;
    std::string identity;  // empty until it is needed
    bool alone = false;    // no other such request may run beside it
  };

  void Answer(uint64_t id, peers::Answer answer);
  void SendAnswer(GateRun& run, peers::Answer answer);
  const std::string& IdentityOf(GateRun& run) const;
  // Returns the refusal of a run that may not start, because upstreams have
  // ended under its request.
  std::optional<peers::Answer> RefusalForCrashes(GateRun& run);
  void OnCompleted(GateRun& run);
  // The connection of a run was lost. Its answer waits for what a probe tells
  // of the upstream.
  void HoldLostRun(uint64_t id);
  void AddLostRun(GateRun run);
  void ReportEnd();
  GateRun* Find(const CallKey& key);
  void GrantRequestCredit(GateRun& run, uint32_t bytes);
  void AbortRun(uint64_t id);
  void Tick();
  http::Request UpstreamRequest(const GateRun& run, base::Millis left) const;
  void LogEnd(const GateRun& run, const peers::Answer& answer) const;
  // What the upstream sent is no answer in the protocol, or not to this run.
  void LogUnusableAnswer(const GateRun& run) const;
  // Whether a response is of the known upstream.
  bool IsOwn(const GateRun& run, const ResponseMetadata& metadata) const;
  void OnAnnouncement(const GateRun& run, const ResponseMetadata& metadata);
  // An upstream's answer has come; probes its health page if that is due.
  void OnAnswerOf(const GateRun& run, const http::Response& response,
                  const ResponseMetadata& metadata);
  void ProbeHealthIfDue();
  // Probes the page again when that is due.
  void ScheduleProbe();
  void OnHealth(base::EndKind kind, const http::Response& response,
                const ResponseMetadata& metadata);
  // Makes the gate keep what is announced. `source`, for the log: "response" or
  // "peer".
  void ApplyAnnouncement(const char* source);
  // Stops accepting new requests because the upstream leaves, and refuses those
  // that wait. `why`, for the log: "draining", "not_listed", "announced",
  // "health" or "stopping".
  void CloseGate(const char* why);
  void OpenGate(bool cold);

  loop::Timers& timers_;
  const Dialect& dialect_;
  const GateServerOptions options_;
  EventLog& log_;
  Metrics& metrics_;
  RunObserver& observer_;
  UpstreamPool* pool_ = nullptr;
  std::unique_ptr<machines::Gate> gate_;
  machines::AnnouncementTracker tracker_;
  machines::LeavingDetector leaving_;
  std::string health_path_;
  std::string address_;       // of the upstream
  loop::Timer health_timer_;  // bounds a probe, or begins the next
  int slots_ = 0;
  int64_t started_at_ = 0;  // start time of the current upstream process
  bool listed_ = false;     // as ready, in the newest list
  bool stopping_ = false;
  base::Millis closed_at_{0};  // while the gate is closed
  std::unordered_map<uint64_t, GateRun> runs_;
  std::map<CallKey, uint64_t> by_key_;
  uint64_t next_run_ = 1;
  loop::Timer tick_;
  crashes::History& history_;
  CrashObserver& crash_observer_;
  std::vector<GateRun> lost_runs_;  // whose answers wait for the probe
  // Identities of the requests in progress as the upstream ended, and the
  // process that did.
  std::vector<std::string> ended_under_;
  std::string ended_upstream_;
  loop::Timer end_window_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_GATE_SERVER_H_
