// HTTP towards callers: reads requests, answers each on its own connection.
//
// Options bound the header, the body, the number of connections and the time
// that an idle one stays open. A request that cannot be understood gets a
// JSON body that names the remedy, and disturbs no other connection.
//
// While a request is in progress the connection is watched, so that a caller
// who goes away cancels it down the chain; a caller that half-closes its side
// counts as gone. Connections are closed after an answer, never before it.
//
// Threads: each connection has a strand; mutex_ guards the table of callers
// and is a leaf of the lock order.
#ifndef ALMONDWIND_NODE_CALLER_SERVER_H_
#define ALMONDWIND_NODE_CALLER_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondwind/node/shell.h"

namespace almondwind::node {

class Node;
class CallerSession;

struct CallerServerOptions {
  std::string listen;  // "ip:port"
  size_t header_bytes = 16u << 10;
  size_t body_bytes = 4u << 20;
  size_t connections = 4096;
  base::Millis idle{60'000};
};

class CallerServer : public Callers {
 public:
  CallerServer(boost::asio::io_context& io, CallerServerOptions options);
  ~CallerServer() override;

  void SetNode(Node& node) { node_ = &node; }
  // Throws std::system_error if the port is taken.
  void Listen();
  // Each answer from now on closes its connection.
  void CloseAfterAnswers() { closing_ = true; }
  // Takes the connections that the kernel has accepted already, and no further
  // one. They are all counted once stopped_accepting is true.
  void StopAccepting();
  bool stopped_accepting() const { return stopped_accepting_; }
  // Closes the connections on which no request is under way. A request that
  // has reached this host is answered first.
  void CloseIdle();

  void Answer(uint64_t caller, Reply reply) override;

  int connection_count() const { return connections_; }

 private:
  friend class CallerSession;

  void Accept();
  void StartSession(boost::asio::ip::tcp::socket socket);
  void EndAccepting();
  void TrackSession(const std::shared_ptr<CallerSession>& session);
  uint64_t RegisterCaller(const std::shared_ptr<CallerSession>& session);
  void UnregisterCaller(uint64_t caller);

  boost::asio::io_context& io_;
  const CallerServerOptions options_;
  Node* node_ = nullptr;
  // On a strand of its own: the workers share the loop.
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopped_accepting_{false};
  std::atomic<bool> closing_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  uint64_t next_caller_ = 1;
  std::unordered_map<uint64_t, std::shared_ptr<CallerSession>> callers_;
  std::vector<std::weak_ptr<CallerSession>> sessions_;  // pruned at times
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_CALLER_SERVER_H_
