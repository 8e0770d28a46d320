// Stand-ins for the users' back ends: all upstreams of a graph in one process.
//
// Work is time in a slot, not processor time. Each upstream has slots, a queue
// inside, connections, cold start, drain, cancellation and deadlines; it calls
// down the chain through the node beside it, or, as the users do today,
// straight to an upstream picked at random with three tries (direct).
//
// The admin address plays faults and tells what happened:
//   /set?service=S&host=H&slow=F&dead=0|1&drain=0|1&cold_ms=N&close=N&lag=0|1
//   /orders   runs of each order     /work   busy time of each request id
#ifndef ALMONDWIND_STANDINS_UPSTREAMS_H_
#define ALMONDWIND_STANDINS_UPSTREAMS_H_

#include <boost/asio/io_context.hpp>

#include "almondwind/standins/graph.h"

namespace almondwind::standins {

// Serves until the io_context stops.
void ServeUpstreams(boost::asio::io_context& io, const Graph& graph,
                    bool direct);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_UPSTREAMS_H_
