/// \file
/// Immutable view of the configuration in force, shared with traffic threads.

#ifndef TEASELHILL_CONFIG_CONFIG_VIEW_H_
#define TEASELHILL_CONFIG_CONFIG_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/support/ids.h"

namespace teaselhill::config {

struct ContractEntry {
  std::shared_ptr<const Contract> contract;  ///< null: never readable here
  LogOffset revision = 0;
  std::string author;
  /// The latest record cannot be read: refuse requests with kContractClosed.
  bool closed = false;
};

struct AssignmentEntry {
  /// Marked as draining while the latest record cannot be read.
  std::shared_ptr<const UpstreamAssignment> assignment;
  LogOffset revision = 0;
  std::string author;
  bool closed = false;
};

/// Owner of a bearer key.
struct KeyOwner {
  std::shared_ptr<const Contract> contract;
  const Team* team = nullptr;  ///< points into `contract`
  bool closed = false;         ///< as in ContractEntry
};

/// Never changes after it is built, so any thread may read it.
class ConfigView {
 public:
  /// Offset after the last record that changed what is in force; 0: there is no
  /// configuration yet.
  LogOffset next_offset = 0;
  std::map<std::string, ContractEntry> contracts;      ///< by customer
  std::map<std::string, AssignmentEntry> assignments;  ///< by upstream
  std::map<std::string, std::vector<std::shared_ptr<const UpstreamAssignment>>>
      assignments_by_domain;

  /// Returns the owner of the key with this SHA-256 (64 lower-case hexadecimal
  /// digits), or null.
  const KeyOwner* FindKey(const std::string& key_hash) const;

  /// Returns the entry of the customer's contract, or null.
  const ContractEntry* FindContract(const std::string& customer) const;

  std::unordered_map<std::string, KeyOwner> keys;
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONFIG_VIEW_H_
