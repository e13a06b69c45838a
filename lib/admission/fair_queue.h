/// \file
/// Hierarchical start-time fair queue (SFQ) of the requests of one model and
/// tier.

#ifndef TEASELHILL_LIB_ADMISSION_FAIR_QUEUE_H_
#define TEASELHILL_LIB_ADMISSION_FAIR_QUEUE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "teaselhill/support/time.h"

namespace teaselhill::admission {

struct QueueEntry;

/// Levels of the tree, from the root to the leaves.
enum class NodeLevel { kTier, kClass, kCustomer, kTeam };

/// A node of the tree of a FairQueue. The children of a node share the service
/// of the node in proportion to their weights. The `start_tag` of a child is
/// the virtual time of its parent at which the child's next request may start.
struct FairNode {
  using OrderKey = std::pair<double, uint64_t>;  // start tag, order of creation

  NodeLevel level = NodeLevel::kTier;
  std::string name;
  FairNode* parent = nullptr;
  uint64_t creation_index = 0;
  /// The weight of a class is the sum of the weights of its customers with
  /// queued requests; a class without queued requests keeps its last weight. A
  /// customer therefore gets no more service by spreading its requests over
  /// several classes.
  double weight = 1;
  double start_tag = 0;
  double virtual_time = 0;
  double queued_work_tokens = 0;
  size_t queued_count = 0;
  size_t running_count = 0;
  double waiting_weight = 0;  ///< sum over `waiting_children`
  std::map<std::string, std::unique_ptr<FairNode>> children;
  /// Children with queued requests, in the order of service.
  std::map<OrderKey, FairNode*> waiting_children;
  /// Team only: queued requests by sequence number.
  std::map<uint64_t, QueueEntry*> queued_entries;

  /// Class only: time of the last start, or the time at which the class last
  /// changed from no queued request to one, if that is later.
  TimePoint last_started_at{};
};

/// Orders the requests of one model and tier by weighted fair queueing. Entries
/// are owned by the caller.
class FairQueue {
 public:
  FairQueue();

  /// Returns the node of the team, which is created if needed, and sets the
  /// weights of the customer and the team.
  FairNode* GetOrCreateTeam(const std::string& class_name,
                            const std::string& customer,
                            double customer_weight,
                            const std::string& team,
                            double team_weight);

  void Insert(FairNode* team, QueueEntry* entry);
  void Erase(FairNode* team, QueueEntry* entry);

  /// Returns the next request below `subtree`, which is the root or a class and
  /// must have queued requests. The request stays queued until `StartEntry`.
  static QueueEntry* NextEntry(const FairNode& subtree);

  /// Removes `entry` from the queue, counts it as running and charges its
  /// predicted work to the team.
  void StartEntry(FairNode* team, QueueEntry* entry);
  /// Counts a request of the team as no longer running.
  void FinishEntry(FairNode* team);

  /// Charges `tokens` of service to the team and all nodes above it. A negative
  /// number is a refund.
  static void ChargeTokens(FairNode* team, double tokens);

  /// Returns the queued work in tokens that is expected to be served before a
  /// new request of the team. Assumes that all nodes with queued requests share
  /// the service by weight.
  double EstimateWorkAhead(const std::string& class_name,
                           const std::string& customer,
                           double customer_weight,
                           const std::string& team,
                           double team_weight) const;

  /// Removes nodes that have no queued and no running requests. Such a node is
  /// kept if its parent has requests and the node's start tag is after the
  /// parent's virtual time: the node has used more than its share, and removing
  /// it would cancel that debt.
  void RemoveIdleNodes() { RemoveIdleNodesBelow(&root_); }

  FairNode& root() { return root_; }
  const FairNode& root() const { return root_; }

 private:
  FairNode* GetOrCreateChild(FairNode* parent,
                             const std::string& name,
                             NodeLevel level);
  static void SetWeight(FairNode* node, double weight);
  static void AddWaitingWeight(FairNode* node, double weight);
  static void AddQueued(FairNode* team, double work_tokens);
  static void RemoveQueued(FairNode* team, double work_tokens);
  static void RemoveIdleNodesBelow(FairNode* node);

  FairNode root_;
  uint64_t next_creation_index_ = 0;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_FAIR_QUEUE_H_
