/// \file
/// Changes on the `config` stream and the verdicts of their replay.

#ifndef TEASELHILL_CONFIG_CHANGE_H_
#define TEASELHILL_CONFIG_CHANGE_H_

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselhill/config/contract.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"

namespace teaselhill::config {

/// Record format that this version writes, and the only format that it reads.
constexpr int kRecordFormat = 1;

/// Base revision of a change that creates an object.
constexpr LogOffset kNoRevision = std::numeric_limits<LogOffset>::max();

enum class ObjectKind { kContract, kAssignment };

/// Identifies a contract by its customer, or an assignment by its upstream.
struct ObjectId {
  ObjectKind kind = ObjectKind::kContract;
  std::string name;

  friend bool operator==(const ObjectId& a, const ObjectId& b) {
    return a.kind == b.kind && a.name == b.name;
  }
  friend bool operator<(const ObjectId& a, const ObjectId& b) {
    return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
  }
};

/// Returns `contract 'x'` or `assignment 'x'`.
std::string DescribeObject(const ObjectId& id);

enum class ChangeAction { kPut, kDelete };

using ObjectBody = std::variant<std::monostate, Contract, UpstreamAssignment>;

struct Change {
  /// Unique id of the change. A record is a duplicate and is not applied if its
  /// id is among the last ConfigLimits::max_change_ids change ids.
  std::string change_id;
  ObjectId object;
  ChangeAction action = ChangeAction::kPut;
  std::string author;
  /// Revision of the object on which the author based the change.
  LogOffset base_revision = kNoRevision;
  ObjectBody body;  ///< empty for a deletion
};

/// Returns the record of `change` for the `config` stream.
std::string EncodeChange(const Change& change);

/// Returns a record that changes no object. If the log restarted with fewer
/// records, hosts ignore new records below the next offset of the configuration
/// in force; a client therefore appends padding until the log's next offset
/// reaches that offset.
std::string EncodePadding();

/// Returns the record that announces to all hosts that the `config-snapshots`
/// stream has a snapshot of the records up to and including `through_offset`.
std::string EncodeSnapshotNote(LogOffset through_offset);

enum class VerdictKind {
  kAccepted,
  kConflict,    ///< the base revision is not the object's current revision
  kInvalid,     ///< the body is malformed, or the object to delete
                ///< does not exist
  kUnsafe,      ///< the change conflicts with other objects in force, for
                ///< instance with the capacity guaranteed to a customer
  kDuplicate,   ///< an earlier record has the same change id
  kUnreadable,  ///< this version cannot read the record; closes the
                ///< object that the record names, if any
  kNote,        ///< padding or a snapshot note
  kCovered,     ///< not applied: the configuration in force already includes
                ///< the record's offset
  kGap,         ///< not applied: preceding records are missing
};

/// Returns a lower-case name such as `accepted`.
std::string_view VerdictName(VerdictKind kind);

/// Result of replaying one record.
struct Verdict {
  LogOffset offset = 0;
  VerdictKind kind = VerdictKind::kNote;
  std::string change_id;
  std::optional<ObjectId> object;
  ChangeAction action = ChangeAction::kPut;
  std::string author;
  LogOffset base_revision = kNoRevision;
  std::string reason;  ///< empty when accepted
  /// kConflict only: the current revision of the object (kNoRevision if the
  /// object is unknown) and the author of that revision.
  LogOffset current_revision = kNoRevision;
  std::string current_author;
  /// kDuplicate only: offset and verdict of the first record with this change
  /// id.
  LogOffset first_offset = 0;
  VerdictKind first_kind = VerdictKind::kNote;
};

/// Returns the result code of a verdict. The code is kOk for an accepted
/// change, a duplicate and a note.
ResultCode VerdictCode(VerdictKind kind);

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CHANGE_H_
