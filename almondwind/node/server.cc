#include "almondwind/node/server.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace almondwind::node {

using base::EndKind;
using base::Millis;
using base::Outcome;
using base::Reason;
using contracts::Verdict;
using links::Answer;
using links::Call;
using machines::Origin;
using machines::Run;
using machines::RunPtr;
using machines::RunState;

Server::Server(ServerOptions options, uint64_t incarnation,
               base::Entropy& entropy, Links& links, Upstream& upstream,
               ServerEvents& events, DecisionLog& log)
    : options_(std::move(options)),
      links_(links),
      upstream_(upstream),
      events_(events),
      log_(log),
      ledger_(options_.host, incarnation, options_.ledger, entropy),
      gate_(options_.slots, options_.connections, machines::GateOptions(),
            *this),
      next_session_((entropy.Next() >> 2) + 1) {}

uint64_t Server::OpenSession(const links::Hello& hello, Millis now) {
  if (sessions_.size() >= options_.sessions) return 0;
  uint64_t session = next_session_++;
  sessions_[session].clock_difference_ms = now.count() - hello.sent_at_ms;
  return session;
}

void Server::CloseSession(uint64_t session, Millis now) {
  now_ = now;
  if (sessions_.erase(session) == 0) return;
  std::vector<RunPtr> orphans;
  auto it = by_origin_.lower_bound({session, 0});
  for (; it != by_origin_.end() && it->first.first == session; ++it) {
    orphans.push_back(runs_.at(it->second));
  }
  for (const RunPtr& run : orphans) CancelRun(*run, now);
}

void Server::OnMessage(const links::Message& message, Millis now) {
  now_ = now;
  if (const Call* call = std::get_if<Call>(&message)) {
    OnCall(*call, now);
  } else if (const auto* cancel = std::get_if<links::Cancel>(&message)) {
    OnCancel(*cancel, now);
  }
}

Millis Server::TimeLeft(const Call& call, Session& session, Millis now) {
  int64_t difference = now.count() - call.sent_at_ms;
  session.clock_difference_ms =
      std::min(session.clock_difference_ms, difference);
  int64_t waited = difference - session.clock_difference_ms;
  return Millis(int64_t{call.timeout_ms} - waited);
}

void Server::OnCall(const Call& call, Millis now) {
  auto it = sessions_.find(call.session);
  if (it == sessions_.end() || call.id <= it->second.last_id) {
    ++duplicates_dropped_;
    return;
  }
  it->second.last_id = call.id;
  HandleCall(call, TimeLeft(call, it->second, now), now);
}

void Server::OnLocalCall(const Call& call, Millis now) {
  now_ = now;
  HandleCall(call, Millis(call.timeout_ms), now);
}

void Server::HandleCall(const Call& call, Millis left, Millis now) {
  Origin origin{call.session, call.id};
  if (static_cast<links::CallKind>(call.kind) ==
      links::CallKind::kIssueContract) {
    return IssueContract(call, now);
  }
  // Only the ledger may report an order as "not run": an earlier copy may have
  // run here.
  if (call.order && !BeginOrder(call, now)) return;
  RunPtr run = MakeRun(call, now + left);
  runs_[run->id] = run;
  by_origin_[{origin.session, origin.id}] = run->id;
  if (call.service != options_.service) {
    return Refused(*run, Reason::kUnknownService);
  }
  if (runs_.size() > options_.runs) return Refused(*run, Reason::kTooManyCalls);
  gate_.Offer(run, now);
}

RunPtr Server::MakeRun(const Call& call, Millis deadline) {
  RunPtr run = new Run();
  run->id = next_run_++;
  run->origin = {call.session, call.id};
  run->permits = call.permits;
  machines::RequestPtr request = new machines::Request();
  request->id = call.request_id;
  request->service = call.service;
  request->route = call.route;
  request->cls = static_cast<base::RequestClass>(call.cls);
  request->order = call.order;
  request->key = call.key;
  request->deadline = deadline;
  request->method = call.method;
  request->target = call.target;
  request->content_type = call.content_type;
  request->body = call.body;
  run->request = request;
  return run;
}

bool Server::BeginOrder(const Call& call, Millis now) {
  Origin origin{call.session, call.id};
  contracts::BeginResult begin = ledger_.Begin(call.key, call.service, now);
  switch (begin.verdict) {
    case Verdict::kRun:
      return true;
    case Verdict::kRepeatAnswer: {
      Answer answer;
      answer.outcome = static_cast<uint8_t>(Outcome::kAnswered);
      answer.status = begin.answer->status;
      answer.content_type = begin.answer->content_type;
      answer.body = begin.answer->body;
      answer.permits = call.permits;
      Send(origin, std::move(answer), now);
      return false;
    }
    case Verdict::kInProgress:
      SendRefusal(origin, Outcome::kUnknown, Reason::kOrderInProgress,
                  call.permits, now);
      return false;
    case Verdict::kVoided:
      SendRefusal(origin, Outcome::kNotRun, Reason::kContractVoided,
                  call.permits, now);
      return false;
    case Verdict::kEndedUnknown:
    case Verdict::kUnknownContract:
      break;
  }
  SendRefusal(origin, Outcome::kUnknown, Reason::kContractUnknown, call.permits,
              now);
  return false;
}

void Server::IssueContract(const Call& call, Millis now) {
  Origin origin{call.session, call.id};
  Reason reason = Reason::kNone;
  std::optional<std::string> contract;
  if (call.service != options_.service) {
    reason = Reason::kUnknownService;
  } else if (gate_.leaving()) {
    reason = Reason::kLeaving;
  } else {
    contract = ledger_.Issue(call.service, now);
    if (!contract) reason = Reason::kLedgerFull;
  }
  if (reason != Reason::kNone) {
    return SendRefusal(origin, Outcome::kNotRun, reason, call.permits, now);
  }
  Answer answer;
  answer.outcome = static_cast<uint8_t>(Outcome::kAnswered);
  answer.permits = call.permits;
  answer.contract = *contract;
  Send(origin, std::move(answer), now);
}

void Server::OnCancel(const links::Cancel& cancel, Millis now) {
  auto it = by_origin_.find({cancel.session, cancel.id});
  if (it == by_origin_.end()) return;
  RunPtr run = runs_.at(it->second);
  CancelRun(*run, now);
}

void Server::OnLocalCancel(uint64_t id, Millis now) {
  now_ = now;
  OnCancel({0, id}, now);
}

void Server::CancelRun(Run& run, Millis now) {
  RunPtr keep(&run);
  if (gate_.Withdraw(run, Reason::kCancelled, now)) return;
  // An order that has started is not cancelled: a repeat may ask for its
  // answer.
  if (run.state != RunState::kRunning || run.request->order) return;
  AbandonRun(run, Reason::kCancelled, now);
}

void Server::Start(Run& run) {
  ++runs_started_;
  if (log_.enabled()) {
    Decision decision;
    decision.what = "admit";
    decision.request = run.request.get();
    decision.host = options_.host;
    decision.permits = run.permits;
    log_.Write(decision);
  }
  Millis left = run.request->deadline - now_;
  Millis grace = run.request->order ? options_.order_grace : Millis(0);
  // The suffix identifies the run, to which the upstream's own calls are
  // linked.
  std::string id = run.request->id + "/" + std::to_string(run.id);
  upstream_.Start(run.id, *run.request, id, left + grace);
}

void Server::Refused(Run& run, Reason reason) {
  RunPtr keep(&run);
  if (log_.enabled()) {
    Decision decision;
    decision.what = "refuse";
    decision.request = run.request.get();
    decision.host = options_.host;
    decision.reason = reason;
    log_.Write(decision);
  }
  if (run.request->order) ledger_.Void(run.request->key, now_);
  RemoveRun(run);
  SendRefusal(run.origin, Outcome::kNotRun, reason, run.permits, now_);
}

void Server::RemoveRun(const Run& run) {
  by_origin_.erase({run.origin.session, run.origin.id});
  runs_.erase(run.id);
  events_.OnRunEnded(run.id);
}

void Server::Send(const Origin& origin, Answer answer, Millis now) {
  answer.session = origin.session;
  answer.id = origin.id;
  answer.load = gate_.CurrentLoad(now);
  if (origin.session == 0) {
    events_.OnLocalAnswer(std::move(answer));
  } else {
    links_.Reply(origin.session, answer);
  }
}

void Server::SendRefusal(const Origin& origin, Outcome outcome, Reason reason,
                         uint32_t permits, Millis now) {
  Answer answer;
  answer.outcome = static_cast<uint8_t>(outcome);
  answer.reason = static_cast<uint8_t>(reason);
  answer.permits = permits;
  Send(origin, std::move(answer), now);
}

void Server::RecordOrderResult(const Run& run, const Answer& answer,
                               Millis now) {
  if (!run.request->order) return;
  const std::string& key = run.request->key;
  switch (static_cast<Outcome>(answer.outcome)) {
    case Outcome::kAnswered:
      ledger_.Answered(key, {answer.status, answer.content_type, answer.body},
                       now);
      return;
    case Outcome::kNotRun:
      ledger_.Void(key, now);
      return;
    case Outcome::kUnknown:
      ledger_.EndUnknown(key, now);
      return;
  }
}

void Server::OnUpstreamEnd(uint64_t id, UpstreamResult end, Millis now) {
  now_ = now;
  RunPtr run(FindRun(id));
  if (run == nullptr) return;
  Answer answer;
  answer.permits = run->permits;
  answer.below_ms = run->below_ms;
  machines::RunEnd run_end;
  auto set = [&answer](Outcome outcome, Reason reason) {
    answer.outcome = static_cast<uint8_t>(outcome);
    answer.reason = static_cast<uint8_t>(reason);
  };
  switch (end.kind) {
    case EndKind::kAnswer:
      answer.status = end.status;
      answer.content_type = std::move(end.content_type);
      answer.body = std::move(end.body);
      // A refusal by the upstream counts as "not run" only if every inner call
      // made for the request was itself not run.
      if (end.reports_not_run) {
        run_end.shed = run->inner_calls == 0;
        set(run->inner_calls_not_run ? Outcome::kNotRun : Outcome::kUnknown,
            run_end.shed ? Reason::kUpstreamShed : Reason::kRefusedBelow);
      } else {
        set(Outcome::kAnswered, Reason::kNone);
      }
      break;
    case EndKind::kClosed:
    case EndKind::kUnusable:
      set(Outcome::kUnknown, Reason::kUpstreamClosed);
      break;
    case EndKind::kUnreachable:
      run_end.shed = true;
      set(Outcome::kNotRun, Reason::kUpstreamUnreachable);
      break;
    case EndKind::kTooLarge:
      set(Outcome::kUnknown, Reason::kAnswerTooLarge);
      break;
  }
  RecordOrderResult(*run, answer, now);
  RemoveRun(*run);
  gate_.End(*run, run_end, now);
  Send(run->origin, std::move(answer), now);
}

// Ends a run that was cancelled or timed out; its outcome is unknown.
void Server::AbandonRun(Run& run, Reason reason, Millis now) {
  RunPtr keep(&run);
  if (run.state != RunState::kRunning) return;
  run.cancelled = true;
  upstream_.Cancel(run.id);
  if (run.request->order) ledger_.EndUnknown(run.request->key, now);
  RemoveRun(run);
  gate_.End(run, {}, now);
  SendRefusal(run.origin, Outcome::kUnknown, reason, 0, now);
}

void Server::Tick(Millis now) {
  now_ = now;
  gate_.Tick(now);
  ledger_.Expire(now);
  std::vector<RunPtr> late;
  for (const auto& [id, run] : runs_) {
    Millis grace = run->request->order ? options_.order_grace : Millis(0);
    bool running = run->state == RunState::kRunning;
    if (running && run->request->deadline + grace <= now) late.push_back(run);
  }
  for (const RunPtr& run : late) AbandonRun(*run, Reason::kTimeout, now);
}

void Server::NotifyRouters(bool leaving) {
  for (const auto& [session, state] : sessions_) {
    links_.Reply(session, links::Leaving{options_.host, leaving});
  }
}

void Server::Leave() {
  gate_.Leave();
  NotifyRouters(true);
}

void Server::Join(Millis now, bool cold) {
  gate_.Join(now, cold);
  // Routers send no calls to a leaving host, so they would not learn from an
  // answer that it is back.
  NotifyRouters(false);
}

Run* Server::FindRun(uint64_t id) {
  auto it = runs_.find(id);
  return it == runs_.end() ? nullptr : it->second.get();
}

}  // namespace almondwind::node
