// Entry of requests into a node: matches a request to its policy, links it to
// its parent run, and applies the entry window.

#include <charconv>
#include <utility>

#include "almondwind/contracts/ledger.h"
#include "almondwind/node/node.h"

namespace almondwind::node {

using base::Error;
using base::Millis;
using base::Outcome;
using base::Reason;
using base::RequestClass;
using Lock = std::lock_guard<std::mutex>;

namespace {

constexpr size_t kMaxRequestIdBytes = 128;

struct Target {
  std::string service;  // "team/name"
  std::string path;     // below the service, starts with a slash
};

Target SplitTarget(const std::string& target) {
  size_t team_end = target.find('/', 1);
  bool good = !target.empty() && target[0] == '/' &&
              team_end != std::string::npos && team_end > 1;
  size_t name_end = good ? target.find_first_of("/?", team_end + 1) : 0;
  if (!good || name_end == team_end + 1) {
    throw Error(Reason::kUnknownService, "the path names no service");
  }
  Target out;
  if (name_end == std::string::npos) name_end = target.size();
  out.service = target.substr(1, name_end - 1);
  out.path = target.substr(name_end);
  if (out.path.empty() || out.path[0] != '/') out.path.insert(0, "/");
  return out;
}

void CheckRequestId(const std::string& id) {
  if (id.size() > kMaxRequestIdBytes) {
    throw Error(Reason::kMalformed, "X-Request-Id exceeds 128 bytes");
  }
  for (char c : id) {
    if (c < '!' || c > '~') {
      throw Error(Reason::kMalformed, "X-Request-Id holds unprintable bytes");
    }
  }
}

// Splits the "id/run" form in which upstreams receive request ids. The run is 0
// for an id of any other form.
std::pair<std::string, uint64_t> SplitRequestId(const std::string& id) {
  size_t slash = id.rfind('/');
  if (slash == std::string::npos) return {id, 0};
  uint64_t run = 0;
  const char* last = id.data() + id.size();
  auto [end, error] = std::from_chars(id.data() + slash + 1, last, run);
  if (error != std::errc() || end != last) return {id, 0};
  return {id.substr(0, slash), run};
}

// Returns the class that the policy sets, or the one that the caller asked for,
// which must not be higher.
RequestClass ClassOf(const teams::RoutePolicy& route,
                     const std::string& asked) {
  if (asked.empty()) return route.cls;
  auto cls = base::FromName<RequestClass>(base::kClassNames, asked);
  if (!cls || base::Index(*cls) < base::Index(route.cls)) {
    throw Error(Reason::kWrongClass, "X-Request-Class is " + asked);
  }
  return *cls;
}

}  // namespace

void Node::OnCallerRequest(const CallerRequest& in) {
  Lock lock(mutex_);
  if (!ReadyLocked()) throw Error(Reason::kNotReady, options_.host);
  Entry entry;
  entry.caller = in.caller;
  CallPtr call = MakeCall(in, &entry.offers);
  machines::Request& request = *call->request;
  if (request.order && !contracts::ParseContract(request.key)) {
    // The order is not run; the reply carries the contract to repeat it with.
    entry.lacks_contract = true;
    entry.reply.request_id = request.id;
    return RequestContract(*call, request.service, std::move(entry));
  }
  if (request.order) {
    call->fixed_host = contracts::ParseContract(request.key)->host;
  }
  if (!EnterWindow(*call)) {
    ++counts_.refused_at_entry.at(static_cast<size_t>(Reason::kEntryWindow));
    if (log_.enabled()) {
      Decision decision;
      decision.what = "refuse_at_entry";
      decision.request = &request;
      decision.reason = Reason::kEntryWindow;
      log_.Write(decision);
    }
    Reply reply;
    reply.outcome = Outcome::kNotRun;
    reply.reason = Reason::kEntryWindow;
    reply.request_id = request.id;
    ++counts_.outcomes.at(base::Index(request.cls))
          .at(static_cast<size_t>(Outcome::kNotRun));
    return callers_.Answer(in.caller, reply);
  }
  StartCall(call, std::move(entry));
}

machines::Run* Node::ParentOf(const std::string& request_id) {
  auto [id, run_id] = SplitRequestId(request_id);
  if (run_id == 0) return nullptr;
  machines::Run* run = server_.FindRun(run_id);
  if (run == nullptr || run->request->id != id) {
    throw Error(Reason::kParentGone, request_id);
  }
  return run;
}

CallPtr Node::MakeCall(const CallerRequest& in, std::string* offers) {
  CheckRequestId(in.request_id);
  Target target = SplitTarget(in.target);
  PolicyPtr policy = PolicyOf(target.service);
  const teams::RoutePolicy* route =
      policy == nullptr ? nullptr : policy->Match(in.method, target.path);
  if (route == nullptr) {
    throw Error(Reason::kUnknownService, in.method + " " + in.target);
  }
  if (in.timeout_ms < 0) {
    throw Error(Reason::kDeadline, "X-Request-Timeout-Ms has run out");
  }
  machines::Run* parent = ParentOf(in.request_id);
  CallPtr call(new Call());
  call->id = next_call_++;
  call->caller = in.caller;
  call->policy = policy;
  call->permits = policy->router.retries;
  machines::RequestPtr request = new machines::Request();
  call->request = request;
  request->id = in.request_id;
  if (request->id.empty()) {
    request->id = options_.host + "-" + std::to_string(incarnation_ % 100000) +
                  "-" + std::to_string(call->id);
  }
  request->service = target.service;
  request->route = route->name;
  request->cls = ClassOf(*route, in.request_class);
  request->order = route->order;
  request->idempotent = route->idempotent;
  request->key = in.key;
  Millis timeout = route->timeout;
  if (in.timeout_ms > 0) timeout = std::min(timeout, Millis(in.timeout_ms));
  request->deadline = clock_.Now() + timeout;
  request->method = in.method;
  request->target = target.path;
  request->content_type = in.content_type;
  request->body = in.body;
  *offers = route->offers;
  if (parent != nullptr) InheritFromParent(*call, *parent);
  return call;
}

// An inner call inherits the request id and class of its run, ends by the run's
// deadline, and pays for retries with the permits that came with the run.
void Node::InheritFromParent(Call& call, machines::Run& run) {
  machines::Request& request = *call.request;
  request.id = run.request->id;
  request.cls = run.request->cls;
  request.deadline = std::min(request.deadline, run.request->deadline);
  call.parent_run = run.id;
  if (!call.policy->router.retry_each_hop) {
    // The call gets half of the permits, so that concurrent inner calls of the
    // same run get some too.
    call.permits = (run.permits + 1) / 2;
    run.permits -= call.permits;
  }
  ++run.inner_calls;
  inner_calls_[run.id].insert(call.id);
}

zones::Window* Node::WindowOf(const machines::Request& request) {
  std::string name = request.service + " " + request.route;
  auto it = windows_.find(name);
  if (it != windows_.end()) return &it->second;
  if (windows_.size() >= options_.windows) return nullptr;
  zones::WindowOptions window;
  if (PolicyPtr policy = PolicyOf(request.service)) {
    window = policy->router.entry_window;
  }
  return &windows_.try_emplace(name, window).first->second;
}

bool Node::EnterWindow(Call& call) {
  bool entry = call.parent_run == 0;
  if (!entry || !call.policy->router.window) return true;
  zones::Window* window = WindowOf(*call.request);
  if (window == nullptr) return true;
  call.in_window = window->Enter(call.request->cls);
  return call.in_window;
}

void Node::TrackService(const std::string& service) {
  Millis now = clock_.Now();
  auto it = tracked_.find(service);
  if (it != tracked_.end()) {
    it->second = now;
    return;
  }
  if (tracked_.size() >= options_.services) {
    auto older = [](const auto& a, const auto& b) {
      return a.second < b.second;
    };
    auto oldest = std::min_element(tracked_.begin(), tracked_.end(), older);
    router_.directory().Update(oldest->first, {});
    tracked_.erase(oldest);
  }
  tracked_[service] = now;
  auto hosts = hosts_.find(service);
  if (hosts != hosts_.end()) router_.directory().Update(service, hosts->second);
}

void Node::StartCall(const CallPtr& call, Entry entry) {
  TrackService(call->request->service);
  entry.call = call;
  if (entry.caller != 0) call_by_caller_[entry.caller] = call->id;
  entries_[call->id] = std::move(entry);
  router_.Start(call, clock_.Now());
}

// Requests a contract from a gate of `service` on behalf of the caller of
// `order`.
void Node::RequestContract(const Call& order, const std::string& service,
                           Entry entry) {
  CallPtr call(new Call());
  call->id = next_call_++;
  call->caller = order.caller;
  call->kind = links::CallKind::kIssueContract;
  call->policy = PolicyOf(service);
  if (call->policy == nullptr) call->policy = order.policy;
  call->permits = 1;
  machines::RequestPtr request = new machines::Request();
  call->request = request;
  request->id = order.request->id;
  request->service = service;
  request->cls = RequestClass::kCritical;
  request->idempotent = true;
  request->deadline = order.request->deadline;
  StartCall(call, std::move(entry));
}

}  // namespace almondwind::node
