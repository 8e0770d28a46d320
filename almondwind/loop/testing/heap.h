// The size of the process's heap, for tests of what is held.
#ifndef ALMONDWIND_LOOP_TESTING_HEAP_H_
#define ALMONDWIND_LOOP_TESTING_HEAP_H_

#include <malloc.h>

#include <cstddef>

namespace almondwind::loop::testing {

// Returns the bytes in use, with those of large blocks.
inline size_t HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace almondwind::loop::testing

#endif  // ALMONDWIND_LOOP_TESTING_HEAP_H_
