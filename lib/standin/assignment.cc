/// \file
/// Applies orders to the assignment of an engine.

#include "teaselhill/standin/assignment.h"

namespace teaselhill::standin {

Result<uint64_t> Assignment::Apply(const Order& order) {
  if (checks_fencing_ && order.fencing < fencing_) {
    return {ResultCode::kOrderStale,
            "fencing number " + std::to_string(order.fencing) +
                " is older than " + std::to_string(fencing_)};
  }
  const bool names_model = order.kind != OrderKind::kSetRole;
  if (names_model && order.model.empty())
    return {ResultCode::kMalformedBody, "order has no model"};
  fencing_ = order.fencing;
  switch (order.kind) {
    case OrderKind::kSetRole:
      role_ = order.role;
      return uint64_t{0};
    case OrderKind::kUnloadModel:
      models_.erase(order.model);
      return uint64_t{0};
    case OrderKind::kLoadAdapter:
      models_[order.model].adapters.insert(order.adapter);
      return uint64_t{0};
    case OrderKind::kLoadModel:
      break;
  }
  const auto found = models_.find(order.model);
  if (found != models_.end() && found->second.version == order.version)
    return uint64_t{0};
  ModelState& model = models_[order.model];
  model.version = order.version;
  model.ready = false;
  model.load_number = ++last_load_;
  return model.load_number;
}

void Assignment::FinishLoad(const std::string& model, uint64_t load_number) {
  const auto found = models_.find(model);
  if (found != models_.end() && found->second.load_number == load_number)
    found->second.ready = true;
}

bool Assignment::Serves(const std::string& model) const {
  const auto found = models_.find(model);
  return found != models_.end() && found->second.ready;
}

}  // namespace teaselhill::standin
