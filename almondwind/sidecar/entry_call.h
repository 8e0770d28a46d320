// A request in progress in the dispatcher; at most one leg of it is under way.
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
  bool nested = false;
  base::Millis arrived{0};
  base::Millis deadline{0};
  loop::Timer deadline_timer;
  std::set<std::string> tried;  // upstreams, by id
  int arrivals = 0;             // upstreams that the request has reached
  int refusals = 0;             // by gates

  bool streaming = false;  // counted in streams_
  // The beginning of the request's body is gone; it cannot be sent again.
  bool body_sent = false;
  // An answer in parts has begun: its head has been given to the caller.
  bool response_started = false;

  // The leg under way; 0: none.
  uint64_t attempt = 0;
  uint64_t attempt_link = 0;  // serial of its link; 0: this node's own gate
  zones::MachinePtr machine;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_ENTRY_CALL_H_
