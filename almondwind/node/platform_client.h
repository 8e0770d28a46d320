// Client that reads and watches the platform's configuration service, with
// cpprestsdk.
//
//   GET /v1/watch?since=REVISION&wait_ms=N
//   -> {"revision": R, "values": [{"path": p, "version": v, "text": t}, ...]}
//
// The service answers immediately if something changed after revision `since`,
// else after `wait_ms`. The client reads only while the relay asks for it.
// After any failure, such as a 429, it waits with exponential backoff and
// jitter. Runs on its own thread, so that a slow platform delays nothing else.
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
  base::Millis poll_interval{250};  // of ShouldReadPlatform
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
  // Returns whether the platform answered with valid values.
  bool Read(Node& node);
  // Returns false if Close was called in the meantime.
  bool Sleep(base::Millis span);

  const PlatformClientOptions options_;
  uint64_t revision_ = 0;
  std::mutex mutex_;  // guards closed_; last in the lock order
  std::condition_variable wake_;
  bool closed_ = false;
  std::thread reader_;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_PLATFORM_CLIENT_H_
