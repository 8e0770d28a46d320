// Sends runs to the one upstream of this host with links::HttpClient, which
// sends each request exactly once.
//
// Threads: mutex_ guards the table of runs and is last in the lock order.
#ifndef ALMONDWIND_NODE_UPSTREAM_CLIENT_H_
#define ALMONDWIND_NODE_UPSTREAM_CLIENT_H_

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "almondwind/links/http_client.h"
#include "almondwind/node/shell.h"

namespace almondwind::node {

class Node;

struct UpstreamClientOptions {
  std::string address;  // "ip:port"
  links::HttpClientOptions http;
};

class UpstreamClient : public Upstream {
 public:
  UpstreamClient(boost::asio::io_context& io, UpstreamClientOptions options);

  void SetNode(Node& node) { node_ = &node; }

  void Start(uint64_t run, const machines::Request& request,
             const std::string& request_id, base::Millis timeout) override;
  void Cancel(uint64_t run) override;

 private:
  void End(uint64_t run, links::HttpResult end);

  const UpstreamClientOptions options_;
  const links::HttpClient::Endpoint endpoint_;
  links::HttpClient http_;
  Node* node_ = nullptr;
  std::mutex mutex_;
  std::unordered_map<uint64_t, std::shared_ptr<links::HttpExchange>> running_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_UPSTREAM_CLIENT_H_
