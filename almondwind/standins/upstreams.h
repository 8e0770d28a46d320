// Stand-ins for the users' services: all upstreams of a graph in one process.
//
// Work is time in a slot, not processor time. Each upstream has slots, an
// internal queue, a connection limit, cold start, drain and cancellation. It
// passes the caller's timeout on to its inner calls, and makes them through its
// local node or, if `direct`, as deployments without almondwind do: straight to
// a random upstream, with three attempts.
//
// The admin address injects faults and reports what ran:
//   /set?service=S&host=H&slow=F&dead=0|1&drain=0|1&cold_ms=N&close=N&lag=0|1
//     slow: factor on the work time; dead: close connections without a
//     response; cold_ms: length of a cold start that begins now; close: number
//     of requests to run and then close without a response; lag: report healthy
//     regardless
//   /orders   number of runs of each order
//   /work     milliseconds of work of each request id
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
