// Asks the upstream's health endpoint whether it drains, off the request path.
//
// Health endpoints lag and mislead, so only the word "draining" is heeded,
// and its end; that an upstream says it is well or ill counts for nothing.
// Runs on a thread of its own, one request an interval, over cpprestsdk.
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
  std::string path;     // empty: not asked
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
  std::mutex mutex_;  // guards closed_; a leaf of the lock order
  std::condition_variable wake_;
  bool closed_ = false;
  std::thread thread_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_HEALTH_POLL_H_
