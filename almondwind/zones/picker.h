// Load balancing: chooses the machine that a call is sent to.
//
// A Picker returns one of the machines that may take the call. The team's
// policy names the algorithm:
//   random       uniformly at random, as callers do without almondwind
//   two_choices  the better of two machines picked at random (Mitzenmacher,
//                2001)
//   least_wait   the smallest expected latency, including a penalty for another
//                zone or region (compare Prequal, NSDI 2024)
//   free_slots   at random, weighted by free slots and quality, with a
//                preference for the node's own zone; if no machine has a free
//                slot, by least_wait. Spreads the calls of many nodes, whose
//                load reports differ in age, over machines of unequal speed.
//                With least_wait, all nodes would send to the fastest machine
//                until its queue outweighs its speed.
// Cost: linear in the number of candidates, which is at most the subset size.
#ifndef ALMONDWIND_ZONES_PICKER_H_
#define ALMONDWIND_ZONES_PICKER_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"
#include "almondwind/zones/machine.h"

namespace almondwind::zones {

using Random = std::mt19937_64;

struct PickContext {
  base::RequestClass cls = base::RequestClass::kNormal;
  base::Millis now{0};
  std::string zone;  // of this node
  std::string region;
  base::Millis zone_penalty{1};     // added to latency for another zone
  base::Millis region_penalty{30};  // added to latency for another region
  // Weight of a free slot in the node's own zone relative to one in another
  // zone (free_slots only).
  double zone_preference = 1;
};

class Picker {
 public:
  virtual ~Picker() = default;
  // Returns one of `candidates`, which must not be empty.
  virtual Machine* Pick(const std::vector<Machine*>& candidates,
                        const PickContext& context, Random& random) const = 0;
};

// Returns the picker called `name`. The policy check rejects other names.
std::unique_ptr<Picker> MakePicker(const std::string& name);

// Returns the expected latency in milliseconds of a call to `machine`,
// including the penalty for another zone or region. Lower is better.
double Score(const Machine& machine, const PickContext& context);

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_PICKER_H_
