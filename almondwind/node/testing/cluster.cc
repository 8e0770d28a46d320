#include "almondwind/node/testing/cluster.h"

#include <fmt/format.h>

#include <algorithm>

namespace almondwind::node::testing {

using base::Millis;
using base::Outcome;
using base::Reason;

namespace {

constexpr int64_t kStepMs = 5;
constexpr Millis kReadInterval{500};
constexpr size_t kMaxDeliveries = 200'000;

std::string ServiceName(size_t service) {
  return "team/s" + std::to_string(service);
}

}  // namespace

Cluster::Cluster(const Topology& topology, uint64_t seed)
    : topology_(topology),
      modes_(topology.services, UpstreamMode::kNormal),
      seed_(seed) {
  hosts_.resize(topology.services * topology.hosts);
  for (size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    host.service = i / topology.hosts;
    host.zone_index = i % topology.zones;
    host.zone = "z" + std::to_string(host.zone_index);
    host.name = fmt::format("h{}", i);
    // The clocks of the hosts differ by large offsets but run at the same rate.
    host.clock = std::make_unique<HostClock>(
        clock_, static_cast<int64_t>(i) * 1'000'000);
    host.shell = std::make_unique<FakeShell>(*this, i);
  }
  Publish("/teams/team", PolicyText(kRetries));
  for (size_t s = 0; s < topology.services; ++s) {
    Publish("/hosts/" + ServiceName(s), HostsText(s));
  }
  for (Host& host : hosts_) Boot(host);
  Advance(3000);
}

Cluster::~Cluster() = default;

std::string Cluster::PolicyText(int retries) const {
  std::string text;
  for (size_t s = 0; s < topology_.services; ++s) {
    text += fmt::format(
        "[services.s{0}.router]\nretries = {1}\n"
        "[[services.s{0}.routes]]\nname = \"order\"\nmethod = \"POST\"\n"
        "prefix = \"/order\"\nclass = \"critical\"\norder = true\n"
        "[[services.s{0}.routes]]\nname = \"read\"\nclass = \"critical\"\n"
        "idempotent = true\n",
        s, retries);
  }
  return text;
}

std::string Cluster::HostsText(size_t service) const {
  std::string text;
  for (const Host& host : hosts_) {
    if (host.service != service) continue;
    text += fmt::format(
        "[[hosts]]\nname = \"{0}\"\nzone = \"{1}\"\nregion = \"r\"\n"
        "link = \"{0}\"\ncontrol = \"{0}\"\n",
        host.name, host.zone);
  }
  return text;
}

void Cluster::Boot(Host& host) {
  size_t index = IndexOf(host.name);
  host.entropy = std::make_unique<base::SeededEntropy>(
      seed_ * 1'000'003 + index * 7919 +
      static_cast<uint64_t>(clock_.Now().count()));
  NodeOptions options;
  options.host = host.name;
  options.zone = host.zone;
  options.region = "r";
  options.server.host = host.name;
  options.server.service = ServiceName(host.service);
  options.server.slots = topology_.slots;
  options.server.connections = 100;
  options.directory.host = host.name;
  options.directory.zone = host.zone;
  options.directory.region = "r";
  options.relay.host = host.name;
  options.relay.zone = host.zone;
  options.relay.control = host.name;
  options.relay.seeds = {hosts_[0].name, hosts_[1].name, hosts_[2].name};
  host.versions.clear();
  host.was_ready = false;
  host.next_read = clock_.Now();
  host.node = std::make_unique<Node>(options, *host.clock, *host.entropy,
                                     *host.shell, *host.shell, *host.shell,
                                     *host.shell, *host.shell);
}

size_t Cluster::IndexOf(const std::string& name) const {
  return static_cast<size_t>(std::stoul(name.substr(1)));
}

bool Cluster::Partitioned(const Host& a, const Host& b) const {
  if (a.zone_index == b.zone_index) return false;
  return cut_.count(a.zone_index) != 0 || cut_.count(b.zone_index) != 0;
}

uint64_t Cluster::CallService(size_t host, size_t service,
                              const std::string& token,
                              const std::string& cls) {
  Host& entry = HostAt(host);
  uint64_t id = next_caller_++;
  callers_[id] = {IndexOf(entry.name), token, "", 0, 0};
  CallerRequest request;
  request.caller = id;
  request.method = "GET";
  request.target = "/" + ServiceName(service % topology_.services) + "/x";
  request.request_id = token;
  request.request_class = cls;
  request.body = token;
  try {
    entry.node->OnCallerRequest(request);
  } catch (const base::Error& e) {
    node::Reply reply;
    reply.outcome = Outcome::kNotRun;
    reply.reason = e.reason();
    OnAnswer(id, reply);
  }
  return id;
}

uint64_t Cluster::Order(size_t host, const std::string& token,
                        const std::string& contract) {
  Host& entry = HostAt(host);
  uint64_t id = next_caller_++;
  callers_[id] = {IndexOf(entry.name), token, contract, 0, 0};
  CallerRequest request;
  request.caller = id;
  request.method = "POST";
  request.target = "/" + ServiceName(topology_.services - 1) + "/order";
  request.key = contract;
  request.body = token;
  try {
    entry.node->OnCallerRequest(request);
  } catch (const base::Error& e) {
    callers_.erase(id);
  }
  return id;
}

void Cluster::OnAnswer(uint64_t caller, const node::Reply& reply) {
  auto it = callers_.find(caller);
  if (++oracle_.replies[caller] > 1) AddViolation("two answers to one caller");
  if (it == callers_.end()) return;
  Caller who = it->second;
  callers_.erase(it);
  if (who.parent_run != 0) {
    auto& runs = hosts_[who.parent_host].runs;
    auto run = runs.find(who.parent_run);
    if (run == runs.end()) return;
    --run->second.inner_calls_open;
    if (reply.outcome != Outcome::kAnswered) ++run->second.inner_calls_failed;
    return;
  }
  replies_[caller] = {reply.outcome, reply.reason, reply.body, reply.contract};
  switch (reply.outcome) {
    case Outcome::kAnswered:
      ++oracle_.answered;
      if (reply.body != "answer " + who.token) {
        AddViolation("a wrong answer: " + reply.body + " to " + who.token);
      }
      return;
    case Outcome::kUnknown:
      ++oracle_.unknown;
      return;
    case Outcome::kNotRun:
      ++oracle_.not_run;
      break;
  }
  if (!who.contract.empty()) {
    oracle_.key_not_run.insert(who.contract);
    if (oracle_.key_runs.count(who.contract) != 0) {
      AddViolation("told not run, but the order ran: " + who.contract);
    }
    return;
  }
  oracle_.reported_not_run.insert(who.token);
  if (oracle_.effects.count(who.token) != 0) {
    AddViolation("told not run, but it ran: " + who.token);
  }
}

void Cluster::Advance(int64_t ms) {
  for (int64_t done = 0; done < ms; done += kStepMs) Step();
}

void Cluster::Step() {
  clock_.Advance(Millis(kStepMs));
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].paused) continue;
    ReadPlatform(i);
    hosts_[i].node->Tick();
  }
  Deliver();
  RunUpstreams();
  Deliver();
  Check();
}

void Cluster::Deliver() {
  // Messages that cannot be delivered now stay queued in order.
  std::deque<Packet> waiting;
  size_t budget = kMaxDeliveries;
  while (!wire_.empty() && budget-- > 0) {
    Packet packet = std::move(wire_.front());
    wire_.pop_front();
    if (!DeliverOne(packet)) waiting.push_back(std::move(packet));
  }
  if (budget == 0) AddViolation("messages without end");
  wire_ = std::move(waiting);
}

bool Cluster::DeliverOne(const Packet& packet) {
  Host& to = hosts_[packet.to];
  if (to.paused || Partitioned(hosts_[packet.from], to)) {
    // Control messages are dropped; messages on links wait.
    return packet.kind == PacketKind::kControl;
  }
  switch (packet.kind) {
    case PacketKind::kToGate:
      ToGate(to, packet);
      break;
    case PacketKind::kToRouter:
      ToRouter(to, packet);
      break;
    case PacketKind::kControl:
      to.node->OnControl(packet.bytes);
      break;
  }
  return true;
}

void Cluster::ToGate(Host& to, const Packet& packet) {
  links::Message message =
      links::Decode(std::string_view(packet.bytes).substr(4));
  if (const auto* hello = std::get_if<links::Hello>(&message)) {
    uint64_t session = to.node->OpenSession(*hello);
    to.sessions[session] = {packet.from, packet.link};
    links::Welcome welcome;
    welcome.host = to.name;
    welcome.incarnation = to.node->incarnation();
    welcome.session = session;
    wire_.push_back({PacketKind::kToRouter, packet.to, packet.from, packet.link,
                     links::Encode(welcome)});
    return;
  }
  to.node->OnRouterMessage(message);
}

void Cluster::ToRouter(Host& to, const Packet& packet) {
  links::Message message =
      links::Decode(std::string_view(packet.bytes).substr(4));
  Link& link = to.links[hosts_[packet.from].name];
  if (const auto* welcome = std::get_if<links::Welcome>(&message)) {
    if (link.number != packet.link || link.state == LinkState::kUp) return;
    link.state = LinkState::kUp;
    link.session = welcome->session;
    to.node->OnLinkUp(*welcome);
    return;
  }
  to.node->OnGateMessage(hosts_[packet.from].name, message);
}

void Cluster::BreakLink(size_t from, const std::string& to) {
  Host& dialler = hosts_[from];
  auto it = dialler.links.find(to);
  if (it == dialler.links.end() || it->second.state == LinkState::kDown) {
    return;
  }
  uint64_t number = it->second.number;
  it->second = Link();
  Host& gate = hosts_[IndexOf(to)];
  for (auto s = gate.sessions.begin(); s != gate.sessions.end(); ++s) {
    if (s->second.second != number) continue;
    uint64_t session = s->first;
    gate.sessions.erase(s);
    gate.node->CloseSession(session);
    break;
  }
  dialler.node->OnLinkDown(to);
}

void Cluster::BreakLinks(size_t host) {
  Host& broken = HostAt(host);
  size_t index = IndexOf(broken.name);
  for (size_t i = 0; i < hosts_.size(); ++i) {
    BreakLink(i, broken.name);
    BreakLink(index, hosts_[i].name);
  }
}

void Cluster::RunUpstreams() {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].paused) continue;
    std::vector<uint64_t> runs;
    for (const auto& [run, state] : hosts_[i].runs) runs.push_back(run);
    for (uint64_t run : runs) {
      auto it = hosts_[i].runs.find(run);
      if (it == hosts_[i].runs.end() || it->second.ends_at > now()) continue;
      bool calls = !it->second.leaf && it->second.mode != UpstreamMode::kSheds;
      if (calls && !it->second.inner_calls_started) {
        StartInnerCalls(i, run);
      } else if (it->second.inner_calls_open == 0) {
        EndRun(i, run);
      }
    }
  }
}

void Cluster::StartInnerCalls(size_t host, uint64_t run) {
  UpstreamRun& state = hosts_[host].runs[run];
  state.inner_calls_started = true;
  int inner_calls = topology_.fan_out.count(state.service) != 0 ? 2 : 1;
  state.inner_calls_open = inner_calls;
  CallerRequest request;
  request.method = "GET";
  request.target = "/" + ServiceName(state.service + 1) + "/x";
  request.request_id = state.request_id;
  request.body = state.token;
  for (int i = 0; i < inner_calls; ++i) {
    request.caller = next_caller_++;
    callers_[request.caller] = {host, request.body, "", host, run};
    try {
      hosts_[host].node->OnCallerRequest(request);
    } catch (const base::Error& e) {
      node::Reply reply;
      reply.outcome = Outcome::kNotRun;
      OnAnswer(request.caller, reply);
    }
  }
}

void Cluster::EndRun(size_t host, uint64_t run) {
  UpstreamRun state = hosts_[host].runs[run];
  hosts_[host].runs.erase(run);
  UpstreamResult end;
  if (state.mode == UpstreamMode::kCloses) {
    end.kind = base::EndKind::kClosed;
  } else if (state.mode == UpstreamMode::kSheds ||
             state.inner_calls_failed > 0) {
    end.kind = base::EndKind::kAnswer;
    end.status = 503;
    // The upstream itself did not run the request; the node must take the
    // outcomes of its inner calls into account.
    end.reports_not_run = true;
  } else {
    end.kind = base::EndKind::kAnswer;
    end.status = 200;
    end.body = "answer " + state.token;
  }
  hosts_[host].node->OnUpstreamEnd(run, std::move(end));
}

void Cluster::DuplicateOne(size_t pick) {
  if (wire_.empty()) return;
  Packet copy = wire_[pick % wire_.size()];
  wire_.push_back(copy);
  held_.push_back(std::move(copy));
}

void Cluster::DropOne(size_t pick) {
  if (wire_.empty()) return;
  wire_.erase(wire_.begin() + static_cast<ptrdiff_t>(pick % wire_.size()));
}

void Cluster::ReorderOne(size_t pick) {
  if (wire_.empty()) return;
  std::swap(wire_[pick % wire_.size()], wire_[pick / 7 % wire_.size()]);
}

void Cluster::HoldOne(size_t pick) {
  if (wire_.empty()) return;
  auto at = wire_.begin() + static_cast<ptrdiff_t>(pick % wire_.size());
  held_.push_back(std::move(*at));
  wire_.erase(at);
}

void Cluster::ReleaseHeld() {
  for (Packet& packet : held_) wire_.push_back(std::move(packet));
  held_.clear();
}

void Cluster::Cut(size_t zone, bool cut) {
  if (cut) {
    cut_.insert(zone % topology_.zones);
  } else {
    cut_.erase(zone % topology_.zones);
  }
}

void Cluster::Pause(size_t host, bool paused) { HostAt(host).paused = paused; }

void Cluster::Restart(size_t host) {
  Host& old = HostAt(host);
  BreakLinks(host);
  old.runs.clear();
  old.links.clear();
  old.sessions.clear();
  old.paused = false;
  old.leaving = false;
  size_t index = IndexOf(old.name);
  // The callers of the old process get no reply.
  for (auto it = callers_.begin(); it != callers_.end();) {
    it = it->second.host == index ? callers_.erase(it) : std::next(it);
  }
  Boot(old);
}

void Cluster::SetLeaving(size_t host, bool leaving) {
  Host& h = HostAt(host);
  if (h.paused || h.leaving == leaving) return;
  h.leaving = leaving;
  h.left_at = now();
  h.left_at_own_clock = h.clock->Now();
  h.node->SetLeaving(LeaveCause::kUpstream, leaving);
}

void Cluster::SetMode(size_t service, UpstreamMode mode) {
  modes_[service % topology_.services] = mode;
}

void Cluster::DisconnectCaller(size_t pick) {
  if (callers_.empty()) return;
  auto it = callers_.begin();
  std::advance(it, static_cast<ptrdiff_t>(pick % callers_.size()));
  if (it->second.parent_run != 0 || hosts_[it->second.host].paused) return;
  uint64_t caller = it->first;
  size_t host = it->second.host;
  hosts_[host].node->OnCallerGone(caller);
}

void Cluster::Publish(const std::string& path, const std::string& text,
                      bool good) {
  auto it = platform_.find(path);
  if (it != platform_.end()) previous_values_[path] = it->second;
  platform_[path] = {path, ++revision_, text};
  newest_good_.erase(path);
  if (good) newest_good_[path] = revision_;
}

void Cluster::SetPlatform(bool down, bool older) {
  platform_down_ = down;
  platform_older_ = older;
}

std::vector<teams::Value> Cluster::VisibleValues() const {
  std::vector<teams::Value> values;
  for (const auto& [path, value] : platform_) {
    auto before = previous_values_.find(path);
    bool old = platform_older_ && before != previous_values_.end();
    values.push_back(old ? before->second : value);
  }
  return values;
}

void Cluster::ReadPlatform(size_t index) {
  Host& host = hosts_[index];
  if (host.next_read > now()) return;
  host.next_read = now() + kReadInterval;
  bool severed = cut_.count(host.zone_index) != 0;
  if (!topology_.with_platform || !host.node->ShouldReadPlatform()) return;
  ++platform_reads_;
  if (platform_down_ || severed) return;
  host.node->OnPlatform(VisibleValues());
}

void Cluster::Settle() {
  cut_.clear();
  ReleaseHeld();
  for (Host& host : hosts_) host.paused = false;
  std::fill(modes_.begin(), modes_.end(), UpstreamMode::kNormal);
  SetPlatform(false, false);
  Advance(6000);  // a new value must be in force on every node within 6 s
  for (Host& host : hosts_) {
    for (const auto& [path, version] : newest_good_) {
      const teams::Value* value = host.node->store().Find(path);
      if (value == nullptr || value->version != version) {
        AddViolation("not in force after 6 s at " + host.name + ": " + path);
      }
    }
  }
}

void Cluster::Check() {
  for (Host& host : hosts_) {
    for (const auto& [path, value] : host.node->store().entries()) {
      uint64_t& seen = host.versions[path];
      if (value.version < seen) {
        AddViolation("configuration went back: " + path);
      }
      seen = value.version;
    }
  }
  for (const auto& [id, count] : oracle_.retries) {
    if (count > kRetries) AddViolation("more retries than the bound: " + id);
  }
}

}  // namespace almondwind::node::testing
