#include "almondwind/routes/retry_budget.h"

#include <algorithm>

namespace almondwind::routes {

using base::Millis;

void RetryBudget::SlidingSum::Advance(int64_t bucket) {
  if (bucket - newest_bucket >= static_cast<int64_t>(kBuckets)) buckets.fill(0);
  for (int64_t i = newest_bucket + 1;
       i <= bucket && i - newest_bucket <= int64_t{kBuckets}; ++i) {
    buckets.at(static_cast<size_t>(i) % kBuckets) = 0;
  }
  newest_bucket = std::max(newest_bucket, bucket);
}

void RetryBudget::SlidingSum::Add(int64_t bucket, double value) {
  Advance(bucket);
  buckets.at(static_cast<size_t>(bucket) % kBuckets) += value;
}

double RetryBudget::SlidingSum::Total(int64_t bucket) {
  Advance(bucket);
  double total = 0;
  for (double value : buckets) total += value;
  return total;
}

int64_t RetryBudget::BucketAt(Millis now) const {
  int64_t bucket_ms =
      std::max<int64_t>(1, options_.window.count() / int64_t{kBuckets});
  return now.count() / bucket_ms;
}

double RetryBudget::Remaining(Account& account, int64_t bucket) const {
  double slack_share =
      options_.slack / static_cast<double>(std::max<size_t>(1, nodes_));
  double allowed =
      options_.safety_factor *
      (options_.ratio * account.requests.Total(bucket) + slack_share);
  return allowed - account.retries.Total(bucket);
}

void RetryBudget::OnRequest(const std::string& service, Millis now) {
  if (accounts_.size() >= kMaxServices && accounts_.count(service) == 0) return;
  accounts_[service].requests.Add(BucketAt(now), 1);
}

bool RetryBudget::Take(const Costs& costs, Millis now) {
  int64_t bucket = BucketAt(now);
  for (const auto& [service, count] : costs) {
    if (accounts_.size() >= kMaxServices && accounts_.count(service) == 0) {
      return false;
    }
    if (Remaining(accounts_[service], bucket) < count) return false;
  }
  for (const auto& [service, count] : costs) {
    accounts_[service].retries.Add(bucket, count);
  }
  return true;
}

double RetryBudget::remaining(const std::string& service, Millis now) {
  auto it = accounts_.find(service);
  return it == accounts_.end() ? 0 : Remaining(it->second, BucketAt(now));
}

}  // namespace almondwind::routes
