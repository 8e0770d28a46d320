// HTTP server for callers: reads requests and writes each answer on the
// connection of its request.
//
// CallerServerOptions bounds the size of headers and bodies, the number of
// connections and how long an idle one stays open. A malformed request is
// answered with a JSON body that names the remedy; other connections are not
// affected.
//
// While a request is in progress its connection is watched, and the request is
// cancelled, downstream too, if the caller disconnects. A caller that
// half-closes its side counts as disconnected. A connection with a request in
// progress is closed only after the answer.
//
// Threads: each connection has its own strand. mutex_ guards the tables of
// callers and sessions and is last in the lock order.
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
  // From now on, closes each connection after its next answer.
  void CloseAfterAnswers() { closing_ = true; }
  // Takes the connections that the kernel has already accepted, then closes the
  // listening socket. Once stopped_accepting() returns true, connection_count()
  // includes all of them.
  void StopAccepting();
  bool stopped_accepting() const { return stopped_accepting_; }
  // Closes the connections on which no request is in progress. A request that
  // has already reached this host is answered first.
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
  // Runs on its own strand, because several threads run the io_context.
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopped_accepting_{false};
  std::atomic<bool> closing_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  uint64_t next_caller_ = 1;
  std::unordered_map<uint64_t, std::shared_ptr<CallerSession>> callers_;
  // May contain ended sessions; TrackSession removes them.
  std::vector<std::weak_ptr<CallerSession>> sessions_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_CALLER_SERVER_H_
