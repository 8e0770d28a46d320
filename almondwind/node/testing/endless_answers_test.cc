// The reads that a node makes off the request path, of its upstream's health
// page and of the platform, against servers that send bytes without end.

#define BOOST_TEST_MODULE node_endless_answers
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "almondwind/base/entropy.h"
#include "almondwind/loop/testing/heap.h"
#include "almondwind/loop/testing/raw_server.h"
#include "almondwind/node/health_poll.h"
#include "almondwind/node/node.h"
#include "almondwind/node/platform_client.h"

namespace almondwind::node {
namespace {

using loop::testing::RawEnd;
using loop::testing::RawServer;

constexpr const char* kAddress = "127.0.0.1:20995";
// Time in which some reads must have been given up.
constexpr std::chrono::milliseconds kPlayTime{5000};
constexpr int kReads = 3;
// Half of the memory that a node may use for control.
constexpr size_t kMaxGrowthBytes = 64u << 20;

// Interfaces of a node that has no peers and serves nothing.
struct QuietShell : Links,
                    Upstream,
                    Callers,
                    teams::ControlChannel,
                    DecisionLog {
  LinkState Prepare(const zones::HostEntry&) override {
    return LinkState::kDown;
  }
  bool Send(const std::string&, const links::Message&) override {
    return false;
  }
  void Reply(uint64_t, const links::Message&) override {}
  void Start(uint64_t, const machines::Request&, const std::string&,
             base::Millis) override {}
  void Cancel(uint64_t) override {}
  void Answer(uint64_t, node::Reply) override {}
  void SendControl(const std::string&, const std::string&) override {}
  bool enabled() const override { return false; }
  void Write(const Decision&) override {}
  void Event(std::string_view, const std::string&) override {}
};

struct Endless {
  const char* what;
  std::string bytes;
  std::string endless;
};

std::vector<Endless> EndlessAnswers() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string pad(65536, 'x');
  return {{"start line", "x", pad},
          {"one header field", head + "X-Pad: ", pad},
          {"body without a length", head + "\r\n", pad},
          {"chunks", chunked, "10000\r\n" + pad + "\r\n"},
          {"chunk extension", chunked + "5;x=", pad}};
}

struct Network {
  boost::asio::io_context io;
  RawServer server{io, kAddress};
};

struct World {
  // Lets `reader` read from the server for a time, and ends it. Returns by how
  // much the heap has grown at most.
  template <typename Reader>
  size_t Play(Reader& reader, const Endless& row) {
    using loop::testing::HeapBytes;
    Network net;
    net.server.answer = {row.bytes, RawEnd::kEndless, row.endless};
    size_t before = HeapBytes();
    size_t most = before;
    reader.Start(node);
    auto end = std::chrono::steady_clock::now() + kPlayTime;
    while (net.server.ended < kReads &&
           std::chrono::steady_clock::now() < end) {
      net.io.run_one_for(std::chrono::milliseconds(20));
      most = std::max(most, HeapBytes());
      if (most - before > 2 * kMaxGrowthBytes) break;
    }
    BOOST_TEST(net.server.ended >= kReads, row.what);
    return most - before;
  }

  base::SteadyClock clock;
  base::SystemEntropy entropy;
  QuietShell shell;
  Node node{NodeOptions(), clock, entropy, shell, shell, shell, shell, shell};
};

}  // namespace

// Failure: a faulty server sent bytes without end, in a head or in a body, and
// the poll of its health page kept them all.
BOOST_AUTO_TEST_CASE(a_health_page_without_end_is_not_kept) {
  for (const Endless& row : EndlessAnswers()) {
    World world;
    HealthPoll poll({kAddress, "/health", base::Millis(50)});
    size_t grown = world.Play(poll, row);
    BOOST_TEST(grown < kMaxGrowthBytes, row.what << ": " << grown);
  }
}

// The same in the answers of the platform.
BOOST_AUTO_TEST_CASE(an_answer_of_the_platform_without_end_is_not_kept) {
  for (const Endless& row : EndlessAnswers()) {
    World world;
    PlatformClientOptions options;
    options.address = kAddress;
    options.watch_wait = base::Millis(300);
    PlatformClient client(options);
    size_t grown = world.Play(client, row);
    BOOST_TEST(grown < kMaxGrowthBytes, row.what << ": " << grown);
  }
}

}  // namespace almondwind::node
