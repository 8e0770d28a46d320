#include "almondwind/zones/window.h"

#include <algorithm>
#include <array>

namespace almondwind::zones {
namespace {

// Share of the window that each class may fill.
constexpr std::array<double, base::kClassCount> kClassShare = {0, 1.0, 0.9,
                                                               0.6};

// A wait up to this is what a service below its limit reports by chance.
constexpr base::Millis kNoQueueWait{3};

}  // namespace

bool Window::Enter(base::RequestClass cls) {
  double share = kClassShare.at(base::Index(cls));
  bool bound = cls != base::RequestClass::kCritical;
  // One request may always be tried, or a closed window would never open.
  if (bound && in_progress_ > 0 && in_progress_ + 1 > size_ * share) {
    return false;
  }
  ++in_progress_;
  return true;
}

// Change of the size by one answered request. Steps of 1/size add up to about
// one a round trip.
double Window::SizeChange(base::Millis wait) const {
  if (wait <= kNoQueueWait) return 1;
  if (options_.target == base::Millis(0)) return 1 / size_;
  double off = 1 - static_cast<double>(wait.count()) /
                       static_cast<double>(options_.target.count());
  return std::max(-1.0, off) / size_;
}

void Window::Leave(bool refused_below, base::Millis wait, base::Millis now) {
  bool full = in_progress_ >= size_ * 0.5;
  in_progress_ = std::max(0, in_progress_ - 1);
  if (refused_below) {
    if (now - last_cut_ < options_.cut_interval) return;
    last_cut_ = now;
    // A window far above what is in use says nothing; cut from the use.
    size_ = std::min(size_, 2.0 * (in_progress_ + 1));
    size_ =
        std::max(options_.min, size_ * (100 - options_.shrink_percent) / 100.0);
    return;
  }
  double step = SizeChange(wait);
  if (!full && step > 0) return;
  size_ = std::min(std::max(options_.min, size_ + step), options_.max);
}

}  // namespace almondwind::zones
