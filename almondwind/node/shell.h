// Interfaces through which a node performs I/O.
//
// The node's classes make decisions and call these interfaces. The product
// implements them with sockets, threads and files, the tests with in-memory
// queues. No function may block, or call back into the node before it returns.
#ifndef ALMONDWIND_NODE_SHELL_H_
#define ALMONDWIND_NODE_SHELL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/links/message.h"
#include "almondwind/machines/request.h"
#include "almondwind/zones/machine.h"

namespace almondwind::node {

enum class LinkState : uint8_t { kDown, kDialing, kUp };

class Links {
 public:
  virtual ~Links() = default;
  // Dials `host` unless a link to it is up or being dialed.
  virtual LinkState Prepare(const zones::HostEntry& host) = 0;
  // Sends over the link to `host`. Returns false if nothing was sent; the
  // message is then never sent later.
  virtual bool Send(const std::string& host, const links::Message& message) = 0;
  // Sends to the node that dialed `session`.
  virtual void Reply(uint64_t session, const links::Message& message) = 0;
};

class Upstream {
 public:
  virtual ~Upstream() = default;
  // Sends the request of `run` exactly once and reports its result through
  // Node::OnUpstreamEnd. The upstream copies `request_id` into its own calls.
  virtual void Start(uint64_t run, const machines::Request& request,
                     const std::string& request_id, base::Millis timeout) = 0;
  // Closes the connection of `run`, whose result is no longer needed.
  // OnUpstreamEnd is not called for it.
  virtual void Cancel(uint64_t run) = 0;
};

struct UpstreamResult {
  base::EndKind kind = base::EndKind::kClosed;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  // Whether the upstream reported that it did not run the request.
  bool reports_not_run = false;
};

// The reply to a caller.
struct Reply {
  base::Outcome outcome = base::Outcome::kUnknown;
  base::Reason reason = base::Reason::kNone;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  std::string contract;
  std::string request_id;
  base::Millis retry_after{0};
};

class Callers {
 public:
  virtual ~Callers() = default;
  virtual void Answer(uint64_t caller, Reply reply) = 0;
};

// A machine that was not eligible in a routing decision, and the reason.
struct PassedOver {
  std::string host;
  std::string_view why;
};

// One routing or placement decision, for the log.
struct Decision {
  std::string_view what;  // "route", "refuse", "admit", ...
  const machines::Request* request = nullptr;
  std::string host;
  base::Reason reason = base::Reason::kNone;
  uint32_t permits = 0;
  std::vector<PassedOver> passed_over;
};

class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  // Whether Write has an effect; if not, the node skips preparing a Decision.
  virtual bool enabled() const = 0;
  virtual void Write(const Decision& decision) = 0;
  // Logs an event that belongs to no request, such as a refused configuration.
  virtual void Event(std::string_view what, const std::string& detail) = 0;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_SHELL_H_
