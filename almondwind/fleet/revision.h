// A revision of the platform's store.
//
// The store counts its changes. When it is restored from an older copy of
// itself, it loses the changes since and gives their numbers out again, so a
// number names a change only together with the epoch that it was given out in.
// Each restoring begins a new epoch. Revisions are ordered by epoch first: what
// the store says after a restoring replaces what it said before.
#ifndef ALMONDWIND_FLEET_REVISION_H_
#define ALMONDWIND_FLEET_REVISION_H_

#include <cstdint>
#include <tuple>

namespace almondwind::fleet {

struct Revision {
  uint64_t epoch = 0;
  uint64_t number = 0;  // 0: none

  bool known() const { return number != 0; }
};

inline bool operator==(const Revision& a, const Revision& b) {
  return std::tie(a.epoch, a.number) == std::tie(b.epoch, b.number);
}
inline bool operator!=(const Revision& a, const Revision& b) {
  return !(a == b);
}
inline bool operator<(const Revision& a, const Revision& b) {
  return std::tie(a.epoch, a.number) < std::tie(b.epoch, b.number);
}
inline bool operator>(const Revision& a, const Revision& b) { return b < a; }
inline bool operator<=(const Revision& a, const Revision& b) {
  return !(b < a);
}
inline bool operator>=(const Revision& a, const Revision& b) {
  return !(a < b);
}

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_REVISION_H_
