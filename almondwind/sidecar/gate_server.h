// The gate of the upstream beside this node, with its requests.
//
// Every request for the upstream comes through here, from this node's own
// dispatcher or over a link, so limit, queue, drain and "not run" are decided
// next to the work. machines::Gate decides what runs, waits or is refused.
//
//   gate.Offer({link_serial, call.id}, call, reply);  // replies with an Answer
//   gate.Cancel({link_serial, call.id});
//
// An answer is passed on only if it is whole and the upstream vouches for it;
// anything else the upstream did after a request was sent is "unknown".
//
// A body too large for one frame is passed on in parts: of a request, as many
// bytes are granted as have been written to the upstream; of an answer, as many
// are read as the sender of the call has granted.
//
// Bounds: those of the gate's queues; Options::body_window bytes of each body
// that comes in parts. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_GATE_SERVER_H_
#define ALMONDWIND_SIDECAR_GATE_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "almondwind/machines/gate.h"
#include "almondwind/peers/frames.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"
#include "almondwind/sidecar/metrics.h"
#include "almondwind/sidecar/upstream_pool.h"

namespace almondwind::sidecar {

// Link serial (0: this node's own dispatcher) and id of a call on it.
using CallKey = std::pair<uint64_t, uint64_t>;
// Takes the frames that go back to the sender of a call: one Answer, and where
// bodies come in parts, Credit for the request's and BodyPart of the answer's.
using Reply = std::function<void(peers::Frame)>;

// Told of what the upstream's runs cost.
class RunObserver {
 public:
  virtual ~RunObserver() = default;
  // The upstream has been told to end by `deadline`.
  virtual void OnRunStarted(uint64_t run, const std::string& route,
                            base::RequestClass cls, base::Millis deadline) = 0;
  // `completed`: with success, after `took` in the upstream's slot.
  virtual void OnRunEnded(uint64_t run, bool completed, base::Millis took) = 0;
};

struct GateServerOptions {
  machines::GateOptions gate = [] {
    machines::GateOptions o;
    // The gate is the only way to its upstream and keeps to the published
    // slots, so a refusal by the upstream is a fault of its own and not a sign
    // of too many requests; a cold one is slow, and needs its slots more.
    o.limiter = "fixed";
    o.ramp_start_percent = 100;
    o.evict = false;
    return o;
  }();
  // Share of the published slots that is used. Upstreams slow down from 95% on
  // (by 1.3 in what was measured), which costs more than the slots left free;
  // one slot is also held for a moment by a new connection.
  int usable_percent = 94;
  // Left at the end of a request's time for a refusal to reach its caller.
  base::Millis refusal_margin{25};
  // A request with less time left is refused rather than run.
  base::Millis min_time_left{5};
  // Bytes of a large request that are on their way at one time. Enough for
  // 1 Gbit/s at 2 ms.
  uint32_t body_window = 256u << 10;
};

class GateServer : public machines::GateEvents, public UpstreamPoolEvents {
 public:
  GateServer(loop::Timers& timers, const Dialect& dialect,
             const GateServerOptions& options, EventLog& log, Metrics& metrics,
             RunObserver& observer);
  ~GateServer() override;

  void Attach(UpstreamPool& pool) { pool_ = &pool; }

  // The upstream as it is published now; null: it is not listed.
  void SetUpstream(const fleet::Upstream* upstream);
  void Offer(const CallKey& key, peers::Call call, Reply reply);
  // Nobody waits for the answer any more. What waits is refused; what runs and
  // may be repeated is broken off.
  void Cancel(const CallKey& key);
  // The next part of a request's body.
  void OnBodyPart(const CallKey& key, const peers::BodyPart& part);
  // The sender takes this many more bytes of its answer.
  void OnCredit(const CallKey& key, uint32_t bytes);
  // The link is gone, and with it all who waited for answers on it.
  void CancelLink(uint64_t serial);
  // Takes no new requests from now on.
  void Leave();

  links::Load Load() const;
  bool idle() const { return runs_.empty(); }
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

 private:
  struct GateRun {
    machines::RunPtr run;
    CallKey key;
    peers::Call call;
    Reply reply;
    bool abandoned = false;
    // Of a request in parts: bytes that came and have not been granted anew.
    uint32_t ungranted = 0;
    // Of an answer in parts: whether it has begun, and how much may be sent.
    bool response_started = false;
    int64_t credit = 0;
  };

  void Answer(uint64_t id, peers::Answer answer);
  GateRun* Find(const CallKey& key);
  void GrantRequestCredit(GateRun& run, uint32_t bytes);
  void AbortRun(uint64_t id);
  void Tick();
  http::Request UpstreamRequest(const GateRun& run, base::Millis left) const;
  void LogEnd(const GateRun& run, const peers::Answer& answer) const;

  loop::Timers& timers_;
  const Dialect& dialect_;
  const GateServerOptions options_;
  EventLog& log_;
  Metrics& metrics_;
  RunObserver& observer_;
  UpstreamPool* pool_ = nullptr;
  std::unique_ptr<machines::Gate> gate_;
  int slots_ = 0;
  int64_t started_at_ = 0;  // of the upstream's incarnation
  bool stopping_ = false;
  std::unordered_map<uint64_t, GateRun> runs_;
  std::map<CallKey, uint64_t> by_key_;
  uint64_t next_run_ = 1;
  loop::Timer tick_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_GATE_SERVER_H_
