#include "almondwind/routes/retry_budget.h"

#include <algorithm>

namespace almondwind::routes {

using base::Millis;

void RetryBudget::Sum::Advance(int64_t slot) {
  if (slot - newest >= static_cast<int64_t>(kSlots)) slots.fill(0);
  for (int64_t i = newest + 1; i <= slot && i - newest <= int64_t{kSlots};
       ++i) {
    slots.at(static_cast<size_t>(i) % kSlots) = 0;
  }
  newest = std::max(newest, slot);
}

void RetryBudget::Sum::Add(int64_t slot, double value) {
  Advance(slot);
  slots.at(static_cast<size_t>(slot) % kSlots) += value;
}

double RetryBudget::Sum::Total(int64_t slot) {
  Advance(slot);
  double total = 0;
  for (double value : slots) total += value;
  return total;
}

int64_t RetryBudget::SlotAt(Millis now) const {
  int64_t span =
      std::max<int64_t>(1, options_.window.count() / int64_t{kSlots});
  return now.count() / span;
}

double RetryBudget::Left(Account& account, int64_t slot) const {
  double share =
      options_.slack / static_cast<double>(std::max<size_t>(1, nodes_));
  double allowed =
      options_.safety * (options_.ratio * account.requests.Total(slot) + share);
  return allowed - account.repeats.Total(slot);
}

void RetryBudget::OnRequest(const std::string& service, Millis now) {
  if (accounts_.size() >= kMaxServices && accounts_.count(service) == 0) return;
  accounts_[service].requests.Add(SlotAt(now), 1);
}

bool RetryBudget::Take(const Costs& costs, Millis now) {
  int64_t slot = SlotAt(now);
  for (const auto& [service, count] : costs) {
    if (accounts_.size() >= kMaxServices && accounts_.count(service) == 0) {
      return false;
    }
    if (Left(accounts_[service], slot) < count) return false;
  }
  for (const auto& [service, count] : costs) {
    accounts_[service].repeats.Add(slot, count);
  }
  return true;
}

double RetryBudget::left(const std::string& service, Millis now) {
  auto it = accounts_.find(service);
  return it == accounts_.end() ? 0 : Left(it->second, SlotAt(now));
}

}  // namespace almondwind::routes
