/// \file
/// Hierarchical start-time fair queueing (SFQ).

#include "fair_queue.h"

#include <algorithm>
#include <cassert>

#include "entry.h"

namespace teaselhill::admission {
namespace {

FairNode::Key KeyOf(const FairNode& node) {
  return {node.start, node.order};
}

const FairNode* Find(const FairNode* parent, const std::string& name) {
  if (parent == nullptr)
    return nullptr;
  const auto found = parent->children.find(name);
  return found == parent->children.end() ? nullptr : found->second.get();
}

}  // namespace

FairQueue::FairQueue() {
  root_.level = NodeLevel::kTier;
}

FairNode* FairQueue::Child(FairNode* parent,
                           const std::string& name,
                           NodeLevel level) {
  std::unique_ptr<FairNode>& child = parent->children[name];
  if (!child) {
    child = std::make_unique<FairNode>();
    child->level = level;
    child->name = name;
    child->parent = parent;
    child->order = next_order_++;
  }
  return child.get();
}

void FairQueue::SetWeight(FairNode* node, double weight) {
  if (node->queued > 0)
    AddWaitingWeight(node->parent, weight - node->weight);
  node->weight = weight;
}

void FairQueue::AddWaitingWeight(FairNode* node, double weight) {
  node->waiting_weight += weight;
  if (node->waiting.empty())
    node->waiting_weight = 0;  // discards accumulated rounding errors
  else if (node->level == NodeLevel::kClass)
    node->weight = node->waiting_weight;
}

FairNode* FairQueue::Team(const std::string& class_name,
                          const std::string& customer,
                          double customer_weight,
                          const std::string& team,
                          double team_weight) {
  FairNode* class_node = Child(&root_, class_name, NodeLevel::kClass);
  FairNode* customer_node = Child(class_node, customer, NodeLevel::kCustomer);
  SetWeight(customer_node, customer_weight);
  FairNode* team_node = Child(customer_node, team, NodeLevel::kTeam);
  SetWeight(team_node, team_weight);
  return team_node;
}

void FairQueue::AddQueued(FairNode* team, double work) {
  for (FairNode* node = team; node != nullptr; node = node->parent) {
    node->work += work;
    if (node->queued++ > 0 || node->parent == nullptr)
      continue;
    // A flow gets no credit for the time in which it had no queued requests.
    node->start = std::max(node->start, node->parent->virtual_time);
    node->parent->waiting.emplace(KeyOf(*node), node);
    AddWaitingWeight(node->parent, node->weight);
  }
}

void FairQueue::RemoveQueued(FairNode* team, double work) {
  for (FairNode* node = team; node != nullptr; node = node->parent) {
    node->work = node->queued == 1 ? 0 : node->work - work;
    if (--node->queued > 0 || node->parent == nullptr)
      continue;
    node->parent->waiting.erase(KeyOf(*node));
    AddWaitingWeight(node->parent, -node->weight);
  }
}

void FairQueue::Insert(FairNode* team, Entry* entry) {
  const bool added = team->entries.emplace(entry->sequence, entry).second;
  assert(added && "request queued twice");
  (void)added;
  AddQueued(team, entry->work);
}

void FairQueue::Erase(FairNode* team, Entry* entry) {
  team->entries.erase(entry->sequence);
  RemoveQueued(team, entry->work);
}

Entry* FairQueue::Head(const FairNode& from) {
  assert(from.queued > 0 && "head of an empty queue");
  const FairNode* node = &from;
  while (node->level != NodeLevel::kTeam)
    node = node->waiting.begin()->second;
  return node->entries.begin()->second;
}

void FairQueue::Start(FairNode* team, Entry* entry) {
  for (FairNode* node = team; node->parent != nullptr; node = node->parent) {
    node->parent->virtual_time =
        std::max(node->parent->virtual_time, node->start);
    ++node->running;
  }
  ++root_.running;
  Charge(team, entry->work);
  Erase(team, entry);
}

void FairQueue::Finish(FairNode* team) {
  for (FairNode* node = team; node != nullptr; node = node->parent)
    --node->running;
}

void FairQueue::Charge(FairNode* team, double tokens) {
  for (FairNode* node = team; node->parent != nullptr; node = node->parent) {
    if (node->queued > 0)
      node->parent->waiting.erase(KeyOf(*node));
    node->start += tokens / node->weight;
    if (node->queued > 0)
      node->parent->waiting.emplace(KeyOf(*node), node);
  }
}

double FairQueue::WorkAhead(const std::string& class_name,
                            const std::string& customer,
                            double customer_weight,
                            const std::string& team,
                            double team_weight) const {
  const FairNode* class_node = Find(&root_, class_name);
  const FairNode* customer_node = Find(class_node, customer);
  const FairNode* team_node = Find(customer_node, team);
  if (team_node == nullptr || team_node->queued == 0) {
    // A flow without queued requests starts at the current virtual time, so
    // that at most one request of each waiting flow precedes it. That is small
    // enough to be left out.
    return 0;
  }
  double ahead = team_node->work;
  ahead = std::min(customer_node->work,
                   ahead * customer_node->waiting_weight / team_weight);
  ahead = std::min(class_node->work,
                   ahead * class_node->waiting_weight / customer_weight);
  double weights = 0;
  for (const auto& [key, node] : root_.waiting)
    weights += node->weight;
  return std::min(root_.work, ahead * weights / class_node->weight);
}

void FairQueue::DropIdleBelow(FairNode* node) {
  const bool idle = node->queued == 0 && node->running == 0;
  for (auto it = node->children.begin(); it != node->children.end();) {
    FairNode* child = it->second.get();
    DropIdleBelow(child);
    const bool unused = child->queued == 0 && child->running == 0;
    if (unused && (idle || child->start <= node->virtual_time))
      it = node->children.erase(it);
    else
      ++it;
  }
}

}  // namespace teaselhill::admission
