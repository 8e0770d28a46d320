// A request, and its run at a gate. These types are independent of the network
// and of the process that uses them.
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
  std::string id;       // id of the user request, shared by its inner calls
  std::string service;  // "team/name"
  std::string route;    // name of the route in the team's policy
  base::RequestClass cls = base::RequestClass::kNormal;
  bool order = false;       // not idempotent: executed at most once
  bool idempotent = false;  // may be retried after an unknown outcome
  std::string key;          // contract of an order
  base::Millis deadline{0};
  // Maximum wait in a gate's queue. Zero: the maximum of its class.
  base::Millis max_wait{0};
  std::string method;
  std::string target;  // path below the service
  std::string content_type;
  std::string body;
};
using RequestPtr = boost::intrusive_ptr<Request>;

// The call that receives the answer of a run: a call of this node's own router
// (session 0) or one received over a link.
struct Origin {
  uint64_t session = 0;
  uint64_t id = 0;
};

// Durations in milliseconds, one per request class.
using PerClassMillis = std::array<uint32_t, base::kClassCount>;

// Sets each element of `into` to the maximum of itself and that of `from`.
inline void MergeMax(PerClassMillis& into, const PerClassMillis& from) {
  for (size_t i = 0; i < into.size(); ++i) {
    into[i] = std::max(into[i], from[i]);
  }
}

enum class RunState : uint8_t { kNew, kQueued, kRunning, kDone };

// A request at a gate, from its arrival to its answer.
struct Run : public boost::intrusive_ref_counter<Run>,
             public boost::intrusive::list_base_hook<> {
  uint64_t id = 0;
  Origin origin;
  RequestPtr request;
  RunState state = RunState::kNew;
  base::Millis enqueued{0};
  base::Millis started{0};
  // Retry permits received with the call that are neither spent nor passed on
  // to inner calls.
  uint32_t permits = 0;
  uint32_t inner_calls = 0;  // calls that the upstream made for this run
  // Whether all inner calls that have ended had the outcome not_run.
  bool inner_calls_not_run = true;
  bool cancelled = false;
  // Largest retry_after_ms and queue wait reported by the services that this
  // run has called or that they called in turn, per class.
  PerClassMillis below_ms{};
};
using RunPtr = boost::intrusive_ptr<Run>;

}  // namespace almondwind::machines

#endif  // ALMONDWIND_MACHINES_REQUEST_H_
