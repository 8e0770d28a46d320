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
#include "almondwind/loop/testing/raw_server.h"
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
  void OnEnd(StreamEnd how) override {
    ended = true;
    end = how;
  }
  StreamPtr stream;
  size_t received = 0;
  bool ended = false;
  StreamEnd end = StreamEnd::kUnreachable;
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

// Failure: a connection that was reset while data was being written ended as if
// its peer had closed it in order, because the failed write had taken the error
// of the socket. What had been received of a body without a length then counted
// as complete.
BOOST_AUTO_TEST_CASE(a_failed_write_makes_the_end_of_a_connection_a_reset) {
  using boost::system::error_code;
  const error_code reset = boost::asio::error::connection_reset;
  const error_code timed_out = boost::asio::error::timed_out;
  const error_code eof = boost::asio::error::eof;
  struct Row {
    error_code read;
    bool write_failed;
    StreamEnd end;
  };
  const Row rows[] = {{eof, false, StreamEnd::kClosed},
                      {eof, true, StreamEnd::kReset},
                      {reset, false, StreamEnd::kReset},
                      {reset, true, StreamEnd::kReset},
                      {timed_out, false, StreamEnd::kReset}};
  for (const Row& row : rows) {
    BOOST_TEST((EndOf(row.read, row.write_failed) == row.end),
               row.read.message() << " " << row.write_failed);
  }
}

// The same on sockets, where the server resets the connection after part of an
// answer, or closes it in order, while a long request is still being written.
BOOST_AUTO_TEST_CASE(a_reset_while_writing_is_no_orderly_close) {
  const std::string request =
      "POST / HTTP/1.1\r\n\r\n" + std::string(16u << 20, 'x');
  struct Row {
    testing::RawEnd how;
    StreamEnd end;
  };
  for (const Row& row : {Row{testing::RawEnd::kReset, StreamEnd::kReset},
                         Row{testing::RawEnd::kClose, StreamEnd::kClosed}}) {
    boost::asio::io_context io;
    base::SteadyClock clock;
    Timers timers(io, clock);
    testing::RawServer server(io, kAddress);
    server.answer = {"part", row.how};
    Peer client;
    client.stream =
        Stream::Dial(io, timers, ParseEndpoint(kAddress), {}, client);
    client.stream->Write(request);
    Millis limit = clock.Now() + Millis(5000);
    while (!client.ended && clock.Now() < limit) RunFor(io, clock, Millis(20));
    BOOST_TEST(client.received == 4U);
    BOOST_TEST(client.ended);
    BOOST_TEST((client.end == row.end));
    client.stream->Close();
  }
}

}  // namespace almondwind::loop
