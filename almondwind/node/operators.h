// The operators' endpoint over HTTP, by cpprestsdk and prometheus-cpp:
//   /health   200 while the process works
//   /ready    200 when it may be given requests, else 503
//   /status   the state of the node as JSON
//   /metrics  in the Prometheus text format
// It listens on loopback unless set otherwise. No request of a caller passes
// here, and what it asks of the node is read under the node's lock.
#ifndef ALMONDWIND_NODE_OPERATORS_H_
#define ALMONDWIND_NODE_OPERATORS_H_

#include <memory>
#include <string>

namespace almondwind::node {

class Node;
class JsonLog;

class OperatorServer {
 public:
  // `address` is "ip:port".
  OperatorServer(std::string address, Node& node, const JsonLog& log);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Throws std::runtime_error if the port is taken.
  void Listen();
  void Close();

 private:
  class Listener;
  std::unique_ptr<Listener> listener_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_OPERATORS_H_
