// What the decision core asks of the world around it.
//
// The node's classes decide and call these interfaces; sockets, threads and
// files stand behind them in the product, and plain queues in tests. None of
// the functions may block, or call back into the node before it returns.
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

enum class LinkState : uint8_t { kDown, kDialling, kUp };

class Links {
 public:
  virtual ~Links() = default;
  // Dials `host` unless a link to it stands or is being made.
  virtual LinkState Prepare(const zones::HostEntry& host) = 0;
  // Sends over the link to `host`. False: nothing was sent, nor will be.
  virtual bool Send(const std::string& host, const links::Message& message) = 0;
  // Sends back to the dialler of `session`.
  virtual void Reply(uint64_t session, const links::Message& message) = 0;
};

class Upstream {
 public:
  virtual ~Upstream() = default;
  // Sends the request of `run` once; the end comes as Node::OnUpstreamEnd.
  // `request_id` is what the upstream copies into its own calls.
  virtual void Start(uint64_t run, const machines::Request& request,
                     const std::string& request_id, base::Millis timeout) = 0;
  // Nobody waits any more: closes the connection of `run`. No end follows.
  virtual void Cancel(uint64_t run) = 0;
};

struct UpstreamResult {
  base::EndKind kind = base::EndKind::kClosed;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  // The upstream says that it did nothing for the request.
  bool reports_not_run = false;
};

// What a caller is told.
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

// A machine that a decision passed over, and why.
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
  // Whether Write does anything; lets the core skip the work for it.
  virtual bool enabled() const = 0;
  virtual void Write(const Decision& decision) = 0;
  // An event outside a request, such as a refused configuration.
  virtual void Event(std::string_view what, const std::string& detail) = 0;
};

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_SHELL_H_
