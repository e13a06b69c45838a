/// \file
/// Hierarchical start-time fair queue of the requests of one model and tier.

#ifndef TEASELHILL_LIB_ADMISSION_FAIR_QUEUE_H_
#define TEASELHILL_LIB_ADMISSION_FAIR_QUEUE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "teaselhill/support/time.h"

namespace teaselhill::admission {

struct Entry;

/// Level of a node: tier -> class -> customer -> team.
enum class NodeLevel { kTier, kClass, kCustomer, kTeam };

/// One node of the tree. Children share their parent's service by weight; a
/// child's `start` is the virtual time at which its next request may start.
struct FairNode {
  using Key = std::pair<double, uint64_t>;  // start, order of creation

  NodeLevel level = NodeLevel::kTier;
  std::string name;
  FairNode* parent = nullptr;
  uint64_t order = 0;
  /// The weight of a class is the sum of the weights of its customers that wait
  /// or waited last, so that more class names give a customer no more service.
  double weight = 1;
  double start = 0;
  double virtual_time = 0;
  double work = 0;  ///< queued, in tokens
  size_t queued = 0;
  size_t running = 0;
  double waiting_weight = 0;  ///< of the children with queued requests
  std::map<std::string, std::unique_ptr<FairNode>> children;
  std::map<Key, FairNode*> waiting;
  std::map<uint64_t, Entry*> entries;  ///< team only; by sequence number

  /// Class only: last start, or the time at which the class began to wait.
  TimePoint last_start{};
};

/// Fair order of the requests of one model and tier.
class FairQueue {
 public:
  FairQueue();

  /// Returns the team's node, created if needed, with both weights set.
  FairNode* Team(const std::string& class_name,
                 const std::string& customer,
                 double customer_weight,
                 const std::string& team,
                 double team_weight);

  void Insert(FairNode* team, Entry* entry);
  void Erase(FairNode* team, Entry* entry);

  /// Returns the next request below `from` (the root or a class); `from` must
  /// have queued requests. `Start` takes it.
  static Entry* Head(const FairNode& from);

  /// Takes `entry` out of the queue, counts it as running and charges its work.
  void Start(FairNode* team, Entry* entry);
  void Finish(FairNode* team);

  /// Adds `tokens` (negative: gives back) to what the team's path has used.
  static void Charge(FairNode* team, double tokens);

  /// Work that is served before a new request of the team, when all that wait
  /// share by weight.
  double WorkAhead(const std::string& class_name,
                   const std::string& customer,
                   double customer_weight,
                   const std::string& team,
                   double team_weight) const;

  /// Drops nodes without requests that are owed or owe nothing any more.
  void DropIdleNodes() { DropIdleBelow(&root_); }

  FairNode& root() { return root_; }
  const FairNode& root() const { return root_; }

 private:
  FairNode* Child(FairNode* parent, const std::string& name, NodeLevel level);
  static void SetWeight(FairNode* node, double weight);
  static void AddWaitingWeight(FairNode* node, double weight);
  static void AddQueued(FairNode* team, double work);
  static void RemoveQueued(FairNode* team, double work);
  static void DropIdleBelow(FairNode* node);

  FairNode root_;
  uint64_t next_order_ = 0;
};

}  // namespace teaselhill::admission

#endif  // TEASELHILL_LIB_ADMISSION_FAIR_QUEUE_H_
