/// \file
/// Changes on the `config` stream and the verdicts that replaying them gives.

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

/// Highest record format that this version reads.
constexpr int kRecordFormat = 1;

/// Base revision of a change that creates an object.
constexpr LogOffset kNoRevision = std::numeric_limits<LogOffset>::max();

enum class ObjectKind { kContract, kAssignment };

/// A contract by its customer, or an assignment by its upstream.
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
  std::string change_id;  ///< unique; a repeated one counts once
  ObjectId object;
  ChangeAction action = ChangeAction::kPut;
  std::string author;
  /// Revision of the object that the change was made against.
  LogOffset base_revision = kNoRevision;
  ObjectBody body;  ///< empty for a deletion
};

/// Returns the record that puts `change` on the log.
std::string EncodeChange(const Change& change);

/// Returns a record without effect. A client appends such records to a log that
/// restarted with less, until its offsets pass those already in force.
std::string EncodePadding();

/// Returns the record that tells the other hosts that a snapshot through
/// `through_offset` is on the `config-snapshots` stream.
std::string EncodeSnapshotNote(LogOffset through_offset);

enum class VerdictKind {
  kAccepted,
  kConflict,    ///< made against another revision than the current one
  kInvalid,     ///< the body does not follow the format
  kUnsafe,      ///< would break what is promised to others
  kDuplicate,   ///< the change id has been seen before
  kUnreadable,  ///< this version cannot read it; its object is closed
  kNote,        ///< padding or a snapshot note
  kCovered,     ///< not applied: at or below the offset already in force
  kGap,         ///< not applied: records before it are missing
};

/// Returns a lower-case name such as `accepted`.
std::string_view VerdictName(VerdictKind kind);

/// What became of one record.
struct Verdict {
  LogOffset offset = 0;
  VerdictKind kind = VerdictKind::kNote;
  std::string change_id;
  std::optional<ObjectId> object;
  ChangeAction action = ChangeAction::kPut;
  std::string author;
  LogOffset base_revision = kNoRevision;
  std::string reason;  ///< empty when accepted
  /// Conflict: revision that was current, kNoRevision if the object did not
  /// exist, and who wrote it.
  LogOffset current_revision = kNoRevision;
  std::string current_author;
  /// Duplicate: the first appearance of the change id and its verdict.
  LogOffset first_offset = 0;
  VerdictKind first_kind = VerdictKind::kNote;
};

/// Returns the result code of a verdict: kOk for an accepted change or a note.
ResultCode VerdictCode(VerdictKind kind);

}  // namespace teaselhill::config

#endif  // TEASELHILL_CONFIG_CHANGE_H_
