#include "almondwind/sidecar/gate_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "almondwind/crashes/identity.h"
#include "almondwind/machines/limiter.h"

namespace almondwind::sidecar {

using base::EndKind;
using base::Millis;
using base::Outcome;
using base::Reason;

namespace {

// Interval of queue checks while requests are queued.
constexpr Millis kTickInterval{10};
// Slots assumed until the upstream's entry is known.
constexpr int kDefaultSlots = 16;
constexpr int kMaxConnections = 1024;
// Exchange of a health probe with the upstream; runs have others.
constexpr uint64_t kHealthExchange = 0;

peers::Answer NotRun(Reason reason) {
  peers::Answer answer;
  answer.outcome = static_cast<uint8_t>(Outcome::kNotRun);
  answer.reason = static_cast<uint8_t>(reason);
  return answer;
}

peers::Answer Unknown(Reason reason) {
  peers::Answer answer = NotRun(reason);
  answer.outcome = static_cast<uint8_t>(Outcome::kUnknown);
  answer.arrived = true;
  return answer;
}

// Returns the outcome of a request from the way its exchange ended.
peers::Answer AnswerFor(EndKind kind, http::Response response,
                        const ResponseMetadata& metadata) {
  if (kind == EndKind::kUnreachable) {
    return NotRun(Reason::kUpstreamUnreachable);
  }
  if (kind == EndKind::kTooLarge) return Unknown(Reason::kAnswerTooLarge);
  if (kind == EndKind::kClosed || kind == EndKind::kUnusable) {
    return Unknown(Reason::kUpstreamClosed);
  }
  if (metadata.wrong_upstream || metadata.not_run) {
    peers::Answer answer = NotRun(
        metadata.wrong_upstream ? Reason::kNoHost : Reason::kUpstreamShed);
    answer.arrived = true;
    return answer;
  }
  bool success = response.status / 100 == 2;
  if (metadata.encoded || (success && !metadata.sealed)) {
    return Unknown(Reason::kUpstreamClosed);
  }
  peers::Answer answer;
  answer.outcome = static_cast<uint8_t>(Outcome::kAnswered);
  answer.arrived = true;
  answer.status = static_cast<uint32_t>(response.status);
  answer.phrase = std::move(response.reason);
  answer.headers = std::move(response.headers);
  answer.headers.RemoveConnectionFields();
  answer.body = std::move(response.body);
  answer.rest = response.rest;
  return answer;
}

}  // namespace

GateServer::GateServer(loop::Timers& timers, const Dialect& dialect,
                       const GateServerOptions& options, EventLog& log,
                       Metrics& metrics, RunObserver& observer,
                       crashes::History& history, CrashObserver& crash_observer)
    : timers_(timers),
      dialect_(dialect),
      options_(options),
      log_(log),
      metrics_(metrics),
      observer_(observer),
      gate_(std::make_unique<machines::Gate>(kDefaultSlots, kMaxConnections,
                                             options.gate, *this)),
      leaving_(options.leaving),
      health_timer_(timers),
      slots_(kDefaultSlots),
      tick_(timers),
      history_(history),
      crash_observer_(crash_observer),
      end_window_(timers) {}

GateServer::~GateServer() = default;

void GateServer::SetUpstream(const fleet::Upstream* upstream) {
  if (upstream == nullptr) {
    // It was listed before and is no longer: it has been shut down.
    if (started_at_ != 0) CloseGate("not_listed");
    listed_ = false;
    return;
  }
  bool restarted = upstream->started_at != started_at_;
  bool limited = !tracker_.current().empty();
  tracker_.SetUpstream(upstream->id, upstream->started_at);
  if (limited && tracker_.current().empty()) ApplyAnnouncement("restart");
  int usable = machines::UsableSlots(upstream->slots, options_.usable_percent);
  if (upstream->slots > 0 && usable != slots_ && runs_.empty()) {
    slots_ = usable;
    gate_ = std::make_unique<machines::Gate>(slots_, kMaxConnections,
                                             options_.gate, *this);
    gate_->SetRate(tracker_.current().rate, timers_.Now());
  }
  if (restarted) leaving_.Reset();
  listed_ = !upstream->draining;
  address_ = upstream->address;
  if (tracker_.current().leaving) {
    CloseGate("announced");
  } else if (upstream->draining) {
    CloseGate("draining");
  } else if (leaving_.leaving()) {
    CloseGate("health");
    ScheduleProbe();
  } else if (!stopping_ && (restarted || gate_->leaving())) {
    OpenGate(upstream->cold_left > Millis(0));
  }
  started_at_ = upstream->started_at;
}

void GateServer::Leave() {
  stopping_ = true;
  CloseGate("stopping");
}

void GateServer::OnAnnouncement(const GateRun& run,
                                const ResponseMetadata& metadata) {
  // Before it knows any list, this node takes the caller's word for whose
  // response it is. Any other upstream than the known one, at this address or
  // in a newer list, says nothing of that.
  if (tracker_.current().upstream.empty() && !metadata.wrong_upstream) {
    tracker_.SetUpstream(run.call.upstream, 0);
  }
  if (IsOwn(run, metadata) &&
      tracker_.OnResponse(run.run->started, metadata.rate, metadata.leaving,
                          timers_.Now())) {
    ApplyAnnouncement("response");
  }
}

bool GateServer::IsOwn(const GateRun& run,
                       const ResponseMetadata& metadata) const {
  return !metadata.wrong_upstream &&
         run.call.upstream == tracker_.current().upstream;
}

void GateServer::OnAnswerOf(const GateRun& run, const http::Response& response,
                            const ResponseMetadata& metadata) {
  OnAnnouncement(run, metadata);
  if (!IsOwn(run, metadata)) return;
  leaving_.OnAnswer(!response.keep_alive, timers_.Now());
  ProbeHealthIfDue();
}

// An upstream that is known to leave, or a node that stops, needs no probe.
void GateServer::ProbeHealthIfDue() {
  bool needed = listed_ && !stopping_ && !tracker_.current().leaving;
  if (health_path_.empty() || !needed) return;
  if (!leaving_.ShouldProbe(timers_.Now())) return;
  http::Request request;
  request.method = "GET";
  request.target = health_path_;
  request.headers.Add("Host", address_);
  health_timer_.Start(options_.health_timeout, [this] {
    pool_->Cancel(kHealthExchange);
    OnHealth(EndKind::kClosed, {}, {});
  });
  pool_->Send(kHealthExchange, request, /*request_id=*/"",
              /*idempotent=*/true);
}

void GateServer::OnHealth(EndKind kind, const http::Response& response,
                          const ResponseMetadata& metadata) {
  bool own = kind == EndKind::kAnswer && !metadata.wrong_upstream &&
             metadata.upstream.value_or(tracker_.current().upstream) ==
                 tracker_.current().upstream;
  machines::Health health = machines::Health::kUnknown;
  if (own && response.status == 200) {
    health = machines::Health::kServing;
  } else if (own && response.status == 503 && !metadata.not_run) {
    // A full upstream refuses the probe like any other request.
    health = machines::Health::kNotServing;
  }
  Millis now = timers_.Now();
  bool changed = leaving_.OnHealth(health, now);
  log_.Write("upstream_health",
             {{"upstream", tracker_.current().upstream},
              {"health", base::NameOf(machines::kHealthNames, health)},
              {"status", response.status},
              {"leaving", leaving_.leaving()},
              {"listed", listed_}});
  health_timer_.Stop();
  if (leaving_.leaving()) ScheduleProbe();
  if (!changed || !listed_ || stopping_) return;
  if (leaving_.leaving()) return CloseGate("health");
  if (!tracker_.current().leaving) OpenGate(/*cold=*/false);
}

// Also after a time in which the upstream was not listed, and not probed.
void GateServer::ScheduleProbe() {
  if (health_timer_.pending()) return;
  health_timer_.Start(
      std::max(Millis(0), leaving_.next_probe() - timers_.Now()),
      [this] { ProbeHealthIfDue(); });
}

void GateServer::ApplyAnnouncement(const char* source) {
  const machines::Announcement& announced = tracker_.current();
  gate_->SetRate(announced.rate, timers_.Now());
  if (announced.leaving) CloseGate("announced");
  log_.Write("upstream_announces", {{"upstream", announced.upstream},
                                    {"limited", announced.rate.has_value()},
                                    {"per_s", announced.rate.value_or(0)},
                                    {"leaving", announced.leaving},
                                    {"source", source},
                                    {"in_progress", gate_->in_progress()},
                                    {"queued", gate_->queued()}});
}

void GateServer::CloseGate(const char* why) {
  if (!gate_->leaving()) {
    closed_at_ = timers_.Now();
    log_.Write("gate_closed", {{"why", why},
                               {"queued", gate_->queued()},
                               {"in_progress", gate_->in_progress()},
                               {"upstream_started_at", started_at_}});
  }
  gate_->Leave();
  // An upstream that leaves gets no new requests. If only this node stops, its
  // upstream may still run those that wait.
  if (!stopping_) gate_->RefuseQueued(Reason::kLeaving, timers_.Now());
}

void GateServer::OpenGate(bool cold) {
  if (gate_->leaving()) {
    log_.Write("gate_opened",
               {{"closed_ms", (timers_.Now() - closed_at_).count()}});
  }
  gate_->Join(timers_.Now(), cold);
}

void GateServer::Offer(const CallKey& key, peers::Call call, Reply reply) {
  Millis now = timers_.Now();
  if (tracker_.OnReminder(call.reminder)) ApplyAnnouncement("peer");
  machines::RequestPtr request(new machines::Request);
  request->id = call.route;
  request->cls = static_cast<base::RequestClass>(call.cls);
  request->idempotent = call.idempotent;
  request->deadline = now + Millis(call.time_left_ms) - options_.refusal_margin;
  request->max_wait = Millis(call.max_wait_ms);
  machines::RunPtr run(new machines::Run);
  run->id = next_run_++;
  run->request = request;
  GateRun& gate_run = runs_[run->id];
  gate_run.run = run;
  gate_run.key = key;
  gate_run.call = std::move(call);
  gate_run.reply = std::move(reply);
  by_key_[key] = run->id;
  // The identity of a streamed request must be taken before its body is sent.
  if (gate_run.call.rest.follows) IdentityOf(gate_run);
  if (std::optional<peers::Answer> refusal = RefusalForCrashes(gate_run)) {
    run->enqueued = now;
    return Answer(run->id, std::move(*refusal));
  }
  gate_->Offer(run, now);
  if (gate_->queued() > 0 && !tick_.pending()) {
    tick_.Start(kTickInterval, [this] { Tick(); });
  }
}

void GateServer::Tick() {
  gate_->Tick(timers_.Now());
  if (gate_->queued() > 0) tick_.Start(kTickInterval, [this] { Tick(); });
}

void GateServer::Start(machines::Run& run) {
  uint64_t id = run.id;
  GateRun& gate_run = runs_.at(id);
  Millis now = timers_.Now();
  Millis left = run.request->deadline + options_.refusal_margin - now;
  if (left < options_.min_time_left) {
    gate_->End(run, {}, now);
    return Answer(id, NotRun(Reason::kDeadline));
  }
  // Upstreams may have ended under it elsewhere while it was queued.
  if (std::optional<peers::Answer> refusal = RefusalForCrashes(gate_run)) {
    gate_->End(run, {}, now);
    return Answer(id, std::move(*refusal));
  }
  observer_.OnRunStarted(id, gate_run.call.route, run.request->cls, now + left);
  http::Request request = UpstreamRequest(gate_run, left);
  std::string request_id = dialect_.ReadCaller(request.headers).request_id;
  if (gate_->leaving()) {
    log_.Write("run_after_close",
               {{"id", request_id},
                {"upstream", gate_run.call.upstream},
                {"closed_ms_ago", (now - closed_at_).count()},
                {"waited_ms", (now - run.enqueued).count()}});
  }
  pool_->Send(id, request, request_id, gate_run.call.idempotent);
  auto it = runs_.find(id);
  if (it == runs_.end() || !it->second.call.rest.follows) return;
  it->second.call.body.clear();
  GrantRequestCredit(it->second, options_.body_window);
}

http::Request GateServer::UpstreamRequest(const GateRun& run,
                                          Millis left) const {
  http::Request request;
  request.method = run.call.method;
  request.target = run.call.target;
  request.headers = run.call.headers;
  request.body = run.call.body;
  request.rest = run.call.rest;
  UpstreamMetadata metadata;
  metadata.upstream = run.call.upstream;
  metadata.caller_service = run.call.caller_service;
  metadata.time_left = left;
  dialect_.WriteUpstream(metadata, request.headers);
  return request;
}

void GateServer::Refused(machines::Run& run, Reason reason) {
  peers::Answer answer = NotRun(reason);
  links::Load load = gate_->CurrentLoad(timers_.Now());
  answer.retry_after_ms = load.retry_after_ms.at(base::Index(run.request->cls));
  Answer(run.id, std::move(answer));
}

void GateServer::OnUpstreamEnd(uint64_t exchange, EndKind kind,
                               http::Response response,
                               const ResponseMetadata& metadata) {
  if (exchange == kHealthExchange) return OnHealth(kind, response, metadata);
  auto it = runs_.find(exchange);
  if (it == runs_.end()) return;
  GateRun& gate_run = it->second;
  machines::RunPtr run = gate_run.run;
  if (kind == EndKind::kAnswer) OnAnswerOf(gate_run, response, metadata);
  if (kind == EndKind::kUnusable) LogUnusableAnswer(gate_run);
  Millis now = timers_.Now();
  peers::Answer answer = AnswerFor(kind, std::move(response), metadata);
  if (answer.outcome == static_cast<uint8_t>(Outcome::kAnswered)) {
    OnCompleted(gate_run);
  }
  bool completed = answer.status / 100 == 2;
  observer_.OnRunEnded(exchange, completed, now - run->started);
  machines::RunEnd end;
  end.shed = metadata.not_run && !metadata.wrong_upstream;
  gate_->End(*run, end, now);
  // A planned end is no crash.
  if (kind == EndKind::kClosed && !gate_->leaving()) {
    return HoldLostRun(exchange);
  }
  Answer(exchange, std::move(answer));
}

// ---- Requests that crash the upstream.

const std::string& GateServer::IdentityOf(GateRun& run) const {
  if (run.identity.empty()) {
    const std::string* host = run.call.headers.Find("Host");
    run.identity = crashes::IdentityOf(
        {run.call.method, host == nullptr ? std::string_view() : *host,
         run.call.target, run.call.body, run.call.rest});
  }
  return run.identity;
}

std::optional<peers::Answer> GateServer::RefusalForCrashes(GateRun& run) {
  if (history_.empty()) return std::nullopt;
  Millis now = timers_.Now();
  crashes::Standing standing = history_.StandingOf(IdentityOf(run), now);
  run.alone = standing.crashes >= options_.crashes_until_alone;
  peers::Answer answer;
  if (standing.refused()) {
    answer = NotRun(Reason::kCrashesUpstreams);
    answer.retry_after_ms = static_cast<uint32_t>(standing.refused_for.count());
  } else if (run.alone &&
             std::any_of(runs_.begin(), runs_.end(), [&run](const auto& row) {
               return &row.second != &run && row.second.alone;
             })) {
    answer = NotRun(Reason::kCrashSuspect);
    answer.retry_after_ms =
        static_cast<uint32_t>(options_.alone_retry_after.count());
  } else {
    return std::nullopt;
  }
  return answer;
}

void GateServer::OnCompleted(GateRun& run) {
  if (history_.empty()) return;
  const std::string& identity = IdentityOf(run);
  if (!history_.OnCompleted(identity)) return;
  log_.Write("crash_suspect_cleared",
             {{"request", crashes::ShortName(identity)},
              {"id", dialect_.ReadCaller(run.call.headers).request_id},
              {"target", run.call.target},
              {"upstream", run.call.upstream}});
  crash_observer_.OnCrashReports({{identity, "", Millis(0)}});
}

void GateServer::HoldLostRun(uint64_t id) {
  auto it = runs_.find(id);
  GateRun run = std::move(it->second);
  by_key_.erase(run.key);
  runs_.erase(it);
  AddLostRun(std::move(run));
}

void GateServer::AddLostRun(GateRun run) {
  IdentityOf(run);
  lost_runs_.push_back(std::move(run));
  if (end_window_.pending()) {
    OnUpstreamProbed(/*refused=*/true);  // its process is known to have ended
  } else {
    pool_->Probe();
  }
}

void GateServer::OnUpstreamProbed(bool refused) {
  Reason reason = refused ? Reason::kUpstreamEnded : Reason::kUpstreamClosed;
  std::vector<GateRun> lost = std::exchange(lost_runs_, {});
  for (GateRun& run : lost) {
    if (refused) {
      // The time tells this end from others: an upstream may start again under
      // the id that it had, and the list of upstreams comes later.
      if (ended_upstream_.empty()) {
        ended_upstream_ =
            run.call.upstream + "@" + std::to_string(timers_.Now().count());
      }
      ended_under_.push_back(run.identity);
    }
    // A streamed response has been broken off already.
    if (!run.response_started) SendAnswer(run, Unknown(reason));
  }
  if (refused && !ended_under_.empty() && !end_window_.pending()) {
    end_window_.Start(options_.end_window, [this] { ReportEnd(); });
  }
}

void GateServer::ReportEnd() {
  std::vector<std::string> requests = std::exchange(ended_under_, {});
  std::string upstream = std::exchange(ended_upstream_, {});
  Millis now = timers_.Now();
  std::vector<crashes::Report> reports =
      history_.OnUpstreamEnded(upstream, requests, now);
  constexpr size_t kLoggedRequests = 8;
  nlohmann::json blamed = nlohmann::json::array();
  for (const crashes::Report& report : reports) {
    if (blamed.size() == kLoggedRequests) break;
    blamed.push_back(
        {{"request", crashes::ShortName(report.request)},
         {"crashes", history_.StandingOf(report.request, now).crashes}});
  }
  log_.Write("upstream_ended", {{"upstream", upstream},
                                {"in_progress", requests.size()},
                                {"suspected", reports.size()},
                                {"requests", blamed}});
  if (!reports.empty()) crash_observer_.OnCrashReports(reports);
}

void GateServer::Answer(uint64_t id, peers::Answer answer) {
  auto it = runs_.find(id);
  if (it == runs_.end()) return;
  GateRun run = std::move(it->second);
  runs_.erase(it);
  by_key_.erase(run.key);
  SendAnswer(run, std::move(answer));
}

void GateServer::SendAnswer(GateRun& run, peers::Answer answer) {
  answer.id = run.key.second;
  answer.load = Load();
  if (!announcement().empty()) answer.announcement = announcement();
  LogEnd(run, answer);
  Millis until =
      run.run->started > Millis(0) ? run.run->started : timers_.Now();
  metrics_.OnGateEnd(static_cast<Outcome>(answer.outcome),
                     static_cast<Reason>(answer.reason),
                     until - run.run->enqueued);
  if (!run.abandoned) run.reply(std::move(answer));
}

void GateServer::LogEnd(const GateRun& run, const peers::Answer& answer) const {
  auto outcome = static_cast<Outcome>(answer.outcome);
  if (outcome == Outcome::kAnswered || !log_.ShouldLog("gate")) return;
  std::string request =
      run.identity.empty() ? "" : crashes::ShortName(run.identity);
  log_.Write("gate",
             {{"request", request},
              {"id", dialect_.ReadCaller(run.call.headers).request_id},
              {"route", run.call.route},
              {"method", run.call.method},
              {"target", run.call.target},
              {"body_bytes", run.call.body.size()},
              {"caller_service", run.call.caller_service},
              {"upstream", run.call.upstream},
              {"outcome", base::NameOf(base::kOutcomeNames, outcome)},
              {"reason", base::ReasonName(static_cast<Reason>(answer.reason))},
              {"in_progress", answer.load.in_progress},
              {"limit", answer.load.limit},
              {"queued", gate_->queued()},
              {"time_left_ms", run.call.time_left_ms}});
}

void GateServer::LogUnusableAnswer(const GateRun& run) const {
  if (!log_.ShouldLog("unusable_answer")) return;
  log_.Write("unusable_answer",
             {{"id", dialect_.ReadCaller(run.call.headers).request_id},
              {"route", run.call.route},
              {"target", run.call.target},
              {"upstream", run.call.upstream},
              {"took_ms", (timers_.Now() - run.run->started).count()}});
}

void GateServer::Cancel(const CallKey& key) {
  auto it = by_key_.find(key);
  if (it == by_key_.end()) return;
  uint64_t id = it->second;
  GateRun& gate_run = runs_.at(id);
  Millis now = timers_.Now();
  machines::RunPtr run = gate_run.run;
  gate_run.abandoned = true;
  if (gate_->Withdraw(*run, Reason::kCancelled, now)) return;
  // A non-idempotent run is left to finish, because aborting it would not undo
  // it. With a streamed body it is aborted all the same: the sender is gone, so
  // the body would never be completed.
  bool streamed = gate_run.call.rest.follows || gate_run.response_started;
  if (gate_run.call.idempotent || streamed) AbortRun(id);
}

void GateServer::AbortRun(uint64_t id) {
  auto it = runs_.find(id);
  machines::RunPtr run = it->second.run;
  Millis now = timers_.Now();
  observer_.OnRunEnded(id, /*completed=*/false, now - run->started);
  run->cancelled = true;
  pool_->Cancel(id);
  by_key_.erase(it->second.key);
  runs_.erase(it);
  gate_->End(*run, {}, now);
}

void GateServer::CancelLink(uint64_t serial) {
  std::vector<CallKey> keys;
  for (auto it = by_key_.lower_bound({serial, 0});
       it != by_key_.end() && it->first.first == serial; ++it) {
    keys.push_back(it->first);
  }
  for (const CallKey& key : keys) Cancel(key);
}

// ---- Streamed bodies.

GateServer::GateRun* GateServer::Find(const CallKey& key) {
  auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &runs_.at(it->second);
}

void GateServer::GrantRequestCredit(GateRun& run, uint32_t bytes) {
  if (!run.abandoned) run.reply(peers::Credit{run.key.second, true, bytes});
}

void GateServer::OnBodyPart(const CallKey& key, const peers::BodyPart& part) {
  GateRun* gate_run = Find(key);
  if (gate_run == nullptr) return;  // the run has ended
  uint64_t id = gate_run->run->id;
  bool last = part.end == static_cast<uint8_t>(peers::BodyEnd::kLast);
  pool_->SendBody(id, part.bytes, last);
  if (last) {
    gate_run->call.rest.follows = false;
    return;
  }
  gate_run->ungranted += static_cast<uint32_t>(part.bytes.size());
  if (pool_->unwritten(id) == 0) OnUpstreamDrained(id);
}

void GateServer::OnUpstreamDrained(uint64_t exchange) {
  auto it = runs_.find(exchange);
  if (it == runs_.end() || it->second.ungranted == 0) return;
  GrantRequestCredit(it->second, std::exchange(it->second.ungranted, 0));
}

void GateServer::OnUpstreamHead(uint64_t exchange, http::Response response,
                                const ResponseMetadata& metadata) {
  auto it = runs_.find(exchange);
  if (it == runs_.end()) return;
  GateRun& gate_run = it->second;
  OnAnswerOf(gate_run, response, metadata);
  peers::Answer answer =
      AnswerFor(EndKind::kAnswer, std::move(response), metadata);
  bool passed_on = answer.outcome == static_cast<uint8_t>(Outcome::kAnswered);
  if (!passed_on || gate_run.abandoned) {
    // The caller does not get this response, so its body is not read.
    machines::RunPtr run = gate_run.run;
    pool_->Cancel(exchange);
    observer_.OnRunEnded(exchange, false, timers_.Now() - run->started);
    gate_->End(*run, {}, timers_.Now());
    return Answer(exchange, std::move(answer));
  }
  gate_run.response_started = true;
  answer.id = gate_run.key.second;
  answer.load = Load();
  if (!announcement().empty()) answer.announcement = announcement();
  metrics_.OnGateEnd(Outcome::kAnswered, static_cast<Reason>(answer.reason),
                     gate_run.run->started - gate_run.run->enqueued);
  gate_run.reply(std::move(answer));
}

void GateServer::OnCredit(const CallKey& key, uint32_t bytes) {
  GateRun* gate_run = Find(key);
  if (gate_run == nullptr || !gate_run->response_started) return;
  gate_run->credit += bytes;
  if (gate_run->credit > 0) pool_->ResumeBody(gate_run->run->id);
}

void GateServer::OnUpstreamBody(uint64_t exchange, std::string bytes,
                                peers::BodyEnd end) {
  auto it = runs_.find(exchange);
  if (it == runs_.end()) return;
  GateRun& gate_run = it->second;
  gate_run.credit -= static_cast<int64_t>(bytes.size());
  if (end == peers::BodyEnd::kMore && gate_run.credit <= 0) {
    pool_->PauseBody(exchange);
  }
  if (!gate_run.abandoned) {
    gate_run.reply(peers::BodyPart{gate_run.key.second, false,
                                   static_cast<uint8_t>(end),
                                   std::move(bytes)});
  }
  if (end == peers::BodyEnd::kMore) return;
  // The reply may have ended runs, so the iterator may be invalid.
  it = runs_.find(exchange);
  if (it == runs_.end()) return;
  if (end == peers::BodyEnd::kLast) OnCompleted(it->second);
  machines::RunPtr run = it->second.run;
  Millis now = timers_.Now();
  observer_.OnRunEnded(exchange, end == peers::BodyEnd::kLast,
                       now - run->started);
  by_key_.erase(it->second.key);
  GateRun ended = std::move(it->second);
  runs_.erase(it);
  bool broken = end == peers::BodyEnd::kBroken && !gate_->leaving();
  gate_->End(*run, {}, now);
  if (broken) AddLostRun(std::move(ended));
}

links::Load GateServer::Load() const {
  return gate_->CurrentLoad(timers_.Now());
}

}  // namespace almondwind::sidecar
