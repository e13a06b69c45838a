/// \file
/// Hierarchical start-time fair queueing (SFQ).

#include "fair_queue.h"

#include <algorithm>
#include <cassert>

#include "queue_entry.h"

namespace teaselhill::admission {
namespace {

FairNode::OrderKey OrderKeyOf(const FairNode& node) {
  return {node.start_tag, node.creation_index};
}

const FairNode* FindChild(const FairNode* parent, const std::string& name) {
  if (parent == nullptr)
    return nullptr;
  const auto found = parent->children.find(name);
  return found == parent->children.end() ? nullptr : found->second.get();
}

}  // namespace

FairQueue::FairQueue() {
  root_.level = NodeLevel::kTier;
}

FairNode* FairQueue::GetOrCreateChild(FairNode* parent,
                                      const std::string& name,
                                      NodeLevel level) {
  std::unique_ptr<FairNode>& child = parent->children[name];
  if (!child) {
    child = std::make_unique<FairNode>();
    child->level = level;
    child->name = name;
    child->parent = parent;
    child->creation_index = next_creation_index_++;
  }
  return child.get();
}

void FairQueue::SetWeight(FairNode* node, double weight) {
  if (node->queued_count > 0)
    AddWaitingWeight(node->parent, weight - node->weight);
  node->weight = weight;
}

void FairQueue::AddWaitingWeight(FairNode* node, double weight) {
  node->waiting_weight += weight;
  if (node->waiting_children.empty())
    node->waiting_weight = 0;  // discards accumulated rounding errors
  else if (node->level == NodeLevel::kClass)
    node->weight = node->waiting_weight;
}

FairNode* FairQueue::GetOrCreateTeam(const std::string& class_name,
                                     const std::string& customer,
                                     double customer_weight,
                                     const std::string& team,
                                     double team_weight) {
  FairNode* class_node =
      GetOrCreateChild(&root_, class_name, NodeLevel::kClass);
  FairNode* customer_node =
      GetOrCreateChild(class_node, customer, NodeLevel::kCustomer);
  SetWeight(customer_node, customer_weight);
  FairNode* team_node = GetOrCreateChild(customer_node, team, NodeLevel::kTeam);
  SetWeight(team_node, team_weight);
  return team_node;
}

void FairQueue::AddQueued(FairNode* team, double work_tokens) {
  for (FairNode* node = team; node != nullptr; node = node->parent) {
    node->queued_work_tokens += work_tokens;
    if (node->queued_count++ > 0 || node->parent == nullptr)
      continue;
    // A node gets no credit for the time in which it had no queued requests.
    node->start_tag = std::max(node->start_tag, node->parent->virtual_time);
    node->parent->waiting_children.emplace(OrderKeyOf(*node), node);
    AddWaitingWeight(node->parent, node->weight);
  }
}

void FairQueue::RemoveQueued(FairNode* team, double work_tokens) {
  for (FairNode* node = team; node != nullptr; node = node->parent) {
    node->queued_work_tokens =
        node->queued_count == 1 ? 0 : node->queued_work_tokens - work_tokens;
    if (--node->queued_count > 0 || node->parent == nullptr)
      continue;
    node->parent->waiting_children.erase(OrderKeyOf(*node));
    AddWaitingWeight(node->parent, -node->weight);
  }
}

void FairQueue::Insert(FairNode* team, QueueEntry* entry) {
  const bool inserted =
      team->queued_entries.emplace(entry->sequence, entry).second;
  assert(inserted && "request queued twice");
  (void)inserted;
  AddQueued(team, entry->predicted_work_tokens);
}

void FairQueue::Erase(FairNode* team, QueueEntry* entry) {
  team->queued_entries.erase(entry->sequence);
  RemoveQueued(team, entry->predicted_work_tokens);
}

QueueEntry* FairQueue::NextEntry(const FairNode& subtree) {
  assert(subtree.queued_count > 0 && "head of an empty queue");
  const FairNode* node = &subtree;
  while (node->level != NodeLevel::kTeam)
    node = node->waiting_children.begin()->second;
  return node->queued_entries.begin()->second;
}

void FairQueue::StartEntry(FairNode* team, QueueEntry* entry) {
  for (FairNode* node = team; node->parent != nullptr; node = node->parent) {
    node->parent->virtual_time =
        std::max(node->parent->virtual_time, node->start_tag);
    ++node->running_count;
  }
  ++root_.running_count;
  ChargeTokens(team, entry->predicted_work_tokens);
  Erase(team, entry);
}

void FairQueue::FinishEntry(FairNode* team) {
  for (FairNode* node = team; node != nullptr; node = node->parent)
    --node->running_count;
}

void FairQueue::ChargeTokens(FairNode* team, double tokens) {
  for (FairNode* node = team; node->parent != nullptr; node = node->parent) {
    if (node->queued_count > 0)
      node->parent->waiting_children.erase(OrderKeyOf(*node));
    node->start_tag += tokens / node->weight;
    if (node->queued_count > 0)
      node->parent->waiting_children.emplace(OrderKeyOf(*node), node);
  }
}

double FairQueue::EstimateWorkAhead(const std::string& class_name,
                                    const std::string& customer,
                                    double customer_weight,
                                    const std::string& team,
                                    double team_weight) const {
  const FairNode* class_node = FindChild(&root_, class_name);
  const FairNode* customer_node = FindChild(class_node, customer);
  const FairNode* team_node = FindChild(customer_node, team);
  if (team_node == nullptr || team_node->queued_count == 0) {
    // A team without queued requests starts at the current virtual time, so
    // that at most one request of each waiting node precedes the new request.
    // The work of these requests is small and is left out of the estimate.
    return 0;
  }
  double work_ahead = team_node->queued_work_tokens;
  work_ahead =
      std::min(customer_node->queued_work_tokens,
               work_ahead * customer_node->waiting_weight / team_weight);
  work_ahead =
      std::min(class_node->queued_work_tokens,
               work_ahead * class_node->waiting_weight / customer_weight);
  double total_weight = 0;
  for (const auto& [key, node] : root_.waiting_children)
    total_weight += node->weight;
  return std::min(root_.queued_work_tokens,
                  work_ahead * total_weight / class_node->weight);
}

void FairQueue::RemoveIdleNodesBelow(FairNode* node) {
  const bool is_idle = node->queued_count == 0 && node->running_count == 0;
  for (auto it = node->children.begin(); it != node->children.end();) {
    FairNode* child = it->second.get();
    RemoveIdleNodesBelow(child);
    const bool child_is_idle =
        child->queued_count == 0 && child->running_count == 0;
    if (child_is_idle && (is_idle || child->start_tag <= node->virtual_time))
      it = node->children.erase(it);
    else
      ++it;
  }
}

}  // namespace teaselhill::admission
