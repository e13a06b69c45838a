/// \file
/// A queued or running request of the tiered policy.

#ifndef TEASELHILL_LIB_ADMISSION_QUEUE_ENTRY_H_
#define TEASELHILL_LIB_ADMISSION_QUEUE_ENTRY_H_

#include "fair_queue.h"
#include "teaselhill/admission/admission_policy.h"

namespace teaselhill::admission {

struct ModelQueue;

/// A request in `TieredPolicy::entries_`. The queues and indexes of the policy
/// point to it.
struct QueueEntry {
  QueuedRequest request;
  uint64_t sequence = 0;
  ModelQueue* model_queue = nullptr;
  FairNode* team_node = nullptr;
  double predicted_work_tokens = 0;
  double charged_work_tokens = 0;  ///< already charged to the team
  uint64_t produced_tokens = 0;
  TimePoint latest_start = kNoDeadline;
  TimePoint started_at{};
  size_t memory_bytes = 0;  ///< estimated memory of the entry
  bool is_running = false;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_QUEUE_ENTRY_H_
