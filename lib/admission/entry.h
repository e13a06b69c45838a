/// \file
/// A queued or running request of the tiered policy.

#ifndef TEASELHILL_LIB_ADMISSION_ENTRY_H_
#define TEASELHILL_LIB_ADMISSION_ENTRY_H_

#include "fair_queue.h"
#include "teaselhill/admission/admission_policy.h"

namespace teaselhill::admission {

struct ModelQueue;

/// A request in `TieredPolicy::entries_`; the indexes point to it.
struct Entry {
  QueuedRequest request;
  uint64_t sequence = 0;
  ModelQueue* model = nullptr;
  FairNode* team = nullptr;
  double work = 0;        ///< predicted work in tokens
  double charged = 0;     ///< work charged to the team so far, in tokens
  uint64_t produced = 0;  ///< output tokens
  TimePoint latest_start = kNoDeadline;
  TimePoint started{};
  size_t bytes = 0;  ///< estimated memory of the entry
  bool running = false;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_ENTRY_H_
