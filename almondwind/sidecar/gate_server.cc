#include "almondwind/sidecar/gate_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "almondwind/machines/limiter.h"

namespace almondwind::sidecar {

using base::EndKind;
using base::Millis;
using base::Outcome;
using base::Reason;

namespace {

// While something waits, the queue is looked at this often.
constexpr Millis kTick{10};
// Slots assumed until the upstream's entry has been read.
constexpr int kUnknownSlots = 16;
constexpr int kManyConnections = 1024;

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

// What became of a request, by how its exchange ended.
peers::Answer Judge(EndKind kind, http::Response response,
                    const AnswerMarks& marks) {
  if (kind == EndKind::kUnreachable) {
    return NotRun(Reason::kUpstreamUnreachable);
  }
  if (kind == EndKind::kTooLarge) return Unknown(Reason::kAnswerTooLarge);
  if (kind == EndKind::kClosed) return Unknown(Reason::kUpstreamClosed);
  if (marks.other_upstream || marks.not_run) {
    peers::Answer answer =
        NotRun(marks.other_upstream ? Reason::kNoHost : Reason::kUpstreamShed);
    answer.arrived = true;
    return answer;
  }
  bool success = response.status / 100 == 2;
  if (marks.encoded || (success && !marks.sealed)) {
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
                       Metrics& metrics, RunObserver& observer)
    : timers_(timers),
      dialect_(dialect),
      options_(options),
      log_(log),
      metrics_(metrics),
      observer_(observer),
      gate_(std::make_unique<machines::Gate>(kUnknownSlots, kManyConnections,
                                             options.gate, *this)),
      slots_(kUnknownSlots),
      tick_(timers) {}

GateServer::~GateServer() = default;

void GateServer::SetUpstream(const fleet::Upstream* upstream) {
  if (upstream == nullptr) {
    // Known before and gone from the list: it has left.
    if (started_at_ != 0) gate_->Leave();
    return;
  }
  bool fresh = upstream->started_at != started_at_;
  int usable = machines::UsableSlots(upstream->slots, options_.usable_percent);
  if (upstream->slots > 0 && usable != slots_ && runs_.empty()) {
    slots_ = usable;
    gate_ = std::make_unique<machines::Gate>(slots_, kManyConnections,
                                             options_.gate, *this);
  }
  if (upstream->draining) {
    gate_->Leave();
  } else if (!stopping_ && (fresh || gate_->leaving())) {
    gate_->Join(timers_.Now(), upstream->cold_left > Millis(0));
  }
  started_at_ = upstream->started_at;
}

void GateServer::Leave() {
  stopping_ = true;
  gate_->Leave();
}

void GateServer::Offer(const CallKey& key, peers::Call call, Reply reply) {
  Millis now = timers_.Now();
  machines::RequestPtr request(new machines::Request);
  request->id = call.route;
  request->cls = static_cast<base::RequestClass>(call.cls);
  request->idempotent = call.idempotent;
  request->deadline = now + Millis(call.time_left_ms) - options_.refusal_margin;
  request->max_wait = Millis(call.max_wait_ms);
  machines::RunPtr run(new machines::Run);
  run->id = next_run_++;
  run->request = request;
  GateRun& held = runs_[run->id];
  held.run = run;
  held.key = key;
  held.call = std::move(call);
  held.reply = std::move(reply);
  by_key_[key] = run->id;
  gate_->Offer(run, now);
  if (gate_->queued() > 0 && !tick_.pending()) {
    tick_.Start(kTick, [this] { Tick(); });
  }
}

void GateServer::Tick() {
  gate_->Tick(timers_.Now());
  if (gate_->queued() > 0) tick_.Start(kTick, [this] { Tick(); });
}

void GateServer::Start(machines::Run& run) {
  uint64_t id = run.id;
  GateRun& held = runs_.at(id);
  Millis now = timers_.Now();
  Millis left = run.request->deadline + options_.refusal_margin - now;
  if (left < options_.min_time_left) {
    gate_->End(run, {}, now);
    return Answer(id, NotRun(Reason::kDeadline));
  }
  observer_.OnRunStarted(id, held.call.route, run.request->cls, now + left);
  http::Request request = UpstreamRequest(held, left);
  std::string request_id = dialect_.ReadCaller(request.headers).request_id;
  pool_->Send(id, request, request_id, held.call.idempotent);
  auto it = runs_.find(id);
  if (it == runs_.end() || !it->second.call.rest.follows) return;
  it->second.call.body.clear();
  GrantBody(it->second, options_.body_window);
}

http::Request GateServer::UpstreamRequest(const GateRun& run,
                                          Millis left) const {
  http::Request request;
  request.method = run.call.method;
  request.target = run.call.target;
  request.headers = run.call.headers;
  request.body = run.call.body;
  request.rest = run.call.rest;
  UpstreamTerms terms;
  terms.upstream = run.call.upstream;
  terms.caller_service = run.call.caller_service;
  terms.time_left = left;
  dialect_.WriteUpstream(terms, request.headers);
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
                               const AnswerMarks& marks) {
  auto it = runs_.find(exchange);
  if (it == runs_.end()) return;
  machines::RunPtr run = it->second.run;
  Millis now = timers_.Now();
  peers::Answer answer = Judge(kind, std::move(response), marks);
  bool completed = answer.status / 100 == 2;
  observer_.OnRunEnded(exchange, completed, now - run->started);
  machines::RunEnd end;
  end.shed = marks.not_run && !marks.other_upstream;
  gate_->End(*run, end, now);
  Answer(exchange, std::move(answer));
}

void GateServer::Answer(uint64_t id, peers::Answer answer) {
  auto it = runs_.find(id);
  if (it == runs_.end()) return;
  GateRun run = std::move(it->second);
  runs_.erase(it);
  by_key_.erase(run.key);
  answer.id = run.key.second;
  answer.load = Load();
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
  if (outcome == Outcome::kAnswered || !log_.Wants("gate")) return;
  log_.Write("gate",
             {{"id", dialect_.ReadCaller(run.call.headers).request_id},
              {"route", run.call.route},
              {"upstream", run.call.upstream},
              {"outcome", base::NameOf(base::kOutcomeNames, outcome)},
              {"reason", base::ReasonName(static_cast<Reason>(answer.reason))},
              {"in_progress", answer.load.in_progress},
              {"limit", answer.load.limit},
              {"queued", gate_->queued()},
              {"time_left_ms", run.call.time_left_ms}});
}

void GateServer::Cancel(const CallKey& key) {
  auto it = by_key_.find(key);
  if (it == by_key_.end()) return;
  uint64_t id = it->second;
  GateRun& held = runs_.at(id);
  Millis now = timers_.Now();
  machines::RunPtr run = held.run;
  held.abandoned = true;
  if (gate_->Withdraw(*run, Reason::kCancelled, now)) return;
  // What must not run twice is left to finish: breaking it off would not make
  // it undone. A body of which parts are missing never finishes.
  bool in_parts = held.call.rest.follows || held.answering;
  if (held.call.idempotent || in_parts) BreakOff(id);
}

void GateServer::BreakOff(uint64_t id) {
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

// ---- Bodies in parts.

GateServer::GateRun* GateServer::Find(const CallKey& key) {
  auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &runs_.at(it->second);
}

void GateServer::GrantBody(GateRun& run, uint32_t bytes) {
  if (!run.abandoned) run.reply(peers::Credit{run.key.second, true, bytes});
}

void GateServer::OnBodyPart(const CallKey& key, const peers::BodyPart& part) {
  GateRun* held = Find(key);
  if (held == nullptr) return;  // it has ended in the meantime
  uint64_t id = held->run->id;
  bool last = part.end == static_cast<uint8_t>(peers::BodyEnd::kLast);
  pool_->SendBody(id, part.bytes, last);
  if (last) {
    held->call.rest.follows = false;
    return;
  }
  held->ungranted += static_cast<uint32_t>(part.bytes.size());
  if (pool_->unwritten(id) == 0) OnUpstreamDrained(id);
}

void GateServer::OnUpstreamDrained(uint64_t exchange) {
  auto it = runs_.find(exchange);
  if (it == runs_.end() || it->second.ungranted == 0) return;
  GrantBody(it->second, std::exchange(it->second.ungranted, 0));
}

void GateServer::OnUpstreamLarge(uint64_t exchange, http::Response response,
                                 const AnswerMarks& marks) {
  auto it = runs_.find(exchange);
  if (it == runs_.end()) return;
  GateRun& held = it->second;
  peers::Answer answer = Judge(EndKind::kAnswer, std::move(response), marks);
  bool passed_on = answer.outcome == static_cast<uint8_t>(Outcome::kAnswered);
  if (!passed_on || held.abandoned) {
    // The rest of what the caller will not get is not waited for.
    machines::RunPtr run = held.run;
    pool_->Cancel(exchange);
    observer_.OnRunEnded(exchange, false, timers_.Now() - run->started);
    gate_->End(*run, {}, timers_.Now());
    return Answer(exchange, std::move(answer));
  }
  held.answering = true;
  answer.id = held.key.second;
  answer.load = Load();
  metrics_.OnGateEnd(Outcome::kAnswered, static_cast<Reason>(answer.reason),
                     held.run->started - held.run->enqueued);
  held.reply(std::move(answer));
}

void GateServer::OnCredit(const CallKey& key, uint32_t bytes) {
  GateRun* held = Find(key);
  if (held == nullptr || !held->answering) return;
  held->credit += bytes;
  if (held->credit > 0) pool_->ResumeBody(held->run->id);
}

void GateServer::OnUpstreamBody(uint64_t exchange, std::string bytes,
                                peers::BodyEnd end) {
  auto it = runs_.find(exchange);
  if (it == runs_.end()) return;
  GateRun& held = it->second;
  held.credit -= static_cast<int64_t>(bytes.size());
  if (end == peers::BodyEnd::kMore && held.credit <= 0) {
    pool_->PauseBody(exchange);
  }
  if (!held.abandoned) {
    held.reply(peers::BodyPart{held.key.second, false,
                               static_cast<uint8_t>(end), std::move(bytes)});
  }
  if (end == peers::BodyEnd::kMore) return;
  // The reply may have ended other runs; this one is found anew.
  it = runs_.find(exchange);
  if (it == runs_.end()) return;
  machines::RunPtr run = it->second.run;
  Millis now = timers_.Now();
  observer_.OnRunEnded(exchange, end == peers::BodyEnd::kLast,
                       now - run->started);
  by_key_.erase(it->second.key);
  runs_.erase(it);
  gate_->End(*run, {}, now);
}

links::Load GateServer::Load() const {
  return gate_->CurrentLoad(timers_.Now());
}

}  // namespace almondwind::sidecar
