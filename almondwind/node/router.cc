#include "almondwind/node/router.h"

#include <algorithm>

namespace almondwind::node {

using base::Millis;
using base::Outcome;
using base::Reason;
using base::RequestClass;
using links::Answer;
using zones::Machine;
using zones::MachinePtr;

bool IsLoadRefusal(Reason reason) {
  switch (reason) {
    case Reason::kOverload:
    case Reason::kQueueTimeout:
    case Reason::kEvicted:
    case Reason::kEntryWindow:
    case Reason::kUpstreamShed:
    case Reason::kRefusedBelow:
    case Reason::kLedgerFull:
    case Reason::kTooManyCalls:
      return true;
    default:
      return false;
  }
}

Router::Router(zones::DirectoryOptions directory, RouterLimits limits,
               Links& links, RouterEvents& events, DecisionLog& log,
               uint64_t seed)
    : limits_(limits),
      links_(links),
      events_(events),
      log_(log),
      directory_(directory),
      self_(directory.host),
      zone_(directory.zone),
      region_(directory.region),
      random_(seed) {}

double Router::Jitter() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

const zones::Picker& Router::PickerNamed(const std::string& name) {
  std::unique_ptr<zones::Picker>& picker = pickers_[name];
  if (picker == nullptr) picker = zones::MakePicker(name);
  return *picker;
}

bool Router::IsLocal(const Machine& machine) const {
  return machine.name() == self_;
}

void Router::Start(const CallPtr& call, Millis now) {
  if (calls_.size() >= limits_.calls) {
    return Finish(*call, Outcome::kNotRun, Reason::kTooManyCalls, now);
  }
  calls_[call->id] = call;
  Attempt(call, now);
}

Router::Choice Router::ChooseFixed(Call& call, MachinePtr& chosen) {
  chosen = directory_.FindPublished(call.fixed_host);
  bool tried = !call.tried.empty();
  if (chosen == nullptr || tried) return Choice::kNone;
  if (IsLocal(*chosen)) return Choice::kChosen;
  switch (links_.Prepare(chosen->entry())) {
    case LinkState::kUp:
      return Choice::kChosen;
    case LinkState::kDialing:
      return Choice::kDialing;
    case LinkState::kDown:
      break;
  }
  return Choice::kNone;
}

Router::Eligibility Router::CheckEligibility(const Call& call,
                                             const Machine& machine, Millis now,
                                             std::string_view& why) {
  RequestClass cls = call.request->cls;
  const std::vector<std::string>& tried = call.tried;
  if (std::count(tried.begin(), tried.end(), machine.name()) != 0) {
    why = "tried";
    return Eligibility::kIneligible;
  }
  if (machine.leaving()) {
    why = "leaving";
    return Eligibility::kIneligible;
  }
  LinkState link =
      IsLocal(machine) ? LinkState::kUp : links_.Prepare(machine.entry());
  if (link != LinkState::kUp) {
    why = "no link";
    return link == LinkState::kDialing ? Eligibility::kDialing
                                       : Eligibility::kIneligible;
  }
  // Critical calls are always sent; only a gate may refuse them.
  bool sheds = machine.RetryAfter(cls, now) > Millis(0);
  if (sheds && cls != RequestClass::kCritical) {
    why = "overloaded";
    return Eligibility::kOverloaded;
  }
  if (!machine.Usable(now, call.policy->router.eject)) {
    why = "ejected";
    return Eligibility::kFallback;
  }
  return Eligibility::kEligible;
}

Router::Choice Router::Choose(Call& call, Millis now, MachinePtr& chosen,
                              Decision& decision) {
  if (!call.fixed_host.empty()) return ChooseFixed(call, chosen);
  std::vector<Machine*> eligible;
  std::vector<Machine*> fallback;  // used if none is eligible
  bool dialing = false;
  bool overloaded = false;
  for (const MachinePtr& machine : directory_.Find(call.request->service)) {
    std::string_view why;
    Eligibility eligibility = CheckEligibility(call, *machine, now, why);
    if (eligibility == Eligibility::kEligible)
      eligible.push_back(machine.get());
    if (eligibility == Eligibility::kFallback)
      fallback.push_back(machine.get());
    dialing = dialing || eligibility == Eligibility::kDialing;
    overloaded = overloaded || eligibility == Eligibility::kOverloaded;
    if (log_.enabled() && !why.empty()) {
      decision.passed_over.push_back({machine->name(), why});
    }
  }
  const std::vector<Machine*>& from = eligible.empty() ? fallback : eligible;
  if (from.empty()) {
    if (overloaded) return Choice::kOverloaded;
    return dialing ? Choice::kDialing : Choice::kNone;
  }
  const teams::RouterOptions& options = call.policy->router;
  zones::PickContext context;
  context.cls = call.request->cls;
  context.now = now;
  context.zone = zone_;
  context.region = region_;
  context.zone_penalty = options.zone_penalty;
  context.region_penalty = options.region_penalty;
  chosen = PickerNamed(options.picker).Pick(from, context, random_);
  return Choice::kChosen;
}

void Router::Attempt(const CallPtr& call, Millis now) {
  // An attempt that could not be sent costs no permit, so the next machine is
  // tried immediately. Each iteration adds to `tried`, which bounds the loop.
  while (true) {
    if (call->request->deadline <= now) {
      return FinishNotInFlight(*call, Reason::kDeadline, now);
    }
    Decision decision;
    MachinePtr machine;
    switch (Choose(*call, now, machine, decision)) {
      case Choice::kChosen:
        break;
      case Choice::kDialing:
        return Park(call, now);
      case Choice::kOverloaded:
        return FinishNotInFlight(*call, Reason::kOverload, now);
      case Choice::kNone:
        return FinishNotInFlight(*call, Reason::kNoHost, now);
    }
    call->tried.push_back(machine->name());
    if (SendTo(*call, machine, now, decision)) return;
    machine->OnUnreachable(now, call->policy->router.eject, Jitter());
  }
}

void Router::LogRoute(const Call& call, Decision& decision) {
  if (!log_.enabled()) return;
  decision.what = call.attempts == 0 ? "route" : "retry";
  decision.request = call.request.get();
  decision.permits = call.permits;
  log_.Write(decision);
}

bool Router::SendTo(Call& call, const MachinePtr& machine, Millis now,
                    Decision& decision) {
  const machines::Request& request = *call.request;
  links::Call out;
  out.id = next_message_++;
  out.sent_at_ms = now.count();
  out.kind = static_cast<uint8_t>(call.kind);
  out.service = request.service;
  out.route = request.route;
  out.cls = static_cast<uint8_t>(request.cls);
  out.order = request.order;
  out.timeout_ms = static_cast<uint32_t>((request.deadline - now).count());
  // Keeps one permit for a retry of this call and passes the rest downstream.
  uint32_t keep = call.permits > 0 ? 1 : 0;
  out.permits = call.permits - keep;
  out.request_id = request.id;
  out.key = request.key;
  out.method = request.method;
  out.target = request.target;
  out.content_type = request.content_type;
  out.body = request.body;
  call.machine = machine;
  call.message_id = out.id;
  by_message_[out.id] = CallPtr(&call);
  if (!IsLocal(*machine)) {
    auto link = link_by_host_.find(machine->name());
    if (link != link_by_host_.end()) out.session = link->second.session;
    if (out.session == 0 || !links_.Send(machine->name(), out)) {
      by_message_.erase(call.message_id);
      call.message_id = 0;
      return false;
    }
  }
  machine->OnSent(now);
  decision.host = machine->name();
  LogRoute(call, decision);
  ++counts_.attempts;
  ++call.attempts;
  call.permits = keep;
  call.permits_sent = out.permits;
  // Must be last: a refusal arrives before SendLocal returns.
  if (IsLocal(*machine)) events_.SendLocal(out);
  return true;
}

void Router::Park(const CallPtr& call, Millis now) {
  if (parked_.count(call->id) == 0) {
    if (parked_.size() >= limits_.parked) {
      return FinishNotInFlight(*call, Reason::kTooManyCalls, now);
    }
    if (call->parked_until == Millis(0)) {
      call->parked_until = now + limits_.dial_timeout;
    }
    parked_[call->id] = call;
  }
  if (now >= call->parked_until) FinishNotInFlight(*call, Reason::kNoHost, now);
}

// Ends a call that has no attempt in flight.
void Router::FinishNotInFlight(Call& call, Reason reason, Millis now) {
  // Another node may have sent this order before, so only its gate can report
  // it as not run.
  if (!call.fixed_host.empty()) {
    Reason final_reason =
        reason == Reason::kNoHost ? Reason::kContractHostGone : reason;
    return Finish(call, Outcome::kUnknown, final_reason, now);
  }
  Outcome outcome = call.maybe_ran ? Outcome::kUnknown : Outcome::kNotRun;
  Finish(call, outcome, reason, now);
}

void Router::Finish(Call& call, Outcome outcome, Reason reason, Millis now,
                    Answer answer) {
  CallPtr keep(&call);
  CallResult result;
  result.outcome = outcome;
  result.reason = reason;
  result.permits = call.permits;
  result.answer = std::move(answer);
  if (call.machine != nullptr) {
    result.retry_after = call.machine->RetryAfter(call.request->cls, now);
  }
  parked_.erase(call.id);
  calls_.erase(call.id);
  events_.OnCallFinished(call, std::move(result));
}

bool Router::MayRetry(const Call& call, Outcome outcome, Reason reason,
                      Millis now) const {
  if (call.permits == 0 || call.request->deadline <= now) return false;
  if (!call.fixed_host.empty()) return false;
  if (outcome == Outcome::kUnknown) return call.request->idempotent;
  // The called service has already retried at the other machines of the service
  // that refused, so a retry through another of its machines would waste work.
  if (reason == Reason::kRefusedBelow) return false;
  return IsLoadRefusal(reason) || reason == Reason::kLeaving ||
         reason == Reason::kUpstreamUnreachable;
}

void Router::OnAnswer(const std::string& host, Answer answer, Millis now) {
  auto it = by_message_.find(answer.id);
  bool matches_attempt =
      it != by_message_.end() && it->second->machine->name() == host;
  if (matches_attempt && host != self_) {
    auto link = link_by_host_.find(host);
    matches_attempt =
        link != link_by_host_.end() && link->second.session == answer.session;
  }
  if (!matches_attempt) {
    ++counts_.late_answers;
    return;
  }
  CallPtr call = it->second;
  by_message_.erase(it);
  call->message_id = 0;
  auto reason = static_cast<Reason>(answer.reason);
  bool working = reason != Reason::kUpstreamUnreachable &&
                 reason != Reason::kUpstreamClosed;
  call->machine->OnAnswer(answer.load, working, now, call->policy->router.eject,
                          Jitter());
  // A peer cannot return more permits than were sent to it.
  call->permits += std::min(answer.permits, call->permits_sent);
  OnAttemptEnd(call, std::move(answer), now);
}

void Router::OnAttemptEnd(const CallPtr& call, Answer answer, Millis now) {
  auto outcome = static_cast<Outcome>(answer.outcome);
  auto reason = static_cast<Reason>(answer.reason);
  if (outcome == Outcome::kAnswered) {
    return Finish(*call, outcome, reason, now, std::move(answer));
  }
  if (outcome == Outcome::kUnknown) call->maybe_ran = true;
  if (MayRetry(*call, outcome, reason, now)) {
    --call->permits;
    ++counts_.retries;
    return Attempt(call, now);
  }
  Outcome final_outcome = call->maybe_ran ? Outcome::kUnknown : outcome;
  Finish(*call, final_outcome, reason, now, std::move(answer));
}

void Router::OnAttemptLost(const CallPtr& call, Reason reason, Millis now) {
  by_message_.erase(call->message_id);
  call->message_id = 0;
  call->maybe_ran = true;
  ++counts_.lost_attempts;
  if (MayRetry(*call, Outcome::kUnknown, reason, now)) {
    --call->permits;
    ++counts_.retries;
    return Attempt(call, now);
  }
  Finish(*call, Outcome::kUnknown, reason, now);
}

void Router::OnLinkUp(const links::Welcome& welcome, Millis now) {
  Link& link = link_by_host_[welcome.host];
  Machine* machine = directory_.FindPublished(welcome.host);
  bool other = link.incarnation != 0 && link.incarnation != welcome.incarnation;
  if (machine != nullptr && other) machine->OnNewIncarnation();
  if (machine != nullptr) machine->OnLeaving(welcome.leaving);
  link.session = welcome.session;
  link.incarnation = welcome.incarnation;
  std::vector<CallPtr> waiting;
  for (const auto& [id, call] : parked_) waiting.push_back(call);
  for (const CallPtr& call : waiting) {
    // Attempt parks the call again if it still needs a link.
    parked_.erase(call->id);
    Attempt(call, now);
  }
}

void Router::OnLinkDown(const std::string& host, Millis now) {
  auto link = link_by_host_.find(host);
  if (link != link_by_host_.end()) link->second.session = 0;
  std::vector<CallPtr> lost;
  for (const auto& [id, call] : by_message_) {
    if (call->machine->name() == host) lost.push_back(call);
  }
  for (const CallPtr& call : lost) {
    call->machine->OnFailure(now, call->policy->router.eject, Jitter());
  }
  Machine* machine = directory_.FindPublished(host);
  if (machine != nullptr) {
    machine->OnUnreachable(now, zones::EjectOptions(), Jitter());
  }
  for (const CallPtr& call : lost) {
    OnAttemptLost(call, Reason::kLinkLost, now);
  }
}

void Router::OnLeaving(const std::string& host, bool leaving) {
  if (Machine* machine = directory_.FindHost(host)) {
    machine->OnLeaving(leaving);
  }
}

void Router::Cancel(uint64_t id, Millis now) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  CallPtr call = it->second;
  if (call->message_id != 0) {
    uint64_t message = call->message_id;
    by_message_.erase(message);
    call->message_id = 0;
    call->machine->OnAbandoned();
    if (IsLocal(*call->machine)) {
      events_.CancelLocal(message);
    } else {
      auto link = link_by_host_.find(call->machine->name());
      uint64_t session = link == link_by_host_.end() ? 0 : link->second.session;
      links_.Send(call->machine->name(), links::Cancel{session, message});
    }
    call->maybe_ran = true;
  }
  FinishNotInFlight(*call, Reason::kCancelled, now);
}

void Router::Tick(Millis now) {
  std::vector<CallPtr> due;
  for (const auto& [id, call] : calls_) {
    bool parked = parked_.count(id) != 0 && now >= call->parked_until;
    if (call->request->deadline <= now || parked) due.push_back(call);
  }
  for (const CallPtr& call : due) {
    if (calls_.count(call->id) == 0) continue;
    if (call->message_id == 0) {
      bool late = call->request->deadline <= now;
      FinishNotInFlight(*call, late ? Reason::kDeadline : Reason::kNoHost, now);
      continue;
    }
    // Cancels the attempt at the gate and counts the timeout as a failure of
    // the machine.
    MachinePtr at = call->machine;
    uint64_t message = call->message_id;
    at->OnFailure(now, call->policy->router.eject, Jitter());
    if (IsLocal(*at)) {
      by_message_.erase(message);
      call->message_id = 0;
      events_.CancelLocal(message);
    } else {
      uint64_t session = link_by_host_[at->name()].session;
      links_.Send(at->name(), links::Cancel{session, message});
    }
    OnAttemptLost(call, Reason::kTimeout, now);
  }
}

}  // namespace almondwind::node
