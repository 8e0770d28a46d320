// Interfaces that one node of a Cluster uses: messages and runs go to the
// cluster's simulated network and upstreams, observations to the oracle.

#include "almondwind/node/testing/cluster.h"

namespace almondwind::node::testing {

using base::Millis;

namespace {

constexpr Millis kServiceTime{10};
constexpr Millis kSlowServiceTime{400};
constexpr Millis kLeavingGrace{3000};

}  // namespace

LinkState FakeShell::Prepare(const zones::HostEntry& entry) {
  auto& self = cluster_.hosts_[host_];
  Cluster::Link& link = self.links[entry.name];
  if (link.state != LinkState::kDown) return link.state;
  link.state = LinkState::kDialing;
  link.number = cluster_.next_link_++;
  links::Hello hello;
  hello.host = self.name;
  hello.sent_at_ms = self.clock->Now().count();
  cluster_.wire_.push_back({Cluster::PacketKind::kToGate, host_,
                            cluster_.IndexOf(entry.name), link.number,
                            links::Encode(hello)});
  return link.state;
}

bool FakeShell::Send(const std::string& host, const links::Message& message) {
  Cluster::Link& link = cluster_.hosts_[host_].links[host];
  if (link.state != LinkState::kUp) return false;
  cluster_.wire_.push_back({Cluster::PacketKind::kToGate, host_,
                            cluster_.IndexOf(host), link.number,
                            links::Encode(message)});
  return true;
}

void FakeShell::Reply(uint64_t session, const links::Message& message) {
  auto& sessions = cluster_.hosts_[host_].sessions;
  auto it = sessions.find(session);
  if (it == sessions.end()) return;
  cluster_.wire_.push_back({Cluster::PacketKind::kToRouter, host_,
                            it->second.first, it->second.second,
                            links::Encode(message)});
}

void FakeShell::Start(uint64_t run, const machines::Request& request,
                      const std::string& request_id, Millis) {
  auto& host = cluster_.hosts_[host_];
  Oracle& oracle = cluster_.oracle_;
  Cluster::UpstreamRun running;
  running.token = request.body;
  running.request_id = request_id;
  running.service = host.service;
  running.order = request.order;
  running.leaf =
      request.order || host.service + 1 == cluster_.topology_.services;
  running.mode = cluster_.modes_[host.service];
  bool slow = running.mode == UpstreamMode::kSlow;
  running.ends_at = cluster_.now() + (slow ? kSlowServiceTime : kServiceTime);
  bool acts = running.leaf && running.mode != UpstreamMode::kSheds;
  if (acts) {
    ++oracle.effects[running.token];
    if (oracle.reported_not_run.count(running.token) != 0) {
      cluster_.AddViolation("ran after not run was told: " + running.token);
    }
  }
  if (acts && request.order) {
    if (++oracle.key_runs[request.key] > 1) {
      cluster_.AddViolation("an order ran twice: " + request.key);
    }
    if (oracle.key_not_run.count(request.key) != 0) {
      cluster_.AddViolation("an order ran after not run was told: " +
                            request.key);
    }
  }
  // Work queued before the gate learned that the host is leaving may still
  // start within kLeavingGrace; work queued later must not start.
  const machines::Run* taken = host.node->server().FindRun(run);
  bool late = host.leaving && cluster_.now() - host.left_at > kLeavingGrace;
  bool fresh = host.leaving && taken != nullptr &&
               taken->enqueued > host.left_at_own_clock;
  if (late || fresh) {
    cluster_.AddViolation("new work at a leaving upstream: " + host.name);
  }
  host.runs[run] = running;
}

void FakeShell::Cancel(uint64_t run) { cluster_.hosts_[host_].runs.erase(run); }

void FakeShell::Answer(uint64_t caller, node::Reply reply) {
  cluster_.OnAnswer(caller, reply);
}

void FakeShell::SendControl(const std::string& address,
                            const std::string& bytes) {
  cluster_.wire_.push_back({Cluster::PacketKind::kControl, host_,
                            cluster_.IndexOf(address), 0, bytes});
}

void FakeShell::Write(const Decision& decision) {
  auto& host = cluster_.hosts_[host_];
  if (decision.request == nullptr || host.node == nullptr) return;
  const machines::Request& request = *decision.request;
  if (decision.what == "retry") {
    // Each attempt after the first of a call costs a permit, unless nothing was
    // sent for the earlier ones.
    ++cluster_.oracle_.retries[request.id];
  }
  const machines::Gate& gate = host.node->server().gate();
  size_t lower = 0;
  for (size_t c = base::Index(request.cls) + 1; c < base::kClassCount; ++c) {
    lower += gate.queued(static_cast<base::RequestClass>(c));
  }
  if (decision.what == "refuse" && IsLoadRefusal(decision.reason) &&
      lower > 0) {
    cluster_.AddViolation("refused while a lower class waits: " + request.id);
  }
  size_t higher = 0;
  for (size_t c = 0; c < base::Index(request.cls); ++c) {
    higher += gate.queued(static_cast<base::RequestClass>(c));
  }
  if (decision.what == "admit" && higher > 0) {
    cluster_.AddViolation("started while a higher class waits: " + request.id);
  }
}

}  // namespace almondwind::node::testing
