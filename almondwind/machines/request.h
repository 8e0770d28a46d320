// One request as the decision core sees it, and one run of it at a gate.
#ifndef ALMONDWIND_MACHINES_REQUEST_H_
#define ALMONDWIND_MACHINES_REQUEST_H_

#include <algorithm>
#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"

namespace almondwind::machines {

// Immutable once it has been handed to a router or gate.
struct Request : public boost::intrusive_ref_counter<Request> {
  std::string id;       // request id of the whole user request
  std::string service;  // "team/name"
  std::string route;    // name of the route in the team's policy
  base::RequestClass cls = base::RequestClass::kNormal;
  bool order = false;       // not idempotent: at most once
  bool idempotent = false;  // may be repeated after an unknown outcome
  std::string key;          // contract of an order
  base::Millis deadline{0};
  // Longest wait in a gate's queue; zero: the one of its class.
  base::Millis max_wait{0};
  std::string method;
  std::string target;  // path below the service
  std::string content_type;
  std::string body;
};
using RequestPtr = boost::intrusive_ptr<Request>;

// Who is to be told of a run's end: a call of this node's own router
// (session 0) or a call that came over a link.
struct Origin {
  uint64_t session = 0;
  uint64_t id = 0;
};

using PerClassMillis = std::array<uint32_t, base::kClassCount>;

// Raises each entry of `into` to the one of `from`.
inline void MergeMax(PerClassMillis& into, const PerClassMillis& from) {
  for (size_t i = 0; i < into.size(); ++i) {
    into[i] = std::max(into[i], from[i]);
  }
}

enum class RunState : uint8_t { kNew, kQueued, kRunning, kDone };

// One request at a gate, from its arrival to its answer.
struct Run : public boost::intrusive_ref_counter<Run>,
             public boost::intrusive::list_base_hook<> {
  uint64_t id = 0;
  Origin origin;
  RequestPtr request;
  RunState state = RunState::kNew;
  base::Millis enqueued{0};
  base::Millis started{0};
  // Retry permits that came with the call and are not yet spent or lent.
  uint32_t permits = 0;
  uint32_t inner_calls = 0;  // calls made for this run
  // Whether every sub-call made for this run proved that it was not run.
  bool inner_calls_not_run = true;
  bool cancelled = false;
  // Largest retry_after of the services that this run called.
  PerClassMillis below_ms{};
};
using RunPtr = boost::intrusive_ptr<Run>;

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_REQUEST_H_
