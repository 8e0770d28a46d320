#include "almondwind/sidecar/dispatcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "almondwind/crashes/identity.h"
#include "almondwind/sidecar/entry_call.h"

namespace almondwind::sidecar {

using base::Millis;
using base::Outcome;
using base::Reason;

Dispatcher::Dispatcher(loop::Timers& timers, const Dialect& dialect,
                       DispatcherOptions options, GateServer& gate,
                       Admission& admission, crashes::History& history,
                       EventLog& log, Metrics& metrics, uint64_t seed)
    : timers_(timers),
      dialect_(dialect),
      options_(std::move(options)),
      gate_(gate),
      admission_(admission),
      history_(history),
      log_(log),
      metrics_(metrics),
      splitter_(seed),
      budget_(routes::RetryBudgetOptions()),
      directory_([this] {
        zones::DirectoryOptions o;
        o.host = options_.link;
        o.zone = options_.zone;
        o.region = options_.region;
        return o;
      }()),
      picker_(zones::MakePicker("free_slots")),
      random_(seed) {}

Dispatcher::~Dispatcher() = default;

double Dispatcher::Jitter() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

// Jitter spreads the retries of callers that were refused at the same time.
Millis Dispatcher::ClampAndJitter(Millis delay) {
  Millis bounded =
      std::clamp(delay, options_.min_retry_after, options_.max_retry_after);
  return Millis(static_cast<int64_t>(static_cast<double>(bounded.count()) *
                                     (0.75 + Jitter() / 2)));
}

http::Response Dispatcher::LocalResponse(int status, Reason reason,
                                         Millis retry_after) const {
  http::Response response;
  response.status = status;
  response.reason = http::ReasonPhrase(status);
  response.headers.Add("X-Reason", base::ReasonName(reason));
  if (retry_after > Millis(0)) {
    dialect_.WriteRetryAfter(retry_after, response.headers);
  }
  return response;
}

uint64_t Dispatcher::Accept(http::Request request, CallerEvents& events) {
  uint64_t id = next_id_++;
  auto owned = std::make_unique<EntryCall>(id, timers_);
  EntryCall& call = *owned;
  call.metadata = dialect_.ReadCaller(request.headers);
  call.request = std::move(request);
  call.events = &events;
  call.arrived = timers_.Now();
  body_bytes_ += call.request.body.size();
  calls_[id] = std::move(owned);
  Begin(call);
  return id;
}

void Dispatcher::Begin(EntryCall& call) {
  if (table_ == nullptr) return Refuse(call, Reason::kNotReady, Millis(500));
  const std::string* host = call.request.headers.Find("Host");
  call.table = table_;
  call.route = table_->Match(*host, call.request.path());
  if (call.route == nullptr) {
    return Finish(call, LocalResponse(404, Reason::kUnknownService, Millis(0)),
                  "no_route");
  }
  if (RefuseForCrashes(call)) return;
  bool full = calls_.size() > options_.max_calls ||
              body_bytes_ > options_.max_body_bytes;
  if (full) return Refuse(call, Reason::kTooManyCalls, Millis(500));
  if (call.request.rest.follows) {
    if (streams_ >= options_.max_streams) {
      return Refuse(call, Reason::kTooManyCalls, Millis(500));
    }
    call.streaming = true;
    ++streams_;
  }
  Millis caller_timeout =
      call.metadata.timeout.value_or(options_.default_timeout);
  call.deadline = call.arrived + std::min(caller_timeout, call.route->timeout);
  if (RefuseForStop(call)) return;
  call.service = splitter_.Choose(*call.route).service;
  budget_.OnRequest(call.service, call.arrived);
  AdmissionDecision decision = admission_.Admit(
      *call.route, call.arrived + caller_timeout, call.arrived);
  call.inner = decision.inner;
  call.cls = decision.cls;
  if (decision.retry_after > Millis(0)) {
    return Refuse(call, Reason::kEntryWindow, decision.retry_after);
  }
  uint64_t id = call.id;
  call.deadline_timer.Start(call.deadline - call.arrived, [this, id] {
    auto it = calls_.find(id);
    if (it != calls_.end()) OnDeadline(*it->second);
  });
  Try(call);
}

bool Dispatcher::RefuseForStop(EntryCall& call) {
  Millis now = timers_.Now();
  if (stop_.Admits(now, call.deadline)) return false;
  Refuse(call, Reason::kLeaving, stop_.end() - now);
  return true;
}

bool Dispatcher::RefuseForCrashes(EntryCall& call) {
  if (history_.empty()) return false;
  const http::Request& request = call.request;
  std::string identity =
      crashes::IdentityOf({request.method, *request.headers.Find("Host"),
                           request.target, request.body, request.rest});
  crashes::Standing standing = history_.StandingOf(identity, call.arrived);
  if (!standing.refused()) return false;
  log_.Write("crashing_request_refused",
             {{"id", call.metadata.request_id},
              {"request", crashes::ShortName(identity)},
              {"target", request.target},
              {"crashes", standing.crashes},
              {"refused_for_ms", standing.refused_for.count()}});
  FinishCrashing(call, standing.refused_for);
  return true;
}

// Retry-After is not bounded here: the request is refused for that long.
void Dispatcher::FinishCrashing(EntryCall& call, Millis refused_for) {
  Finish(call, LocalResponse(503, Reason::kCrashesUpstreams, refused_for),
         std::string(base::ReasonName(Reason::kCrashesUpstreams)));
}

std::vector<zones::Machine*> Dispatcher::Candidates(const EntryCall& call,
                                                    bool any) {
  std::vector<zones::Machine*> out;
  Millis now = timers_.Now();
  for (const zones::MachinePtr& machine : directory_.Find(call.service)) {
    const std::string& link = machine->entry().link;
    if (machine->leaving() || call.tried.count(machine->name()) != 0) continue;
    if (link != options_.link && mesh_->Find(link) == nullptr) continue;
    if (any || machine->Usable(now, options_.eject))
      out.push_back(machine.get());
  }
  return out;
}

zones::Machine* Dispatcher::Choose(EntryCall& call) {
  std::vector<zones::Machine*> candidates = Candidates(call, /*any=*/false);
  // If all are ejected, an ejected upstream is better than none.
  if (candidates.empty()) candidates = Candidates(call, /*any=*/true);
  if (candidates.empty()) return nullptr;
  zones::PickContext context;
  context.cls = call.cls;
  context.now = timers_.Now();
  context.zone = options_.zone;
  context.region = options_.region;
  context.zone_penalty = options_.zone_penalty;
  context.region_penalty = options_.region_penalty;
  context.zone_preference = options_.zone_preference;
  return picker_->Pick(candidates, context, random_);
}

void Dispatcher::Try(EntryCall& call) {
  zones::Machine* machine = Choose(call);
  if (machine == nullptr) {
    return Refuse(call, Reason::kNoHost, Millis(300));
  }
  SendAttempt(call, *machine);
}

void Dispatcher::SendAttempt(EntryCall& call, zones::Machine& machine) {
  Millis now = timers_.Now();
  call.tried.insert(machine.name());
  call.machine = &machine;
  call.attempt = next_attempt_++;
  attempts_[call.attempt] = call.id;
  machine.OnSent(now);
  peers::Call out;
  out.id = call.attempt;
  out.upstream = machine.name();
  out.route = call.route->name;
  out.cls = static_cast<uint8_t>(call.cls);
  out.idempotent = call.route->idempotent;
  Millis left = std::max(Millis(0), call.deadline - now);
  out.time_left_ms = static_cast<uint32_t>(left.count());
  out.max_wait_ms = static_cast<uint32_t>(MaxWait(call, left).count());
  out.caller_service = options_.service;
  if (const machines::Announcement* known =
          announcements_.Find(machine.name(), machine.entry().started_at)) {
    out.reminder = *known;
  }
  out.method = call.request.method;
  out.target = call.request.target;
  out.headers = call.request.headers;
  out.headers.RemoveConnectionFields();
  dialect_.RemoveSystemFields(out.headers);
  out.body = call.request.body;
  out.rest = call.request.rest;
  if (machine.entry().link == options_.link) {
    call.attempt_link = 0;
    gate_.Offer({0, call.attempt}, std::move(out),
                [this](peers::Frame frame) { OnFrame(std::move(frame)); });
    return;
  }
  peers::Link* link = mesh_->Find(machine.entry().link);
  call.attempt_link = link->serial();
  link->Send(out);
}

Millis Dispatcher::MaxWait(const EntryCall& call, Millis left) const {
  Millis wait = call.inner ? left * options_.inner_wait_percent / 100
                           : call.route->target_latency *
                                 options_.entry_wait_percent / 100;
  return std::clamp(wait, Millis(1), std::max(Millis(1), left));
}

void Dispatcher::CancelAttempt(EntryCall& call) {
  if (call.attempt == 0) return;
  attempts_.erase(call.attempt);
  // The head of a streamed response has ended the call for its machine.
  if (!call.response_started) call.machine->OnAbandoned();
  if (call.attempt_link == 0) {
    gate_.Cancel({0, call.attempt});
  } else {
    SendToGate(call, peers::Cancel{call.attempt});
  }
  call.attempt = 0;
}

void Dispatcher::OnAnswer(uint64_t attempt, peers::Answer answer) {
  EntryCall* found = FindAttempt(attempt);
  if (found == nullptr || found->response_started) return;
  EntryCall& call = *found;
  if (!answer.rest.follows) {
    attempts_.erase(attempt);
    call.attempt = 0;
  }
  if (answer.announcement.started_at == 0) {
    answer.announcement.started_at = call.machine->entry().started_at;
  }
  OnAnnouncement(answer.announcement);
  auto outcome = static_cast<Outcome>(answer.outcome);
  auto reason = static_cast<Reason>(answer.reason);
  // A gate that refuses because of load is healthy. One whose upstream is
  // unreachable is not, even though it reports no load. An upstream that fails
  // some requests is not ejected: often the cause is a service further down.
  bool healthy =
      reason != Reason::kUpstreamUnreachable && reason != Reason::kNoHost;
  call.machine->OnAnswer(answer.load, healthy, timers_.Now(), options_.eject,
                         Jitter());
  if (answer.arrived) {
    ++call.arrivals;
    call.machine->OnOutcome(outcome == Outcome::kAnswered &&
                            answer.status < 500);
  }
  if (outcome == Outcome::kNotRun) return OnNotRun(call, answer);
  if (outcome == Outcome::kUnknown) return OnUnknown(call, reason);
  bool may_retry =
      answer.status >= 500 && call.route->idempotent && !answer.rest.follows;
  if (may_retry && FailsMoreThanOthers(call) && ReserveRetry(call)) {
    return Try(call);
  }
  http::Response response;
  response.status = static_cast<int>(answer.status);
  response.reason = std::move(answer.phrase);
  response.headers = std::move(answer.headers);
  response.body = std::move(answer.body);
  response.rest = answer.rest;
  if (!answer.rest.follows) {
    return Finish(call, std::move(response), "answered");
  }
  call.response_started = true;
  call.events->OnAnswer(call.id, std::move(response));
}

bool Dispatcher::FailsMoreThanOthers(const EntryCall& call) {
  double best = 0;
  for (const zones::Machine* machine : Candidates(call, /*any=*/false)) {
    best = std::max(best, machine->quality());
  }
  return call.machine->quality() < options_.retry_quality * best;
}

// Returns whether the request may be sent to one more upstream, and if so takes
// its cost from the retry budget.
bool Dispatcher::ReserveRetry(EntryCall& call) {
  if (call.body_sent || call.arrivals >= call.route->max_attempts) return false;
  if (Candidates(call, /*any=*/false).empty()) return false;
  auto costs = admission_.RetryCosts(call.route->name, call.service);
  if (!budget_.Take(costs, timers_.Now())) return false;
  metrics_.OnRetry();
  return true;
}

void Dispatcher::OnNotRun(EntryCall& call, const peers::Answer& answer) {
  auto reason = static_cast<Reason>(answer.reason);
  ++call.refusals;
  if (reason == Reason::kCrashesUpstreams) {
    return FinishCrashing(call, Millis(answer.retry_after_ms));
  }
  if (RefuseForStop(call)) return;
  bool retry =
      call.refusals < options_.max_gates && reason != Reason::kDeadline;
  if (answer.arrived) {
    // The upstream itself refused the request. It did not run, but the next
    // attempt is one more arrival and counts against the retry budget.
    retry = retry && ReserveRetry(call);
  } else {
    retry =
        retry && !call.body_sent && !Candidates(call, /*any=*/false).empty();
  }
  if (retry) return Try(call);
  Refuse(call, reason, std::max(Millis(answer.retry_after_ms), Millis(200)));
}

void Dispatcher::OnUnknown(EntryCall& call, Reason reason) {
  if (reason == Reason::kUpstreamEnded) ++call.ended_upstreams;
  bool retry = call.route->idempotent &&
               call.ended_upstreams < options_.max_ended_upstreams;
  if (retry && ReserveRetry(call)) return Try(call);
  Finish(call, LocalResponse(502, reason, Millis(0)),
         std::string(base::ReasonName(reason)));
}

void Dispatcher::OnDeadline(EntryCall& call) {
  if (call.response_started) return AbortResponse(call, "timeout");
  CancelAttempt(call);
  Finish(call, LocalResponse(504, Reason::kTimeout, Millis(0)), "timeout");
}

void Dispatcher::Refuse(EntryCall& call, Reason reason, Millis retry_after) {
  Finish(call, LocalResponse(503, reason, ClampAndJitter(retry_after)),
         std::string(base::ReasonName(reason)));
}

void Dispatcher::Finish(EntryCall& call, http::Response response,
                        const std::string& why) {
  EntryCallPtr owned = Remove(call, response.status, why);
  if (owned->events != nullptr) {
    owned->events->OnAnswer(owned->id, std::move(response));
  }
}

Dispatcher::EntryCallPtr Dispatcher::Remove(EntryCall& call, int status,
                                            const std::string& why) {
  Log(call, status, why);
  metrics_.OnEntryEnd(call.inner, status, why, timers_.Now() - call.arrived);
  auto it = calls_.find(call.id);
  EntryCallPtr owned = std::move(it->second);
  calls_.erase(it);
  body_bytes_ -= owned->request.body.size();
  owned->deadline_timer.Stop();
  ReleaseStream(*owned);
  return owned;
}

void Dispatcher::Abandon(uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  EntryCall& call = *it->second;
  CancelAttempt(call);
  call.events = nullptr;
  Finish(call, {}, "caller_left");
}

void Dispatcher::OnLinkDown(uint64_t serial) {
  std::vector<uint64_t> lost;
  for (const auto& [id, call] : calls_) {
    if (call->attempt != 0 && call->attempt_link == serial) lost.push_back(id);
  }
  for (uint64_t id : lost) {
    auto it = calls_.find(id);
    if (it == calls_.end()) continue;
    EntryCall& call = *it->second;
    attempts_.erase(call.attempt);
    call.attempt = 0;
    if (call.response_started) {
      AbortResponse(call, std::string(base::ReasonName(Reason::kLinkLost)));
      continue;
    }
    call.machine->OnFailure(timers_.Now(), options_.eject, Jitter());
    // The request may have reached the upstream; count it as an arrival.
    ++call.arrivals;
    OnUnknown(call, Reason::kLinkLost);
  }
}

void Dispatcher::OnLinkSilent(uint64_t serial) {
  std::vector<uint64_t> waiting;
  for (const auto& [id, call] : calls_) {
    if (call->attempt == 0 || call->attempt_link != serial) continue;
    if (call->route->idempotent && !call->response_started) {
      waiting.push_back(id);
    }
  }
  for (uint64_t id : waiting) {
    auto it = calls_.find(id);
    if (it == calls_.end()) continue;
    EntryCall& call = *it->second;
    ++call.arrivals;  // it may have reached the upstream
    if (!ReserveRetry(call)) {
      --call.arrivals;
      continue;
    }
    call.machine->OnFailure(timers_.Now(), options_.eject, Jitter());
    attempts_.erase(call.attempt);
    SendToGate(call, peers::Cancel{call.attempt});
    call.attempt = 0;
    Try(call);
  }
}

void Dispatcher::OnLoad(const std::string& link, const links::Load& load) {
  for (const auto& [name, machine] : directory_.machines()) {
    if (machine->entry().link == link)
      machine->OnLoadReport(load, timers_.Now());
  }
}

void Dispatcher::OnAnnouncement(const machines::Announcement& announcement) {
  if (!announcements_.Remember(announcement)) return;
  log_.Write("upstream_leaving", {{"upstream", announcement.upstream},
                                  {"started_at", announcement.started_at}});
  zones::Machine* machine = directory_.FindHost(announcement.upstream);
  if (machine == nullptr ||
      machine->entry().started_at != announcement.started_at) {
    return;
  }
  zones::HostEntry entry = machine->entry();
  entry.leaving = true;
  machine->SetEntry(entry);
}

void Dispatcher::Log(const EntryCall& call, int status,
                     const std::string& why) {
  const char* event = why == "answered" ? "answered" : "ended";
  if (!log_.ShouldLog(event)) return;
  nlohmann::json fields = {{"id", call.metadata.request_id},
                           {"status", status},
                           {"why", why},
                           {"inner", call.inner},
                           {"arrivals", call.arrivals},
                           {"refusals", call.refusals},
                           {"took_ms", (timers_.Now() - call.arrived).count()}};
  if (call.route != nullptr) {
    fields["route"] = call.route->name;
    fields["config"] = call.table->version();
    fields["service"] = call.service;
    fields["patience_ms"] = (call.deadline - call.arrived).count();
  }
  if (call.machine != nullptr) fields["upstream"] = call.machine->name();
  log_.Write(event, fields);
}

}  // namespace almondwind::sidecar
