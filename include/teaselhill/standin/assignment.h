/// \file
/// Orders to a stand-in engine and the resulting model assignment.

#ifndef TEASELHILL_STANDIN_ASSIGNMENT_H_
#define TEASELHILL_STANDIN_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "teaselhill/support/result.h"

namespace teaselhill::standin {

enum class OrderKind { kLoadModel, kUnloadModel, kLoadAdapter, kSetRole };

/// Body of `POST /v1/orders`.
struct Order {
  uint64_t fencing = 0;
  OrderKind kind = OrderKind::kLoadModel;
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;
};

struct ModelState {
  std::string version;
  bool ready = false;
  std::set<std::string> adapters;
  uint64_t load_number = 0;  ///< identifies the latest load of this model
};

/// Models, adapters and role assigned to an engine. A model is served only
/// after its load has finished.
class Assignment {
 public:
  explicit Assignment(bool checks_fencing) : checks_fencing_(checks_fencing) {}

  void AddReadyModel(const std::string& model) { models_[model].ready = true; }

  /// Applies an order. Returns the number of the load to start, or 0 if nothing
  /// has to be loaded. Errors: kOrderStale if fencing is checked and the
  /// fencing number of `order` is lower than that of the last applied order;
  /// kMalformedBody if the kind of order requires a model and `order` has none.
  Result<uint64_t> Apply(const Order& order);

  /// Marks `model` as ready, unless a later order has replaced or removed the
  /// load `load_number`.
  void FinishLoad(const std::string& model, uint64_t load_number);

  bool Serves(const std::string& model) const;

  uint64_t fencing() const { return fencing_; }
  const std::string& role() const { return role_; }
  const std::map<std::string, ModelState>& models() const { return models_; }

 private:
  bool checks_fencing_;
  uint64_t fencing_ = 0;
  uint64_t last_load_ = 0;
  std::string role_ = "mixed";
  std::map<std::string, ModelState> models_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_ASSIGNMENT_H_
