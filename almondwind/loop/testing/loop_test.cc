// An exception in one callback must not stop the others of the loop: the
// process logs it and runs the loop again.

#define BOOST_TEST_MODULE loop
#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <vector>

#include "almondwind/loop/acceptor.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/loop/stream.h"
#include "almondwind/loop/timers.h"

namespace almondwind::loop {
namespace {

using base::Millis;

constexpr const char* kAddress = "127.0.0.1:23990";

// Counts what arrives, and throws at the bytes "bad".
struct Peer : StreamEvents {
  void OnData(std::string_view data) override {
    if (data == "bad") throw std::runtime_error("bad");
    received += data.size();
  }
  void OnEnd(StreamEnd) override { ended = true; }
  StreamPtr stream;
  size_t received = 0;
  bool ended = false;
};

// Runs the loop as the process does, for `span`. Returns the exceptions.
int RunFor(boost::asio::io_context& io, const base::Clock& clock, Millis span) {
  int exceptions = 0;
  for (Millis end = clock.Now() + span; clock.Now() < end;) {
    try {
      io.run_one_for(std::chrono::milliseconds(5));
    } catch (const std::runtime_error&) {
      ++exceptions;
    }
    io.restart();
  }
  return exceptions;
}

}  // namespace

BOOST_AUTO_TEST_CASE(other_timers_fire_after_one_that_throws) {
  boost::asio::io_context io;
  base::SteadyClock clock;
  Timers timers(io, clock);
  Timer bad(timers);
  Timer due(timers);
  Timer later(timers);
  int fired = 0;
  bad.Start(Millis(5), [] { throw std::runtime_error("bad"); });
  due.Start(Millis(6), [&fired] { ++fired; });
  later.Start(Millis(60), [&fired] { ++fired; });
  BOOST_TEST(RunFor(io, clock, Millis(200)) == 1);
  BOOST_TEST(fired == 2);
}

BOOST_AUTO_TEST_CASE(only_the_connection_that_throws_is_closed) {
  boost::asio::io_context io;
  base::SteadyClock clock;
  Timers timers(io, clock);
  std::vector<std::unique_ptr<Peer>> accepted;
  Acceptor acceptor(io, timers, kAddress, [&](auto socket) {
    accepted.push_back(std::make_unique<Peer>());
    accepted.back()->stream =
        Stream::Adopt(timers, std::move(socket), {}, *accepted.back());
    if (accepted.size() == 1) throw std::runtime_error("handler");
  });
  Peer good;
  Peer bad;
  good.stream = Stream::Dial(io, timers, ParseEndpoint(kAddress), {}, good);
  BOOST_TEST(RunFor(io, clock, Millis(50)) == 1);
  bad.stream = Stream::Dial(io, timers, ParseEndpoint(kAddress), {}, bad);
  RunFor(io, clock, Millis(50));
  BOOST_REQUIRE(accepted.size() == 2U);
  bad.stream->Write("bad");
  BOOST_TEST(RunFor(io, clock, Millis(50)) == 1);
  BOOST_TEST(accepted[1]->ended);
  BOOST_TEST(bad.ended);
  good.stream->Write("good");
  RunFor(io, clock, Millis(50));
  BOOST_TEST(accepted[0]->received == 4U);
  BOOST_TEST(!accepted[0]->ended);
  for (auto& peer : accepted) peer->stream->Close();
  good.stream->Close();
  bad.stream->Close();
}

}  // namespace almondwind::loop
