/// \file
/// The configured objects with their revisions and latest verdicts.

#ifndef TEASELHILL_LIB_CONFIG_OBJECT_TABLE_H_
#define TEASELHILL_LIB_CONFIG_OBJECT_TABLE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "teaselhill/config/change.h"

namespace teaselhill::config {

struct ConfiguredObject {
  /// Offset of the change that is current; kNoRevision before the first one.
  LogOffset revision = kNoRevision;
  /// Offset of the last record about the object, whatever its verdict.
  LogOffset touched = 0;
  std::string author;
  bool live = false;    ///< exists; false before creation and after deletion
  bool closed = false;  ///< the current record cannot be read
  std::shared_ptr<const Contract> contract;
  std::shared_ptr<const UpstreamAssignment> assignment;
  std::deque<Verdict> history;
};

using ObjectTable = std::map<ObjectId, ConfiguredObject>;

/// Returns why putting `contract` would break what is promised to others, or an
/// empty string.
std::string CheckContractPut(const ObjectTable& objects,
                             const Contract& contract);

/// Returns why replacing the assignment `name` by `next` (null: deleting it)
/// would break what is promised to a customer, or an empty string.
std::string CheckAssignmentChange(const ObjectTable& objects,
                                  const std::string& name,
                                  const UpstreamAssignment* next);

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_OBJECT_TABLE_H_
