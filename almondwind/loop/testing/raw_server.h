// A server for tests that answers with any bytes, and ends or resets its
// connections as told.
//
//   RawServer server(io, "127.0.0.1:8301");
//   server.answer = {"HTTP/1.1 000 X\r\n\r\n", RawEnd::kClose};
//
// It answers the head of a request at once, without reading its body. Not
// thread-safe.
#ifndef ALMONDWIND_LOOP_TESTING_RAW_SERVER_H_
#define ALMONDWIND_LOOP_TESTING_RAW_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace almondwind::loop::testing {

// What happens to a connection after an answer.
enum class RawEnd : uint8_t {
  kKeep,     // the next request is read
  kClose,    // orderly close; what the client still sends is read
  kReset,    // reset after RawAnswer::delay, without reading what arrives
  kEndless,  // the answer's `endless` is repeated until the client closes
};

struct RawAnswer {
  std::string bytes;  // {id} stands for the request's X-Attempt-Id
  RawEnd end = RawEnd::kKeep;
  std::string endless = {};
  // Before a reset, in which the client reads the answer.
  std::chrono::milliseconds delay{100};
};

class RawServer {
 public:
  // Listens at `address` ("ip:port").
  RawServer(boost::asio::io_context& io, const std::string& address);
  ~RawServer();

  RawAnswer answer;
  int requests = 0;  // heads read
  int opened = 0;    // connections
  int ended = 0;

 private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  // Expires with the server; connections may outlive it.
  std::shared_ptr<RawServer*> self_;
};

}  // namespace almondwind::loop::testing

#endif  // ALMONDWIND_LOOP_TESTING_RAW_SERVER_H_
