#include "almondwind/zones/picker.h"

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
    // Starting anywhere breaks ties at random.
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

}  // namespace

double Score(const Machine& machine, const PickContext& context) {
  double score = machine.Expected(context.cls, context.now);
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
  return std::make_unique<LeastWaitPicker>();
}

}  // namespace almondwind::zones
