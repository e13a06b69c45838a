/// \file
/// State of the replay of the `config` stream.

#ifndef TEASELHILL_LIB_CONFIG_CONFIG_STATE_IMPL_H_
#define TEASELHILL_LIB_CONFIG_CONFIG_STATE_IMPL_H_

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "codec.h"
#include "object_table.h"
#include "teaselhill/config/config_state.h"

namespace teaselhill::config {

struct SeenChange {
  LogOffset offset = 0;
  VerdictKind kind = VerdictKind::kNote;
};

/// The fields that records of every format version have. `complete` is false if
/// a field other than the object is missing or malformed.
struct RecordHeader {
  ObjectId object;
  bool complete = false;
  std::string change_id;
  std::string author;
  LogOffset base_revision = kNoRevision;
};

/// Reads the body with `read`; returns null if there are validation errors.
template <typename Body>
std::shared_ptr<const Body> ReadBody(const Json& json,
                                     Body (*read)(const Json&,
                                                  ValidationErrors*),
                                     ValidationErrors* errors) {
  auto body = std::make_shared<Body>(read(json, errors));
  return errors->empty() ? body : nullptr;
}

class ConfigState::Impl {
 public:
  explicit Impl(ConfigLimits limits) : limits_(limits) {}

  Verdict Apply(LogOffset offset, std::string_view record);
  Result<SnapshotOutcome> Adopt(std::string_view text);
  std::string Export() const;
  std::shared_ptr<const ConfigView> View() const;

  const ObjectTable& objects() const { return objects_; }
  LogOffset next_offset() const { return next_offset_; }
  LogOffset snapshot_next() const { return snapshot_next_; }
  uint64_t unattributed() const { return unattributed_; }

 private:
  Verdict Evaluate(LogOffset offset, std::string_view record);
  Verdict ApplyNote(const Json& json, Verdict verdict);
  void EvaluateChange(const Json& json, const RecordHeader& header, Verdict*);
  void EvaluateBody(const Json& json, Verdict* verdict);
  void Delete(Verdict* verdict);
  void Put(const Json& body, Verdict* verdict);
  void Close(const std::string& reason, Verdict* verdict);
  ConfiguredObject& Accept(const Verdict& verdict);
  void RecordVerdict(const Verdict& verdict);
  void RecordChangeId(const std::string& change_id, SeenChange seen);
  void EvictDeletedObjects();
  std::string ExportState() const;
  Status LoadState(const std::string& text);
  void LoadObject(const Json& json);

  ConfigLimits limits_;
  ObjectTable objects_;
  std::unordered_map<std::string, SeenChange> seen_;
  std::deque<std::string> seen_order_;  ///< oldest first
  LogOffset next_offset_ = kFirstOffset;
  LogOffset snapshot_next_ = kFirstOffset;
  uint64_t unattributed_ = 0;
  mutable std::shared_ptr<const ConfigView> view_;
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_CONFIG_STATE_IMPL_H_
