#include "almondwind/zones/window.h"

#include <algorithm>
#include <array>

namespace almondwind::zones {
namespace {

// Share of the window that each class may fill; not used for critical requests.
constexpr std::array<double, base::kClassCount> kClassShare = {0, 1.0, 0.9,
                                                               0.6};

// Waits up to this value count as no queue: they occur at random in a service
// below its limit.
constexpr base::Millis kNoQueueWait{3};

}  // namespace

bool Window::Enter(base::RequestClass cls) {
  double share = kClassShare.at(base::Index(cls));
  bool bound = cls != base::RequestClass::kCritical;
  // Always admits one request; otherwise a window below one request would never
  // see a completed request and never grow again.
  if (bound && in_progress_ > 0 && in_progress_ + 1 > size_ * share) {
    return false;
  }
  ++in_progress_;
  return true;
}

// Once a queue is reported, the change is at most 1/size, which adds up to
// about one per round trip.
double Window::SizeChange(base::Millis wait) const {
  if (wait <= kNoQueueWait) return 1;
  if (options_.target == base::Millis(0)) return 1 / size_;
  double error = 1 - static_cast<double>(wait.count()) /
                         static_cast<double>(options_.target.count());
  return std::max(-1.0, error) / size_;
}

void Window::Leave(bool refused_below, base::Millis wait, base::Millis now) {
  bool in_use = in_progress_ >= size_ * 0.5;
  in_progress_ = std::max(0, in_progress_ - 1);
  if (refused_below) {
    if (now - last_cut_ < options_.cut_interval) return;
    last_cut_ = now;
    // If the window is far larger than the number of requests in progress, it
    // does not limit anything; shrinks it relative to that number instead.
    size_ = std::min(size_, 2.0 * (in_progress_ + 1));
    size_ =
        std::max(options_.min, size_ * (100 - options_.shrink_percent) / 100.0);
    return;
  }
  double change = SizeChange(wait);
  // A window that is less than half used does not limit anything; growing it
  // would be based on no evidence.
  if (!in_use && change > 0) return;
  size_ = std::min(std::max(options_.min, size_ + change), options_.max);
}

}  // namespace almondwind::zones
