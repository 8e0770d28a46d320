// Splits the requests of a route over its destinations by weight.
//
// Smooth weighted round robin: over any sequence of requests, each destination
// receives its share to within one request. The result of a request does not
// matter, so a destination that lacks capacity keeps its share. Nodes start at
// random positions of the cycle, so that their choices are not synchronized.
//
// Cost: linear in the destinations of the route. Bound: state for kMaxRoutes
// routes with more than one destination; beyond it, all state is discarded and
// every route starts again. Not thread-safe.
#ifndef ALMONDWIND_ROUTES_SPLIT_H_
#define ALMONDWIND_ROUTES_SPLIT_H_

#include <map>
#include <random>
#include <string>

#include "almondwind/routes/table.h"

namespace almondwind::routes {

class Splitter {
 public:
  explicit Splitter(uint64_t seed) : random_(seed) {}

  // Returns the destination of the next request of `route`. The reference
  // points into `route`.
  const Destination& Choose(const Route& route);

 private:
  static constexpr size_t kMaxRoutes = 4096;

  std::mt19937_64 random_;
  // Weight that each service has accumulated and not yet used, by route. The
  // service with the largest credit is chosen next.
  std::map<std::string, std::map<std::string, double>> credit_;
};

}  // namespace almondwind::routes

#endif  // ALMONDWIND_ROUTES_SPLIT_H_
