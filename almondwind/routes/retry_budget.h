// This node's share of the retry budget that all nodes have together.
//
// The budget of a service allows, in any window, repeats up to a fraction of
// its requests plus a fixed slack. Nodes do not count together: each spends a
// fraction of what it sends itself, and its part of the slack, so that the sum
// stays within the budget whatever the others do. When a node's view of the
// number of nodes is too small the sum could exceed the slack; the safety
// share covers a view that is wrong by a half.
//
// A repeat of a run that makes calls of its own repeats those too, so a repeat
// is taken from every service at once, or not at all:
//
//   budget.OnRequest("pricing", now);
//   if (budget.Take({{"catalogue", 1}, {"pricing", 8}}, now)) SendAgain();
//
// Bound: kMaxServices services, beyond which nothing is repeated.
// Cost: linear in the services taken from. Not thread-safe.
#ifndef ALMONDWIND_ROUTES_RETRY_BUDGET_H_
#define ALMONDWIND_ROUTES_RETRY_BUDGET_H_

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "almondwind/base/clock.h"

namespace almondwind::routes {

struct RetryBudgetOptions {
  double ratio = 0.2;  // of the requests in a window
  base::Millis window{10'000};
  double slack = 50;           // requests a window, of all nodes together
  double safety_factor = 0.8;  // share of its part that a node spends
};

class RetryBudget {
 public:
  using Costs = std::vector<std::pair<std::string, double>>;

  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  void Configure(const RetryBudgetOptions& options) { options_ = options; }
  // Nodes that share the slack, this one included.
  void SetNodes(size_t nodes) { nodes_ = nodes; }
  void OnRequest(const std::string& service, base::Millis now);
  // Takes a repeat that costs so many requests at each service.
  bool Take(const Costs& costs, base::Millis now);
  // Repeats that may still be taken of `service` in this window.
  double remaining(const std::string& service, base::Millis now);

 private:
  static constexpr size_t kBuckets = 10;  // of a window
  static constexpr size_t kMaxServices = 4096;

  // A sliding sum over the last window, to a tenth of it.
  struct SlidingSum {
    std::array<double, kBuckets> buckets{};
    int64_t newest_bucket = 0;

    void Advance(int64_t slot);
    void Add(int64_t slot, double value);
    double Total(int64_t slot);
  };
  struct Account {
    SlidingSum requests;
    SlidingSum retries;
  };

  int64_t BucketAt(base::Millis now) const;
  double Remaining(Account& account, int64_t slot) const;

  RetryBudgetOptions options_;
  size_t nodes_ = 1;
  std::map<std::string, Account> accounts_;
};

}  // namespace almondwind::routes

#endif  // ALMONDWIND_ROUTES_RETRY_BUDGET_H_
