// Choice of a route's part by weight.
//
// Smooth weighted round robin: over any stretch of requests each part gets its
// share to within one request, whatever becomes of them; a part that is short
// of room keeps its share. Two nodes start at different places of the round.
//
// Cost: linear in the parts. Bound: kMaxRoutes routes with a split; beyond it
// the states are forgotten and begin anew. Not thread-safe.
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

  // Returns the part of `route` that its next request goes to.
  const Destination& Choose(const Route& route);

 private:
  static constexpr size_t kMaxRoutes = 4096;

  std::mt19937_64 random_;
  // What each part is ahead or behind of its share, by route.
  std::map<std::string, std::map<std::string, double>> credit_;
};

}  // namespace almondwind::routes

#endif  // ALMONDWIND_ROUTES_SPLIT_H_
