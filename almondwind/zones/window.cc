#include "almondwind/zones/window.h"

#include <algorithm>
#include <array>

namespace almondwind::zones {
namespace {

// Share of the window that each class may fill.
constexpr std::array<double, base::kClassCount> kShare = {0, 1.0, 0.9, 0.6};

}  // namespace

bool Window::Enter(base::RequestClass cls) {
  double share = kShare.at(base::Index(cls));
  bool bound = cls != base::RequestClass::kCritical;
  // One request may always be tried, or a closed window would never open.
  if (bound && in_progress_ > 0 && in_progress_ + 1 > size_ * share) {
    return false;
  }
  ++in_progress_;
  return true;
}

void Window::Leave(bool refused_below, bool queued_below, base::Millis now) {
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
  if (!full) return;
  size_ += queued_below ? 1.0 / size_ : 1.0;
  size_ = std::min(size_, options_.max);
}

}  // namespace almondwind::zones
