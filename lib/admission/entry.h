/// \file
/// A request that waits or runs under the tiered policy.

#ifndef TEASELHILL_LIB_ADMISSION_ENTRY_H_
#define TEASELHILL_LIB_ADMISSION_ENTRY_H_

#include "fair_queue.h"
#include "teaselhill/admission/admission_policy.h"

namespace teaselhill::admission {

struct ModelQueue;

struct Entry {
  QueuedRequest request;
  uint64_t sequence = 0;
  ModelQueue* model = nullptr;
  FairNode* team = nullptr;
  double work = 0;     ///< predicted, in tokens
  double charged = 0;  ///< work charged so far while running
  uint64_t produced = 0;
  TimePoint latest_start = kNoDeadline;
  TimePoint started{};
  size_t bytes = 0;
  bool running = false;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_ENTRY_H_
