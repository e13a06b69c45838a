/// \file
/// Gives memory that is free back to the system.

#ifndef TEASELHILL_SUPPORT_ALLOCATOR_H_
#define TEASELHILL_SUPPORT_ALLOCATOR_H_

#include <cstddef>

namespace teaselhill {

/// Fixes the sizes above which the allocator gives memory back at once. By
/// default glibc raises them to the largest block that was freed, and then
/// keeps megabytes for good. Call before threads are started.
void ConfigureAllocator();

/// Gives the free pages of all heaps back to the system. Takes milliseconds for
/// a large heap, during which other threads may wait for memory.
void ReleaseFreeMemory();

/// Decides when free memory is given back: after the bytes that messages hold
/// have fallen.
class MemoryReleaseSchedule {
 public:
  /// Returns whether to call ReleaseFreeMemory() now. Call periodically.
  bool IsDue(size_t held_bytes);

 private:
  size_t peak_bytes_ = 0;  ///< since the last release
  bool release_again_ = false;
};

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_ALLOCATOR_H_
