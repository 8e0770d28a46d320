// Polls the upstream's health endpoint for draining, off the request path.
//
// Health endpoints lag behind and can be wrong, so only the presence or absence
// of the word "draining" is used; a report of being healthy or unhealthy is
// ignored. Runs on its own thread and makes one request per interval, bounded
// as links::Fetch is.
#ifndef ALMONDWIND_NODE_HEALTH_POLL_H_
#define ALMONDWIND_NODE_HEALTH_POLL_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "almondwind/base/clock.h"

namespace almondwind::node {

class Node;

struct HealthPollOptions {
  std::string address;  // "ip:port"
  std::string path;     // empty: not polled
  base::Millis interval{500};
};

class HealthPoll {
 public:
  explicit HealthPoll(HealthPollOptions options);
  ~HealthPoll();

  void Start(Node& node);
  void Close();

 private:
  void Loop(Node& node);
  void PollOnce(Node& node);

  const HealthPollOptions options_;
  std::mutex mutex_;  // guards closed_; last in the lock order
  std::condition_variable wake_;
  bool closed_ = false;
  std::thread thread_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_HEALTH_POLL_H_
