/// \file
/// Choice and start of the next request.

#include <algorithm>

#include "tiered_policy.h"

namespace teaselhill::admission {

bool TieredPolicy::UrgentTierHasSlack(const ModelQueue& model,
                                      TimePoint now) const {
  const auto urgent_tier = model.tiers.find(config::kUrgentTier);
  if (urgent_tier == model.tiers.end() ||
      urgent_tier->second.by_latest_start.empty())
    return true;
  const QueueEntry& earliest =
      *urgent_tier->second.by_latest_start.begin()->second;
  const Duration wait =
      ServiceTime(urgent_tier->second.fair_queue.root().queued_work_tokens,
                  model.service_rate.TokensPerSecond(now));
  const Duration extra_service =
      FromSeconds(earliest.predicted_work_tokens * model.seconds_per_token);
  return now + wait + extra_service <= earliest.latest_start;
}

TieredPolicy::Candidate TieredPolicy::FindGuaranteedStart(
    const ModelQueue& model,
    TimePoint now) const {
  // A guaranteed start is always followed by a start in tier order, so that
  // even a very slow model spends half of its starts on its most urgent
  // requests.
  if (model.classes_by_last_start.empty() || model.last_pick_guaranteed)
    return {};
  const FairNode& longest_waiting =
      *model.classes_by_last_start.begin()->second;
  const Duration waited = now - longest_waiting.last_started_at;
  const bool due = waited >= options_.forced_start_after ||
                   (waited >= options_.guaranteed_start_after &&
                    UrgentTierHasSlack(model, now));
  if (!due)
    return {};
  return {FairQueue::NextEntry(longest_waiting),
          DecisionReason::kGuaranteedStart};
}

TieredPolicy::Candidate TieredPolicy::FindStartInTierOrder(
    const ModelQueue& model) {
  for (const auto& [tier, queue] : model.tiers) {
    if (queue.fair_queue.root().queued_count > 0)
      return {FairQueue::NextEntry(queue.fair_queue.root()),
              DecisionReason::kTierOrder};
  }
  return {};
}

std::optional<PickedRequest> TieredPolicy::PickNext(const PlacementProbe& probe,
                                                    TimePoint now) {
  CollectExpired(now);
  pick_order_.clear();
  for (auto& [name, model] : models_) {
    if (model.queued_count > 0)
      pick_order_.push_back(&model);
  }
  // Models usually do not compete for upstreams. Among models whose next
  // requests are equally urgent, the model that was picked least recently is
  // tried first.
  const auto pick_key = [](const ModelQueue* model) {
    return std::make_pair(FindStartInTierOrder(*model).entry->request.tier,
                          model->last_pick_number);
  };
  std::sort(pick_order_.begin(), pick_order_.end(),
            [&](const ModelQueue* a, const ModelQueue* b) {
              return pick_key(a) < pick_key(b);
            });
  for (ModelQueue* model : pick_order_) {
    const Candidate guaranteed = FindGuaranteedStart(*model, now);
    if (guaranteed.entry != nullptr &&
        probe.CanPlace(guaranteed.entry->request))
      return StartRequest(guaranteed, now);
    const Candidate ordered = FindStartInTierOrder(*model);
    if (ordered.entry != guaranteed.entry &&
        probe.CanPlace(ordered.entry->request))
      return StartRequest(ordered, now);
  }
  return std::nullopt;
}

PickedRequest TieredPolicy::StartRequest(const Candidate& candidate,
                                         TimePoint now) {
  QueueEntry* entry = candidate.entry;
  ModelQueue& model = *entry->model_queue;
  PickedRequest picked{
      entry->request,
      {candidate.reason, MakeDecisionDetails(model, *entry, now)}};
  FairNode* class_node = ClassNodeOf(*entry);
  const config::Tier tier = entry->request.tier;
  RemoveFromIndexes(entry);
  model.classes_by_last_start.erase(LastStartKey(*class_node, tier));
  model.tiers[tier].fair_queue.StartEntry(entry->team_node, entry);
  class_node->last_started_at = now;
  if (class_node->queued_count > 0)
    model.classes_by_last_start.emplace(LastStartKey(*class_node, tier),
                                        class_node);
  entry->is_running = true;
  entry->charged_work_tokens = entry->predicted_work_tokens;
  entry->started_at = now;
  ++model.running_count;
  model.last_pick_number = next_pick_number_++;
  model.last_pick_guaranteed =
      candidate.reason == DecisionReason::kGuaranteedStart;
  model.last_used_at = now;
  model.service_rate.OnRequestStarted(entry->predicted_work_tokens);
  model.service_rate.Update(model.queued_count > 0, now);
  return picked;
}

}  // namespace teaselhill::admission
