// Reads and watches the platform's configuration service, over cpprestsdk.
//
//   GET /v1/watch?since=REVISION&wait_ms=N
//   -> {"revision": R, "values": [{"path": p, "version": v, "text": t}, ...]}
//
// The service answers at once when something changed after `since`, else
// after `wait_ms`. Only a node that the relay tells to read does so; after a
// failure or a 429 it waits, twice as long each time, with jitter. Runs on a
// thread of its own; a slow platform delays nothing else.
#ifndef ALMONDWIND_NODE_PLATFORM_CLIENT_H_
#define ALMONDWIND_NODE_PLATFORM_CLIENT_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "almondwind/base/clock.h"

namespace almondwind::node {

class Node;

struct PlatformClientOptions {
  std::string address;  // "ip:port"; empty: no platform
  base::Millis watch_wait{1000};
  base::Millis poll_interval{250};  // between two looks at whether to read
  base::Millis min_backoff{200};
  base::Millis max_backoff{20'000};
};

class PlatformClient {
 public:
  explicit PlatformClient(PlatformClientOptions options);
  ~PlatformClient();

  void Start(Node& node);
  void Close();

 private:
  void Loop(Node& node);
  // Returns whether the platform answered.
  bool Read(Node& node);
  // Returns false when closed meanwhile.
  bool Sleep(base::Millis span);

  const PlatformClientOptions options_;
  uint64_t revision_ = 0;
  std::mutex mutex_;  // guards closed_; a leaf of the lock order
  std::condition_variable wake_;
  bool closed_ = false;
  std::thread reader_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_PLATFORM_CLIENT_H_
