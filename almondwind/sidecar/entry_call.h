// State of one request in the dispatcher. A request is sent to one upstream at
// a time; each time is an attempt with an id of its own.
#ifndef ALMONDWIND_SIDECAR_ENTRY_CALL_H_
#define ALMONDWIND_SIDECAR_ENTRY_CALL_H_

#include <cstdint>
#include <set>
#include <string>

#include "almondwind/sidecar/dispatcher.h"

namespace almondwind::sidecar {

struct Dispatcher::EntryCall {
  EntryCall(uint64_t number, loop::Timers& timers)
      : id(number), deadline_timer(timers) {}

  uint64_t id;
  http::Request request;
  CallerMetadata metadata;
  CallerEvents* events = nullptr;
  routes::RouteTablePtr table;  // keeps `route` alive
  const routes::Route* route = nullptr;
  std::string service;
  base::RequestClass cls = base::RequestClass::kNormal;
  bool inner = false;
  base::Millis arrived{0};
  base::Millis deadline{0};
  loop::Timer deadline_timer;
  std::set<std::string> tried;  // ids of upstreams
  int arrivals = 0;             // number of upstreams reached
  int refusals = 0;             // number of refusals by gates
  int ended_upstreams = 0;      // number of upstreams that ended under it

  bool streaming = false;  // counted in Dispatcher::streams_
  // Part of the request's body has been passed on and is no longer held, so the
  // request cannot be sent again.
  bool body_sent = false;
  // The head of a streamed response has been given to the caller.
  bool response_started = false;

  // Id of the attempt in flight; 0 if there is none.
  uint64_t attempt = 0;
  uint64_t attempt_link = 0;  // serial of its link; 0: the local gate
  zones::MachinePtr machine;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_ENTRY_CALL_H_
