// Measures how costs grow with size, for docs/CAPACITY.md: processor time of a
// call and of control messages, memory of the tables, control traffic, and the
// time until a configuration change is in force on all nodes. Each is measured
// at three or more sizes in one process, with the production classes but
// without sockets.

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "almondwind/links/message.h"
#include "almondwind/node/node.h"

namespace almondwind::bench {
namespace {

using base::Millis;
using Clock = std::chrono::steady_clock;

constexpr int kHostsPerService = 18;  // as 23,000 hosts in 1,300 services
constexpr int kZones = 16;

double MicrosSince(Clock::time_point from) {
  return std::chrono::duration<double, std::micro>(Clock::now() - from).count();
}

size_t HeapBytes() { return mallinfo2().uordblks; }

// Stands in for links, upstream, callers, control channel and log. Sends
// succeed immediately; what later steps need is recorded.
struct RecordingEnvironment : public node::Links,
                              public node::Upstream,
                              public node::Callers,
                              public teams::ControlChannel,
                              public node::DecisionLog {
  node::LinkState Prepare(const zones::HostEntry&) override {
    return node::LinkState::kUp;
  }
  bool Send(const std::string& host, const links::Message& message) override {
    if (const auto* call = std::get_if<links::Call>(&message)) {
      sent_to = host;
      sent = *call;
    }
    return true;
  }
  void Reply(uint64_t, const links::Message&) override { ++replies; }
  void Start(uint64_t run, const machines::Request&, const std::string&,
             Millis) override {
    started = run;
  }
  void Cancel(uint64_t) override {}
  void Answer(uint64_t, node::Reply) override { ++answers; }
  void SendControl(const std::string& address,
                   const std::string& bytes) override {
    outbox.emplace_back(std::stoul(address), bytes);
    bytes_sent += bytes.size() + 40;  // TCP and IP headers
  }
  bool enabled() const override { return false; }
  void Write(const node::Decision&) override {}
  void Event(std::string_view, const std::string&) override {}

  std::string sent_to;
  links::Call sent;
  uint64_t started = 0;
  uint64_t replies = 0;
  uint64_t answers = 0;
  uint64_t bytes_sent = 0;
  std::deque<std::pair<size_t, std::string>> outbox;
};

std::string HostName(int service, int host) {
  return std::to_string(service * kHostsPerService + host);
}

std::string HostsText(int service, int hosts) {
  std::string text;
  for (int h = 0; h < hosts; ++h) {
    text += fmt::format(
        "[[hosts]]\nname = \"{0}\"\nzone = \"z{1}\"\nregion = \"r{2}\"\n"
        "link = \"{0}\"\ncontrol = \"{0}\"\n",
        HostName(service, h), h % kZones, h % kZones % 5);
  }
  return text;
}

// A policy of typical size: one gate setting and eight routes.
std::string PolicyText() {
  std::string text = "[services.s.gate]\nqueue_high_ms = 50\n";
  for (int r = 0; r < 8; ++r) {
    text += fmt::format(
        "[[services.s.routes]]\nname = \"r{0}\"\nmethod = \"GET\"\n"
        "prefix = \"/path{0}\"\nclass = \"normal\"\nidempotent = true\n"
        "timeout_ms = 800\n",
        r);
  }
  return text;
}

struct BenchNode {
  base::ManualClock clock;
  base::SeededEntropy entropy{1};
  RecordingEnvironment environment;
  std::unique_ptr<node::Node> node;

  explicit BenchNode(const std::string& host = "0", int slots = 100'000,
                     size_t subset = 12) {
    node::NodeOptions o;
    o.host = o.server.host = o.directory.host = o.relay.host = host;
    o.relay.control = host;
    o.zone = o.directory.zone = o.relay.zone = "z0";
    o.directory.subset = subset;
    o.directory.other_zones = subset / 3;
    o.server.service = "t0/s";
    o.server.slots = slots;
    o.server.connections = slots;
    node = std::make_unique<node::Node>(o, clock, entropy, environment,
                                        environment, environment, environment,
                                        environment);
  }
};

std::vector<teams::Value> FleetValues(int services, int hosts) {
  std::vector<teams::Value> values;
  for (int s = 0; s < services; ++s) {
    std::string team = "t" + std::to_string(s);
    values.push_back({"/teams/" + team, 1, PolicyText()});
    values.push_back({"/hosts/" + team + "/s", 1, HostsText(s, hosts)});
  }
  return values;
}

void MeasureEntry() {
  std::cout << "entry router: processor time of one call (request, choice, "
               "send, answer)\n";
  for (int hosts : {3, 6, 12, 24}) {
    BenchNode bench_node("x", 100, static_cast<size_t>(hosts));
    bench_node.node->OnPlatform(FleetValues(2, hosts));
    for (int h = 0; h < hosts; ++h) {
      bench_node.node->OnLinkUp(
          {HostName(1, h), 5, static_cast<uint64_t>(h) + 1});
    }
    bench_node.clock.Advance(Millis(5000));
    constexpr int kCalls = 100'000;
    node::CallerRequest request;
    request.method = "GET";
    request.target = "/t1/s/path7/x";
    auto from = Clock::now();
    for (int i = 1; i <= kCalls; ++i) {
      request.caller = static_cast<uint64_t>(i);
      bench_node.node->OnCallerRequest(request);
      links::Answer answer;
      answer.session = bench_node.environment.sent.session;
      answer.id = bench_node.environment.sent.id;
      answer.status = 200;
      answer.load.limit = 10;
      bench_node.node->OnGateMessage(bench_node.environment.sent_to, answer);
    }
    std::cout << fmt::format("  subset {:>3}: {:.2f} us a call, {} answered\n",
                             hosts, MicrosSince(from) / kCalls,
                             bench_node.environment.answers);
  }
}

void MeasureGate() {
  std::cout << "gate: processor time of one call (take, start, end, answer)\n";
  for (int running : {10, 100, 1000, 10'000}) {
    BenchNode bench_node("x", running + 1);
    links::Hello hello;
    hello.host = "y";
    uint64_t session = bench_node.node->OpenSession(hello);
    links::Call call;
    call.session = session;
    call.service = "t0/s";
    call.timeout_ms = 1'000'000;
    call.method = "GET";
    for (int i = 0; i < running; ++i) {
      ++call.id;
      bench_node.node->OnRouterMessage(call);
    }
    constexpr int kCalls = 100'000;
    auto from = Clock::now();
    for (int i = 0; i < kCalls; ++i) {
      ++call.id;
      bench_node.node->OnRouterMessage(call);
      node::UpstreamResult end;
      end.kind = base::EndKind::kAnswer;
      end.status = 200;
      bench_node.node->OnUpstreamEnd(bench_node.environment.started, end);
    }
    double call_us = MicrosSince(from) / kCalls;
    from = Clock::now();
    for (int i = 0; i < 100; ++i) bench_node.node->Tick();
    std::cout << fmt::format(
        "  {:>6} in progress: {:.2f} us a call; a tick "
        "{:.1f} us\n",
        running, call_us, MicrosSince(from) / 100);
  }
}

void MeasureFrames() {
  std::cout << "link: processor time to encode and decode a call\n";
  for (size_t bytes : {200UL, 2000UL, 20'000UL, 200'000UL}) {
    links::Call call;
    call.service = "team/service";
    call.body = std::string(bytes, 'x');
    constexpr int kFrames = 5000;
    auto from = Clock::now();
    size_t total = 0;
    for (int i = 0; i < kFrames; ++i) {
      std::string frame = links::Encode(call);
      links::Decode(std::string_view(frame).substr(4));
      total += frame.size();
    }
    std::cout << fmt::format("  body {:>6}: {:.2f} us, frame {} bytes\n", bytes,
                             MicrosSince(from) / kFrames, total / kFrames);
  }
}

void MeasureTables() {
  std::cout << "tables: memory of a node's configuration and host lists\n";
  for (int services : {325, 650, 1300}) {
    std::vector<teams::Value> values = FleetValues(services, kHostsPerService);
    size_t before = HeapBytes();
    BenchNode bench_node("x");
    auto from = Clock::now();
    bench_node.node->OnPlatform(values);
    double ms = MicrosSince(from) / 1000;
    std::cout << fmt::format(
        "  {:>5} services, {:>6} hosts: {:.2f} MB, put in force in {:.0f} ms\n",
        services, services * kHostsPerService,
        static_cast<double>(HeapBytes() - before) / 1e6, ms);
  }
  std::cout << "ledger: memory of contracts\n";
  for (size_t count : {1000UL, 10'000UL, 60'000UL}) {
    base::SeededEntropy entropy(1);
    contracts::Ledger ledger("some-host-name", 1, {}, entropy);
    size_t before = HeapBytes();
    for (size_t i = 0; i < count; ++i) ledger.Issue("t/s", Millis(0));
    std::cout << fmt::format(
        "  {:>6} contracts: {:.0f} bytes each\n", count,
        static_cast<double>(HeapBytes() - before) / static_cast<double>(count));
  }
}

struct RelayFleet {
  explicit RelayFleet(int count) {
    std::vector<teams::Value> values;
    int services = count / kHostsPerService + 1;
    for (int s = 0; s < services; ++s) {
      int hosts = std::min(kHostsPerService, count - s * kHostsPerService);
      if (hosts <= 0) break;
      std::string team = "t" + std::to_string(s);
      values.push_back({"/hosts/" + team + "/s", 1, HostsText(s, hosts)});
    }
    values.push_back({"/teams/t0", 1, PolicyText()});
    for (int i = 0; i < count; ++i) {
      members.push_back(std::make_unique<BenchNode>(std::to_string(i)));
      members.back()->node->OnPlatform(values);
      members.back()->environment.outbox.clear();
    }
  }
  // Runs until all nodes have `version`, or for `limit` milliseconds if
  // `version` is 0. Returns the simulated milliseconds, at most `limit`.
  int64_t Run(int64_t limit, uint64_t version) {
    for (int64_t t = 0; t < limit; t += 20) {
      for (auto& m : members) {
        m->clock.Advance(Millis(20));
        if (t % 500 == 0) m->node->Tick();
      }
      DeliverOneHop();
      if (version > 0 && CountBehind(version) == 0) return t;
    }
    return limit;
  }
  // Delivers all messages in transit. Run() calls this every 20 ms, which is
  // the simulated latency between hosts.
  void DeliverOneHop() {
    std::vector<std::pair<size_t, std::string>> in_transit;
    for (auto& m : members) {
      for (auto& packet : m->environment.outbox) {
        in_transit.push_back(std::move(packet));
      }
      m->environment.outbox.clear();
    }
    for (auto& [to, bytes] : in_transit) {
      members[to]->node->OnControl(bytes);
      ++messages;
    }
  }
  size_t CountBehind(uint64_t version) const {
    size_t behind = 0;
    for (const auto& m : members) {
      behind += m->node->store().Find("/teams/t0")->version < version;
    }
    return behind;
  }
  uint64_t BytesSent() const {
    uint64_t total = 0;
    for (const auto& m : members) total += m->environment.bytes_sent;
    return total;
  }

  std::vector<std::unique_ptr<BenchNode>> members;
  uint64_t messages = 0;
};

void MeasureRelay() {
  std::cout << "relay: control of one node, and time until a change is in "
               "force everywhere\n";
  for (int count : {50, 100, 200, 400, 800}) {
    RelayFleet fleet(count);
    fleet.Run(3000, 0);
    uint64_t bytes = fleet.BytesSent();
    uint64_t messages = fleet.messages;
    auto from = Clock::now();
    fleet.Run(10'000, 0);
    double idle_us = MicrosSince(from);
    double idle_bytes = static_cast<double>(fleet.BytesSent() - bytes);
    double idle_messages = static_cast<double>(fleet.messages - messages);
    int64_t slowest = 0;
    bytes = fleet.BytesSent();
    constexpr int kChanges = 10;
    for (uint64_t c = 2; c < 2 + kChanges; ++c) {
      size_t reader = c * 17 % static_cast<uint64_t>(count);
      fleet.members[reader]->node->OnPlatform({{"/teams/t0", c, PolicyText()}});
      slowest = std::max(slowest, fleet.Run(10'000, c));
      fleet.Run(1000, 0);
    }
    double change_bytes = static_cast<double>(fleet.BytesSent() - bytes);
    double seconds = 10;
    std::cout << fmt::format(
        "  {:>4} nodes: quiet {:.0f} bytes/s, {:.1f} messages/s, {:.0f} us/s a "
        "node; a change: {:.0f} bytes a node with {:.0f} bytes of text; "
        "slowest of {} in force after {} ms\n",
        count, idle_bytes / seconds / count, idle_messages / seconds / count,
        idle_us / seconds / count, change_bytes / kChanges / count,
        static_cast<double>(PolicyText().size()), kChanges, slowest);
  }
}

}  // namespace
}  // namespace almondwind::bench

int main() {
  almondwind::bench::MeasureEntry();
  almondwind::bench::MeasureGate();
  almondwind::bench::MeasureFrames();
  almondwind::bench::MeasureTables();
  almondwind::bench::MeasureRelay();
  return 0;
}
