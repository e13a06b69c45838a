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
  /// Latest accepted version of the contract, or null if the contract has only
  /// unreadable records.
  std::shared_ptr<const Contract> contract;
  LogOffset revision = 0;
  std::string author;
  /// The latest record of the contract cannot be read. Requests of the customer
  /// are rejected with kContractClosed.
  bool closed = false;
};

struct AssignmentEntry {
  /// Latest accepted version of the assignment, or null if the assignment has
  /// only unreadable records. While `closed` is true, the `draining` field of
  /// the assignment is true.
  std::shared_ptr<const UpstreamAssignment> assignment;
  LogOffset revision = 0;
  std::string author;
  bool closed = false;  ///< the assignment's latest record cannot be read
};

/// Owner of a bearer key.
struct KeyOwner {
  std::shared_ptr<const Contract> contract;
  const Team* team = nullptr;  ///< points into `contract`
  bool closed = false;         ///< as ContractEntry::closed
};

/// Contracts and assignments in force. Immutable once ConfigState returns it,
/// so any thread may read it.
class ConfigView {
 public:
  /// Next offset of the state when the view was built, that is, at the first
  /// ConfigState::View() after a change; 0 if no record had been applied.
  LogOffset next_offset = 0;
  std::map<std::string, ContractEntry> contracts;      ///< by customer
  std::map<std::string, AssignmentEntry> assignments;  ///< by upstream
  std::map<std::string, std::vector<std::shared_ptr<const UpstreamAssignment>>>
      assignments_by_domain;

  /// Returns the owner of the key whose SHA-256 is `key_hash` (64 lower-case
  /// hexadecimal digits), or null.
  const KeyOwner* FindKey(const std::string& key_hash) const;

  /// Returns the entry of the customer's contract, or null.
  const ContractEntry* FindContract(const std::string& customer) const;

  std::unordered_map<std::string, KeyOwner> keys;  ///< by SHA-256 of the key
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CONFIG_VIEW_H_
