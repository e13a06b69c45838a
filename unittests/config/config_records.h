/// \file
/// Builders of minimal contracts, assignments and changes for tests.

#ifndef TEASELHILL_UNITTESTS_CONFIG_CONFIG_RECORDS_H_
#define TEASELHILL_UNITTESTS_CONFIG_CONFIG_RECORDS_H_

#include <string>
#include <vector>

#include "teaselhill/config/change.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::config {

inline std::string MakeKey(int number) {
  return Sha256Hex("key " + std::to_string(number));
}

inline Contract MakeContract(const std::string& customer,
                             std::vector<std::string> models,
                             int key) {
  Contract contract;
  contract.customer = customer;
  contract.limits.concurrency = 4;
  contract.teams = {{"team", 1, {MakeKey(key)}}};
  ClassPolicy policy;
  policy.name = "urgent";
  policy.tier = kUrgentTier;
  contract.classes = {policy};
  contract.default_class = "urgent";
  contract.models = std::move(models);
  return contract;
}

inline UpstreamAssignment MakeEngine(const std::string& name,
                                     std::vector<std::string> models,
                                     int concurrency = 8) {
  UpstreamAssignment assignment;
  assignment.name = name;
  assignment.url = "http://127.0.1.1:" + std::to_string(1000 + name.back());
  assignment.domain = "d1";
  assignment.models = std::move(models);
  assignment.max_concurrency = concurrency;
  return assignment;
}

inline Change PutContract(const Contract& contract,
                          LogOffset base = kNoRevision) {
  return {"",
          {ObjectKind::kContract, contract.customer},
          ChangeAction::kPut,
          "operator",
          base,
          contract};
}

inline Change PutAssignment(const UpstreamAssignment& assignment,
                            LogOffset base = kNoRevision) {
  return {"",
          {ObjectKind::kAssignment, assignment.name},
          ChangeAction::kPut,
          "operator",
          base,
          assignment};
}

}  // namespace teaselhill::config

#endif  // TEASELHILL_UNITTESTS_CONFIG_CONFIG_RECORDS_H_
