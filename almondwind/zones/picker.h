// Choice of the machine that a call goes to.
//
// A Picker gets the machines that may take the call and returns one of them.
// Which one is chosen by name in the team's policy:
//   random       any, as the users' callers do today
//   two_choices  the better of two picked at random (Mitzenmacher, 2001)
//   least_wait   the smallest expected time until the answer, with the way
//                to another zone added to it (compare Prequal, NSDI 2024)
//   free_slots   at random in proportion to the free slots, the own zone before
//                others; where none is free, by least_wait. Many nodes with
//                reports of different age spread over unequal machines, where
//                least_wait sends all to the fastest until its queue makes up
//                for its speed
// Cost: linear in the candidates, of which there are at most a subset's size.
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
  std::string zone;  // of the choosing node
  std::string region;
  base::Millis zone_penalty{1};     // added for another zone
  base::Millis region_penalty{30};  // added for another region
  // How much a free slot of the own zone counts beside one of another
  // (free_slots only).
  double zone_preference = 1;
};

class Picker {
 public:
  virtual ~Picker() = default;
  // `candidates` is not empty.
  virtual Machine* Pick(const std::vector<Machine*>& candidates,
                        const PickContext& context, Random& random) const = 0;
};

// Returns the picker called `name`; the policy check has refused other names.
std::unique_ptr<Picker> MakePicker(const std::string& name);

// Expected time until the answer, with the way to the machine's zone.
double Score(const Machine& machine, const PickContext& context);

}  // namespace almondwind::zones

#endif  // ALMONDWIND_ZONES_PICKER_H_
