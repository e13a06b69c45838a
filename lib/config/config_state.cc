/// \file
/// Replay of the `config` stream.

#include "teaselhill/config/config_state.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "config_state_impl.h"

namespace teaselhill::config {

namespace {

constexpr size_t kMaxChangeIdBytes = 128;
constexpr size_t kMaxAuthorBytes = 128;
/// Maximum size of the reason of a verdict in an object's history. The reason
/// of a rejected change with many errors would otherwise have no bound.
constexpr size_t kMaxStoredReasonBytes = 400;

std::optional<ObjectId> ReadObjectId(const Json& json) {
  if (!json.is_object() || !json.contains("object") || !json.contains("name") ||
      !json["object"].is_string() || !json["name"].is_string())
    return std::nullopt;
  const auto kind = ParseObjectKind(json["object"].get<std::string>());
  std::string name = json["name"].get<std::string>();
  if (!kind || !IsName(name))
    return std::nullopt;
  return ObjectId{*kind, std::move(name)};
}

bool ReadBoundedText(const Json& json,
                     const char* field,
                     size_t max_bytes,
                     std::string* text) {
  if (!json.contains(field) || !json[field].is_string())
    return false;
  *text = json[field].get<std::string>();
  return !text->empty() && text->size() <= max_bytes;
}

RecordHeader ReadHeader(const Json& json, ObjectId object) {
  RecordHeader header;
  header.object = std::move(object);
  bool complete =
      ReadBoundedText(json, "change_id", kMaxChangeIdBytes, &header.change_id);
  complete &= ReadBoundedText(json, "author", kMaxAuthorBytes, &header.author);
  if (json.contains("base_revision") &&
      json["base_revision"].is_number_unsigned())
    header.base_revision = json["base_revision"].get<LogOffset>();
  else
    complete &=
        json.contains("base_revision") && json["base_revision"].is_null();
  header.complete = complete;
  return header;
}

/// Truncates `text` to kMaxStoredReasonBytes bytes at a UTF-8 character
/// boundary, because the JSON encoder rejects invalid UTF-8.
std::string TruncateUtf8(std::string text) {
  if (text.size() <= kMaxStoredReasonBytes)
    return text;
  size_t end = kMaxStoredReasonBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
    --end;
  text.resize(end);
  return text;
}

std::string DescribeRevision(LogOffset revision) {
  return revision == kNoRevision ? "no revision"
                                 : "revision " + std::to_string(revision);
}

}  // namespace

Verdict ConfigState::Impl::Apply(LogOffset offset, std::string_view record) {
  Verdict verdict;
  verdict.offset = offset;
  if (offset < next_offset_) {
    verdict.kind = VerdictKind::kCovered;
    verdict.reason = "the configuration in force reaches offset " +
                     std::to_string(next_offset_ - 1);
    return verdict;
  }
  if (offset > next_offset_) {
    verdict.kind = VerdictKind::kGap;
    verdict.reason =
        "the record at offset " + std::to_string(next_offset_) + " is missing";
    return verdict;
  }
  verdict = Evaluate(offset, record);
  next_offset_ = offset + 1;
  RecordVerdict(verdict);
  return verdict;
}

Verdict ConfigState::Impl::Evaluate(LogOffset offset, std::string_view record) {
  Verdict verdict;
  verdict.offset = offset;
  const Json json = Json::parse(record.begin(), record.end(), nullptr, false);
  if (json.is_object() && json.contains("note"))
    return ApplyNote(json, std::move(verdict));
  const auto object = ReadObjectId(json);
  if (!object) {
    ++unattributed_;
    verdict.kind = VerdictKind::kUnreadable;
    verdict.reason = "the record names no object that this version knows";
    return verdict;
  }
  const RecordHeader header = ReadHeader(json, *object);
  verdict.object = header.object;
  verdict.change_id = header.change_id;
  verdict.author = header.author;
  verdict.base_revision = header.base_revision;
  if (!header.complete) {
    verdict.change_id.clear();
    Close("the head of the record cannot be read", &verdict);
    return verdict;
  }
  EvaluateChange(json, header, &verdict);
  return verdict;
}

Verdict ConfigState::Impl::ApplyNote(const Json& json, Verdict verdict) {
  verdict.kind = VerdictKind::kNote;
  if (json["note"] != "snapshot" || !json.contains("through_offset") ||
      !json["through_offset"].is_number_unsigned())
    return verdict;
  // Accepting a note that covers records beyond its own offset would prevent
  // the hosts from writing snapshots of those records.
  const LogOffset through = json["through_offset"].get<LogOffset>();
  if (through < verdict.offset)
    snapshot_next_ = std::max(snapshot_next_, through + 1);
  return verdict;
}

void ConfigState::Impl::EvaluateChange(const Json& json,
                                       const RecordHeader& header,
                                       Verdict* verdict) {
  const auto seen = seen_.find(header.change_id);
  if (seen != seen_.end()) {
    verdict->kind = VerdictKind::kDuplicate;
    verdict->first_offset = seen->second.offset;
    verdict->first_kind = seen->second.kind;
    verdict->reason = "the change was first seen at offset " +
                      std::to_string(seen->second.offset);
    return;
  }
  const auto found = objects_.find(header.object);
  const LogOffset current =
      found == objects_.end() ? kNoRevision : found->second.revision;
  if (header.base_revision != current) {
    verdict->kind = VerdictKind::kConflict;
    verdict->current_revision = current;
    verdict->current_author =
        found == objects_.end() ? "" : found->second.author;
    verdict->reason =
        DescribeObject(header.object) + " is at " + DescribeRevision(current) +
        (current == kNoRevision ? "" : " by " + verdict->current_author) +
        ", the change was made against " +
        DescribeRevision(header.base_revision);
    return;
  }
  EvaluateBody(json, verdict);
}

void ConfigState::Impl::EvaluateBody(const Json& json, Verdict* verdict) {
  if (!json.contains("format") || !json["format"].is_number_unsigned() ||
      json["format"].get<uint64_t>() != kRecordFormat) {
    Close("the record's format is not known to this version", verdict);
    return;
  }
  const Json action = json.value("action", Json());
  if (action == "delete") {
    Delete(verdict);
  } else if (action == "put" && json.contains("body")) {
    Put(json["body"], verdict);
  } else {
    Close("the record's action cannot be read", verdict);
  }
}

void ConfigState::Impl::Delete(Verdict* verdict) {
  verdict->action = ChangeAction::kDelete;
  const ObjectId& id = *verdict->object;
  const auto found = objects_.find(id);
  if (found == objects_.end() || !found->second.live) {
    verdict->kind = VerdictKind::kInvalid;
    verdict->reason = DescribeObject(id) + " does not exist";
    return;
  }
  if (id.kind == ObjectKind::kAssignment) {
    verdict->reason = CheckAssignmentChange(objects_, id.name, nullptr);
    if (!verdict->reason.empty()) {
      verdict->kind = VerdictKind::kUnsafe;
      return;
    }
  }
  ConfiguredObject& object = Accept(*verdict);
  verdict->kind = VerdictKind::kAccepted;
  object.live = false;
  object.contract.reset();
  object.assignment.reset();
}

void ConfigState::Impl::Put(const Json& body, Verdict* verdict) {
  const ObjectId& id = *verdict->object;
  const bool is_contract = id.kind == ObjectKind::kContract;
  ValidationErrors errors;
  std::shared_ptr<const Contract> contract;
  std::shared_ptr<const UpstreamAssignment> assignment;
  if (is_contract)
    contract = ReadBody<Contract>(body, &ReadContract, &errors);
  else
    assignment = ReadBody<UpstreamAssignment>(body, &ReadAssignment, &errors);
  if (errors.empty() &&
      (is_contract ? contract->customer : assignment->name) != id.name)
    errors.Add(is_contract ? "customer" : "name",
               "differs from the name of the change, '" + id.name + "'");
  if (!errors.empty()) {
    verdict->kind = VerdictKind::kInvalid;
    verdict->reason = errors.text();
    return;
  }
  verdict->reason =
      is_contract ? CheckContractPut(objects_, *contract)
                  : CheckAssignmentChange(objects_, id.name, assignment.get());
  if (!verdict->reason.empty()) {
    verdict->kind = VerdictKind::kUnsafe;
    return;
  }
  ConfiguredObject& object = Accept(*verdict);
  verdict->kind = VerdictKind::kAccepted;
  object.live = true;
  object.contract = std::move(contract);
  object.assignment = std::move(assignment);
}

void ConfigState::Impl::Close(const std::string& reason, Verdict* verdict) {
  verdict->kind = VerdictKind::kUnreadable;
  verdict->reason = reason;
  // Hosts of a newer version may have accepted the record as a change, so its
  // offset becomes the revision and the previous content is no longer used.
  ConfiguredObject& object = Accept(*verdict);
  object.live = true;
  object.closed = true;
}

/// Makes the verdict's offset the current revision of the object.
ConfiguredObject& ConfigState::Impl::Accept(const Verdict& verdict) {
  ConfiguredObject& object = objects_[*verdict.object];
  object.revision = verdict.offset;
  object.author = verdict.author;
  object.closed = false;
  view_.reset();
  return object;
}

void ConfigState::Impl::RecordVerdict(const Verdict& verdict) {
  if (!verdict.object)
    return;
  if (!verdict.change_id.empty() && verdict.kind != VerdictKind::kDuplicate)
    RecordChangeId(verdict.change_id, {verdict.offset, verdict.kind});
  ConfiguredObject& object = objects_[*verdict.object];
  object.touched = verdict.offset;
  Verdict stored = verdict;
  stored.reason = TruncateUtf8(std::move(stored.reason));
  object.history.push_back(std::move(stored));
  const size_t max_size = verdict.object->kind == ObjectKind::kContract
                              ? limits_.max_contract_history
                              : limits_.max_assignment_history;
  while (object.history.size() > max_size)
    object.history.pop_front();
  EvictDeletedObjects();
}

void ConfigState::Impl::RecordChangeId(const std::string& change_id,
                                       SeenChange seen) {
  seen_[change_id] = seen;
  seen_order_.push_back(change_id);
  while (seen_order_.size() > limits_.max_change_ids) {
    seen_.erase(seen_order_.front());
    seen_order_.pop_front();
  }
}

/// Limits the objects that are deleted or were never created to
/// `max_deleted_objects`. The objects whose last record has the lowest offset
/// are evicted first.
void ConfigState::Impl::EvictDeletedObjects() {
  std::vector<std::pair<LogOffset, ObjectId>> deleted;
  for (const auto& [id, object] : objects_)
    if (!object.live)
      deleted.emplace_back(object.touched, id);
  if (deleted.size() <= limits_.max_deleted_objects)
    return;
  std::sort(deleted.begin(), deleted.end());
  deleted.resize(deleted.size() - limits_.max_deleted_objects);
  for (const auto& [touched, id] : deleted)
    objects_.erase(id);
}

std::shared_ptr<const ConfigView> ConfigState::Impl::View() const {
  if (view_)
    return view_;
  auto view = std::make_shared<ConfigView>();
  view->next_offset = next_offset_ == kFirstOffset ? 0 : next_offset_;
  for (const auto& [id, object] : objects_) {
    if (!object.live)
      continue;
    if (id.kind == ObjectKind::kContract) {
      view->contracts[id.name] = {object.contract, object.revision,
                                  object.author, object.closed};
      if (!object.contract)
        continue;
      for (const Team& team : object.contract->teams)
        for (const std::string& key : team.key_hashes)
          view->keys[key] = {object.contract, &team, object.closed};
      continue;
    }
    auto assignment = object.assignment;
    if (object.closed && assignment) {
      auto drained = std::make_shared<UpstreamAssignment>(*assignment);
      drained->draining = true;
      assignment = std::move(drained);
    }
    view->assignments[id.name] = {assignment, object.revision, object.author,
                                  object.closed};
    if (assignment)
      view->assignments_by_domain[assignment->domain].push_back(assignment);
  }
  view_ = std::move(view);
  return view_;
}

ConfigState::ConfigState(ConfigLimits limits)
    : impl_(std::make_unique<Impl>(limits)) {}
ConfigState::~ConfigState() = default;
ConfigState::ConfigState(ConfigState&&) noexcept = default;
ConfigState& ConfigState::operator=(ConfigState&&) noexcept = default;

Verdict ConfigState::Apply(LogOffset offset, std::string_view record) {
  return impl_->Apply(offset, record);
}

Result<SnapshotOutcome> ConfigState::Adopt(std::string_view snapshot) {
  return impl_->Adopt(snapshot);
}

std::string ConfigState::Export() const {
  return impl_->Export();
}

LogCondition ConfigState::ClassifyLog(LogOffset first_retained,
                                      LogOffset log_next) const {
  if (log_next < impl_->next_offset())
    return LogCondition::kRestartedWithFewerRecords;
  return first_retained > impl_->next_offset() ? LogCondition::kGap
                                               : LogCondition::kFollowing;
}

LogOffset ConfigState::next_offset() const {
  return impl_->next_offset();
}

LogOffset ConfigState::snapshot_next() const {
  return impl_->snapshot_next();
}

uint64_t ConfigState::unattributed_records() const {
  return impl_->unattributed();
}

std::shared_ptr<const ConfigView> ConfigState::View() const {
  return impl_->View();
}

LogOffset ConfigState::Revision(const ObjectId& id) const {
  const auto found = impl_->objects().find(id);
  return found == impl_->objects().end() ? kNoRevision : found->second.revision;
}

std::vector<Verdict> ConfigState::History(const ObjectId& id) const {
  const auto found = impl_->objects().find(id);
  if (found == impl_->objects().end())
    return {};
  return {found->second.history.begin(), found->second.history.end()};
}

std::optional<size_t> FindHighestSnapshot(
    const std::vector<std::string>& snapshots) {
  std::optional<size_t> best;
  ConfigState highest;
  for (size_t i = 0; i < snapshots.size(); ++i) {
    const auto outcome = highest.Adopt(snapshots[i]);
    if (outcome && *outcome == SnapshotOutcome::kAdopted)
      best = i;
  }
  return best;
}

const KeyOwner* ConfigView::FindKey(const std::string& key_hash) const {
  const auto found = keys.find(key_hash);
  return found == keys.end() ? nullptr : &found->second;
}

const ContractEntry* ConfigView::FindContract(
    const std::string& customer) const {
  const auto found = contracts.find(customer);
  return found == contracts.end() ? nullptr : &found->second;
}

}  // namespace teaselhill::config
