/// \file
/// Bounds of the queue, and the requests that are shed to keep them.

#include "tiered_policy.h"

namespace teaselhill::admission {

bool TieredPolicy::ExceedsMemoryBound(size_t added_bytes) const {
  return queued_count_ + 1 > options_.max_queued_requests ||
         queued_bytes_ + added_bytes > options_.max_queued_bytes;
}

bool TieredPolicy::ExceedsUnmeasuredWorkBound(const QueueEntry& entry,
                                              TimePoint now) const {
  return queued_count_ > 0 &&
         entry.model_queue->service_rate.TokensPerSecond(now) == 0 &&
         queued_work_tokens_ + entry.predicted_work_tokens >
             options_.max_unmeasured_work_tokens;
}

QueueEntry* TieredPolicy::FindRequestToShed(const QueueEntry& entry) {
  const auto least_urgent = backlog_by_tier_.rbegin();
  if (least_urgent == backlog_by_tier_.rend() ||
      least_urgent->first < entry.request.tier)
    return nullptr;
  const bool same_tier = least_urgent->first == entry.request.tier;
  CustomerBacklog* largest_backlog = nullptr;
  double max_work_per_weight = 0;
  if (same_tier) {
    const auto own_backlog = least_urgent->second.find(entry.request.customer);
    const double own_work = own_backlog == least_urgent->second.end()
                                ? 0
                                : own_backlog->second.queued_work_tokens;
    max_work_per_weight = (own_work + entry.predicted_work_tokens) /
                          entry.request.customer_weight;
  }
  for (auto& [customer, backlog] : least_urgent->second) {
    if (same_tier && customer == entry.request.customer)
      continue;
    if (backlog.queued_work_tokens / backlog.weight > max_work_per_weight) {
      max_work_per_weight = backlog.queued_work_tokens / backlog.weight;
      largest_backlog = &backlog;
    }
  }
  return largest_backlog == nullptr ? nullptr
                                    : largest_backlog->entries.rbegin()->second;
}

bool TieredPolicy::MakeRoom(const QueueEntry& entry,
                            DecisionReason reason,
                            TimePoint now,
                            std::vector<RemovedRequest>* shed) {
  if (entry.memory_bytes > options_.max_queued_bytes)
    return false;
  while (ExceedsMemoryBound(entry.memory_bytes) ||
         ExceedsUnmeasuredWorkBound(entry, now)) {
    QueueEntry* request_to_shed = FindRequestToShed(entry);
    if (request_to_shed == nullptr)
      return false;
    shed->push_back(
        RemoveFromQueue(request_to_shed, ResultCode::kQueueFull, reason, now));
  }
  return true;
}

}  // namespace teaselhill::admission
