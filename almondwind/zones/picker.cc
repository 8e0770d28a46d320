#include "almondwind/zones/picker.h"

#include <algorithm>

namespace almondwind::zones {
namespace {

size_t PickIndex(size_t size, Random& random) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(random);
}

class RandomPicker : public Picker {
 public:
  Machine* Pick(const std::vector<Machine*>& candidates, const PickContext&,
                Random& random) const override {
    return candidates[PickIndex(candidates.size(), random)];
  }
};

class TwoChoicesPicker : public Picker {
 public:
  Machine* Pick(const std::vector<Machine*>& candidates,
                const PickContext& context, Random& random) const override {
    Machine* first = candidates[PickIndex(candidates.size(), random)];
    Machine* second = candidates[PickIndex(candidates.size(), random)];
    return Score(*first, context) <= Score(*second, context) ? first : second;
  }
};

class LeastWaitPicker : public Picker {
 public:
  Machine* Pick(const std::vector<Machine*>& candidates,
                const PickContext& context, Random& random) const override {
    // Starts at a random candidate so that ties are broken at random.
    size_t start = PickIndex(candidates.size(), random);
    Machine* best = nullptr;
    double best_score = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      Machine* machine = candidates[(start + i) % candidates.size()];
      double score = Score(*machine, context);
      if (best == nullptr || score < best_score) {
        best = machine;
        best_score = score;
      }
    }
    return best;
  }
};

class FreeSlotsPicker : public Picker {
 public:
  Machine* Pick(const std::vector<Machine*>& candidates,
                const PickContext& context, Random& random) const override {
    std::vector<double> weights;
    double total = 0;
    for (Machine* machine : candidates) {
      // A machine without a load report counts as having one free slot.
      double free =
          machine->load().limit == 0 ? 1 : machine->FreeSlots(context.now);
      double quality = machine->quality();
      double weight = std::max(0.0, free) * quality * quality;
      if (machine->entry().zone == context.zone) {
        weight *= context.zone_preference;
      }
      weights.push_back(weight);
      total += weight;
    }
    if (total <= 0) return fallback_.Pick(candidates, context, random);
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    return candidates[pick(random)];
  }

 private:
  LeastWaitPicker fallback_;
};

}  // namespace

double Score(const Machine& machine, const PickContext& context) {
  double score = machine.ExpectedLatencyMillis(context.cls, context.now);
  if (machine.entry().region != context.region) {
    return score + static_cast<double>(context.region_penalty.count());
  }
  if (machine.entry().zone != context.zone) {
    return score + static_cast<double>(context.zone_penalty.count());
  }
  return score;
}

std::unique_ptr<Picker> MakePicker(const std::string& name) {
  if (name == "random") return std::make_unique<RandomPicker>();
  if (name == "two_choices") return std::make_unique<TwoChoicesPicker>();
  if (name == "free_slots") return std::make_unique<FreeSlotsPicker>();
  return std::make_unique<LeastWaitPicker>();
}

}  // namespace almondwind::zones
