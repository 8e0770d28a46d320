#include "almondwind/node/node.h"

#include <algorithm>
#include <utility>

#include "almondwind/contracts/ledger.h"
#include "almondwind/teams/knob.h"

namespace almondwind::node {

using base::Millis;
using base::Outcome;
using base::Reason;
using Lock = std::lock_guard<std::mutex>;

namespace {

constexpr std::string_view kTeamsRoot = "/teams/";
constexpr std::string_view kHostsRoot = "/hosts/";

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

Node::Node(NodeOptions options, const base::Clock& clock,
           base::Entropy& entropy, Links& links, Upstream& upstream,
           Callers& callers, teams::ControlChannel& control, DecisionLog& log)
    : options_(std::move(options)),
      clock_(clock),
      incarnation_(entropy.Next() | 1),
      callers_(callers),
      log_(log),
      server_(options_.server, incarnation_, entropy, links, upstream, *this,
              log),
      router_(options_.directory, options_.router, links, *this, log,
              incarnation_),
      store_(options_.store, *this),
      relay_(options_.relay, store_, control, incarnation_ ^ 1),
      started_(clock.Now()) {}

void Node::OnCallerGone(uint64_t caller) {
  Lock lock(mutex_);
  auto it = call_by_caller_.find(caller);
  if (it != call_by_caller_.end()) router_.Cancel(it->second, clock_.Now());
}

void Node::OnLinkUp(const links::Welcome& welcome) {
  Lock lock(mutex_);
  router_.OnLinkUp(welcome, clock_.Now());
}

void Node::OnLinkDown(const std::string& host) {
  Lock lock(mutex_);
  router_.OnLinkDown(host, clock_.Now());
}

void Node::OnGateMessage(const std::string& host, links::Message message) {
  Lock lock(mutex_);
  if (auto* answer = std::get_if<links::Answer>(&message)) {
    router_.OnAnswer(host, std::move(*answer), clock_.Now());
  } else if (const auto* news = std::get_if<links::Leaving>(&message)) {
    router_.OnLeaving(host, news->leaving);
  }
}

uint64_t Node::OpenSession(const links::Hello& hello) {
  Lock lock(mutex_);
  return server_.OpenSession(hello, clock_.Now());
}

void Node::CloseSession(uint64_t session) {
  Lock lock(mutex_);
  server_.CloseSession(session, clock_.Now());
}

void Node::OnRouterMessage(const links::Message& message) {
  Lock lock(mutex_);
  server_.OnMessage(message, clock_.Now());
}

void Node::OnUpstreamEnd(uint64_t run, UpstreamResult end) {
  Lock lock(mutex_);
  server_.OnUpstreamEnd(run, std::move(end), clock_.Now());
}

void Node::OnControl(std::string_view bytes) {
  Lock lock(mutex_);
  try {
    relay_.OnMessage(bytes, clock_.Now());
  } catch (const base::Error& e) {
    ++counts_.malformed_control;
    log_.Event("control_malformed", e.what());
  }
}

void Node::OnPlatform(const std::vector<teams::Value>& values) {
  Lock lock(mutex_);
  relay_.OnPlatform(values, clock_.Now());
}

bool Node::ShouldReadPlatform() const {
  Lock lock(mutex_);
  return relay_.ShouldReadPlatform(clock_.Now());
}

void Node::SetLeaving(LeaveCause cause, bool leaving) {
  Lock lock(mutex_);
  if (leaving) {
    leave_causes_.insert(cause);
  } else {
    leave_causes_.erase(cause);
  }
  ApplyLeaving();
}

void Node::ApplyLeaving() {
  bool leaving = !leave_causes_.empty();
  if (leaving == is_leaving_) return;
  is_leaving_ = leaving;
  log_.Event(leaving ? "leaving" : "joining", options_.host);
  if (leaving) {
    server_.Leave();
  } else {
    server_.Join(clock_.Now(), /*cold=*/true);
  }
}

void Node::Tick() {
  Lock lock(mutex_);
  Millis now = clock_.Now();
  server_.Tick(now);
  router_.Tick(now);
  relay_.Tick(now);
}

bool Node::ReadyLocked() const {
  if (policies_.empty()) return false;
  if (relay_.synced_with_peer() || !relay_.has_peers()) return true;
  return clock_.Now() - started_ >= options_.boot_sync_timeout;
}

bool Node::ready() const {
  Lock lock(mutex_);
  return ReadyLocked();
}

bool Node::leaving() const {
  Lock lock(mutex_);
  return is_leaving_;
}

bool Node::idle() const {
  Lock lock(mutex_);
  return entries_.empty() && server_.run_count() == 0;
}

NodeCounts Node::counts() const {
  Lock lock(mutex_);
  return counts_;
}

RouterCounts Node::router_counts() const {
  Lock lock(mutex_);
  return router_.counts();
}

Node::PolicyPtr Node::PolicyOf(const std::string& service) const {
  auto it = policies_.find(service);
  return it == policies_.end() ? nullptr : it->second;
}

void Node::SendLocal(const links::Call& call) {
  server_.OnLocalCall(call, clock_.Now());
}

void Node::CancelLocal(uint64_t id) { server_.OnLocalCancel(id, clock_.Now()); }

void Node::OnLocalAnswer(links::Answer answer) {
  router_.OnAnswer(options_.host, std::move(answer), clock_.Now());
}

void Node::OnRunEnded(uint64_t run) {
  auto it = inner_calls_.find(run);
  if (it == inner_calls_.end()) return;
  std::set<uint64_t> calls = std::move(it->second);
  inner_calls_.erase(it);
  for (uint64_t call : calls) router_.Cancel(call, clock_.Now());
}

void Node::OnCallFinished(Call& call, CallResult result) {
  auto it = entries_.find(call.id);
  if (it == entries_.end()) return;
  if (it->second.awaits_contract || it->second.lacks_contract) {
    Entry entry = std::move(it->second);
    entries_.erase(it);
    return FinishContractRequest(entry, result);
  }
  FinishEntry(call, std::move(result));
}

// Ends a caller's request or an inner call of a run.
void Node::FinishEntry(Call& call, CallResult result) {
  Entry entry = std::move(entries_.at(call.id));
  entries_.erase(call.id);
  if (call.in_window) {
    bool refused =
        result.outcome != Outcome::kAnswered && IsLoadRefusal(result.reason);
    size_t cls = base::Index(call.request->cls);
    uint32_t wait = std::max(result.answer.below_ms.at(cls),
                             result.answer.load.wait_ms.at(cls));
    WindowOf(*call.request)->Leave(refused, Millis(wait), clock_.Now());
  }
  if (call.parent_run != 0) FinishInnerCall(call, result);
  if (call.parent_run == 0) {
    ++counts_.outcomes.at(base::Index(call.request->cls))
          .at(static_cast<size_t>(result.outcome));
  }
  Reply reply;
  reply.outcome = result.outcome;
  reply.reason = result.reason;
  reply.status = result.answer.status;
  reply.content_type = std::move(result.answer.content_type);
  reply.body = std::move(result.answer.body);
  reply.request_id = call.request->id;
  reply.retry_after = result.retry_after;
  bool offers = !entry.offers.empty() && result.outcome == Outcome::kAnswered;
  if (!offers) return Answer(entry, std::move(reply));
  entry.awaits_contract = true;
  entry.reply = std::move(reply);
  std::string service = entry.offers;
  RequestContract(call, service, std::move(entry));
}

// Returns the unspent permits of an inner call to its run and records the
// call's outcome and the queue waits that it reported.
void Node::FinishInnerCall(const Call& call, const CallResult& result) {
  auto siblings = inner_calls_.find(call.parent_run);
  if (siblings != inner_calls_.end()) siblings->second.erase(call.id);
  machines::Run* run = server_.FindRun(call.parent_run);
  if (run == nullptr) return;
  run->permits += result.permits;
  if (result.outcome != Outcome::kNotRun) run->inner_calls_not_run = false;
  machines::MergeMax(run->below_ms, result.answer.below_ms);
  machines::MergeMax(run->below_ms, result.answer.load.wait_ms);
}

void Node::FinishContractRequest(Entry& entry, const CallResult& result) {
  bool issued = result.outcome == Outcome::kAnswered;
  Reply reply = std::move(entry.reply);
  if (issued) reply.contract = result.answer.contract;
  if (entry.lacks_contract) {
    reply.outcome = Outcome::kNotRun;
    reply.reason = issued ? Reason::kContractRequired : result.reason;
  }
  Answer(entry, std::move(reply));
}

void Node::Answer(const Entry& entry, Reply reply) {
  call_by_caller_.erase(entry.caller);
  callers_.Answer(entry.caller, std::move(reply));
}

void Node::Apply(const teams::Value& value) {
  if (StartsWith(value.path, kTeamsRoot)) {
    std::string team = value.path.substr(kTeamsRoot.size());
    teams::TeamPolicy parsed = teams::ParseTeamPolicy(team, value.text);
    std::string prefix = team + "/";
    for (auto it = policies_.lower_bound(prefix); it != policies_.end();) {
      if (!StartsWith(it->first, prefix)) break;
      it = policies_.erase(it);
    }
    for (auto& [name, policy] : parsed.services) {
      std::string service = prefix + name;
      if (service == options_.server.service) {
        server_.gate().Configure(policy.gate);
      }
      policies_[service] =
          std::make_shared<teams::ServicePolicy>(std::move(policy));
    }
  } else if (StartsWith(value.path, kHostsRoot)) {
    std::string service = value.path.substr(kHostsRoot.size());
    ApplyHosts(service, teams::ParseHosts(value.text, value.path));
  } else {
    throw teams::SettingsError(value.path, 0, "unknown kind of path",
                               "publish below /teams/NAME or /hosts/TEAM/NAME");
  }
  log_.Event("config_in_force",
             value.path + " version " + std::to_string(value.version));
}

void Node::ApplyHosts(const std::string& service,
                      const std::vector<zones::HostEntry>& hosts) {
  relay_.UpdateHosts(service, hosts);
  std::vector<zones::HostEntry>& kept = hosts_[service];
  kept = hosts;
  for (zones::HostEntry& host : kept) host.service = service;
  if (tracked_.count(service) != 0) {
    router_.directory().Update(service, kept);
  }
  if (service != options_.server.service) return;
  for (const zones::HostEntry& host : hosts) {
    if (host.name != options_.host) continue;
    if (host.leaving) {
      leave_causes_.insert(LeaveCause::kList);
    } else {
      leave_causes_.erase(LeaveCause::kList);
    }
    ApplyLeaving();
  }
}

void Node::OnRefused(const teams::Value& value, const std::string& fault) {
  ++counts_.config_refused;
  log_.Event(
      "config_refused",
      value.path + " version " + std::to_string(value.version) + ": " + fault);
}

nlohmann::json Node::Status() const {
  Lock lock(mutex_);
  Millis now = clock_.Now();
  const machines::Gate& gate = server_.gate();
  nlohmann::json queues;
  for (size_t i = 0; i < base::kClassCount; ++i) {
    auto cls = static_cast<base::RequestClass>(i);
    queues[std::string(base::kClassNames.at(i))] = {
        {"queued", gate.queued(cls)},
        {"wait_ms", gate.ExpectedWait(cls, now).count()}};
  }
  nlohmann::json peers = nlohmann::json::array();
  for (const auto& [name, machine] : router_.directory().machines()) {
    peers.push_back({{"host", name},
                     {"service", machine->entry().service},
                     {"usable", machine->Usable(now, zones::EjectOptions())},
                     {"expected_ms", machine->ExpectedLatencyMillis(
                                         base::RequestClass::kNormal, now)},
                     {"zone", machine->entry().zone},
                     {"leaving", machine->leaving()},
                     {"outstanding", machine->outstanding()},
                     {"limit", machine->load().limit},
                     {"in_progress", machine->load().in_progress},
                     {"service_ms", machine->load().service_ms},
                     {"failures", machine->failures()}});
  }
  nlohmann::json config = nlohmann::json::object();
  for (const auto& [path, value] : store_.entries()) {
    config[path] = value.version;
  }
  nlohmann::json windows = nlohmann::json::object();
  for (const auto& [name, window] : windows_) {
    windows[name] = {{"size", window.size()},
                     {"in_progress", window.in_progress()}};
  }
  nlohmann::json refusals = nlohmann::json::object();
  for (size_t r = 0; r < base::kReasonCount; ++r) {
    uint64_t count = gate.refusals().at(r);
    auto name = base::ReasonName(static_cast<Reason>(r));
    if (count > 0) refusals[std::string(name)] = count;
  }
  return {{"host", options_.host},
          {"refusals", refusals},
          {"zone", options_.zone},
          {"incarnation", incarnation_},
          {"ready", ReadyLocked()},
          {"leaving", is_leaving_},
          {"service", options_.server.service},
          {"limit", gate.Limit(now)},
          {"in_progress", gate.in_progress()},
          {"queues", queues},
          {"peers", peers},
          {"windows", windows},
          {"config", config},
          {"config_age_ms", relay_.Age(now).count()},
          {"runs_started", server_.runs_started()},
          {"contracts_held", server_.ledger().size()},
          {"calls", router_.call_count()},
          {"control_bytes_sent", relay_.bytes_sent()},
          {"control_messages_sent", relay_.messages_sent()}};
}

}  // namespace almondwind::node
