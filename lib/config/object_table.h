/// \file
/// Configured objects with their revisions and latest verdicts.

#ifndef TEASELHILL_LIB_CONFIG_OBJECT_TABLE_H_
#define TEASELHILL_LIB_CONFIG_OBJECT_TABLE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "teaselhill/config/change.h"

namespace teaselhill::config {

struct ConfiguredObject {
  /// Offset of the current change; kNoRevision before the first change.
  LogOffset revision = kNoRevision;
  /// Offset of the last record that names the object, with any verdict.
  LogOffset touched = 0;
  std::string author;
  bool live = false;    ///< false before creation and after deletion
  bool closed = false;  ///< the current record cannot be read
  std::shared_ptr<const Contract> contract;
  std::shared_ptr<const UpstreamAssignment> assignment;
  std::deque<Verdict> history;
};

using ObjectTable = std::map<ObjectId, ConfiguredObject>;

/// Returns the reason why `contract` cannot be put in force: a bearer key of
/// another customer, a model or service without upstreams, or a concurrency
/// limit above the assigned capacity. Returns an empty string if the contract
/// is safe.
std::string CheckContractPut(const ObjectTable& objects,
                             const Contract& contract);

/// Returns the reason why the assignment `name` cannot be replaced by `next`
/// (null: deleted): a URL of another upstream, or too little capacity left for
/// a contract. Returns an empty string if the change is safe.
std::string CheckAssignmentChange(const ObjectTable& objects,
                                  const std::string& name,
                                  const UpstreamAssignment* next);

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_OBJECT_TABLE_H_
