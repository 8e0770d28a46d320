// HTTP endpoint for operators, built on cpprestsdk and prometheus-cpp:
//   /health   200 while the process is running
//   /ready    200 if the node is ready for requests, else 503
//   /status   state of the node as JSON
//   /metrics  metrics in the Prometheus text format
// It listens on loopback by default. Callers' requests do not pass through it;
// it reads the node's state under the node's lock.
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

  // Throws std::runtime_error if the port is in use.
  void Listen();
  void Close();

 private:
  class Listener;
  std::unique_ptr<Listener> listener_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_OPERATORS_H_
