// This node's share of the retry budget that all nodes have in common.
//
// The budget of a service allows, in any window, a number of retries equal to a
// fraction of its requests plus a fixed slack. Nodes do not exchange counts:
// each node may spend that fraction of the requests it sends itself and an
// equal share of the slack, so the total stays within the budget whatever the
// other nodes do. If a node knows of too few nodes, its share of the slack is
// too large; the safety factor covers a node count that is wrong by a half.
//
// Retrying a request whose run makes calls repeats those calls too. A retry is
// therefore charged to all services that it reaches, or not taken at all:
//
//   budget.OnRequest("pricing", now);
//   if (budget.Take({{"catalogue", 1}, {"pricing", 8}}, now)) Retry();
//
// Bound: kMaxServices services; requests to further services are not retried.
// Cost: linear in the services charged. Not thread-safe.
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
  double ratio = 0.2;  // retries per request in a window
  base::Millis window{10'000};
  double slack = 50;           // retries per window, over all nodes
  double safety_factor = 0.8;  // fraction of its share that a node spends
};

class RetryBudget {
 public:
  using Costs = std::vector<std::pair<std::string, double>>;

  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  void Configure(const RetryBudgetOptions& options) { options_ = options; }
  // Sets the number of nodes that share the slack, including this one.
  void SetNodes(size_t nodes) { nodes_ = nodes; }
  void OnRequest(const std::string& service, base::Millis now);
  // Charges a retry that causes the given number of requests at each service.
  // Returns false, and charges nothing, if any of the services lacks budget.
  bool Take(const Costs& costs, base::Millis now);
  // Returns the number of retries left for `service` in the current window.
  double remaining(const std::string& service, base::Millis now);

 private:
  static constexpr size_t kBuckets = 10;  // per window
  static constexpr size_t kMaxServices = 4096;

  // Sum over the last window, which slides in steps of a tenth of a window.
  struct SlidingSum {
    std::array<double, kBuckets> buckets{};
    int64_t newest_bucket = 0;

    void Advance(int64_t bucket);
    void Add(int64_t bucket, double value);
    double Total(int64_t bucket);
  };
  struct Account {
    SlidingSum requests;
    SlidingSum retries;
  };

  int64_t BucketAt(base::Millis now) const;
  double Remaining(Account& account, int64_t bucket) const;

  RetryBudgetOptions options_;
  size_t nodes_ = 1;
  std::map<std::string, Account> accounts_;
};

}  // namespace almondwind::routes

#endif  // ALMONDWIND_ROUTES_RETRY_BUDGET_H_
