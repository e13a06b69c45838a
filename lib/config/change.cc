/// \file
/// Encoding of change records, and names and JSON form of verdicts.

#include "teaselhill/config/change.h"

#include "codec.h"

namespace teaselhill::config {

namespace {

struct VerdictRow {
  VerdictKind kind;
  std::string_view name;
  ResultCode code;
};

constexpr VerdictRow kVerdicts[] = {
    {VerdictKind::kAccepted, "accepted", ResultCode::kOk},
    {VerdictKind::kConflict, "conflict", ResultCode::kChangeConflict},
    {VerdictKind::kInvalid, "invalid", ResultCode::kChangeInvalid},
    {VerdictKind::kUnsafe, "unsafe", ResultCode::kChangeUnsafe},
    {VerdictKind::kDuplicate, "duplicate", ResultCode::kOk},
    {VerdictKind::kUnreadable, "unreadable", ResultCode::kUnreadableRecord},
    {VerdictKind::kNote, "note", ResultCode::kOk},
    {VerdictKind::kCovered, "covered", ResultCode::kChangeConflict},
    {VerdictKind::kGap, "gap", ResultCode::kOffsetDropped},
};

Json RevisionJson(LogOffset revision) {
  return revision == kNoRevision ? Json(nullptr) : Json(revision);
}

LogOffset ReadRevision(const Json& json) {
  return json.is_null() ? kNoRevision : json.get<LogOffset>();
}

}  // namespace

std::string_view ObjectKindName(ObjectKind kind) {
  return kind == ObjectKind::kContract ? "contract" : "assignment";
}

std::optional<ObjectKind> ParseObjectKind(std::string_view name) {
  if (name == "contract")
    return ObjectKind::kContract;
  if (name == "assignment")
    return ObjectKind::kAssignment;
  return std::nullopt;
}

std::string DescribeObject(const ObjectId& id) {
  return std::string(ObjectKindName(id.kind)) + " '" + id.name + "'";
}

std::string EncodeChange(const Change& change) {
  Json json = {
      {"format", kRecordFormat},
      {"change_id", change.change_id},
      {"object", ObjectKindName(change.object.kind)},
      {"name", change.object.name},
      {"action", change.action == ChangeAction::kPut ? "put" : "delete"},
      {"author", change.author},
      {"base_revision", RevisionJson(change.base_revision)}};
  if (const auto* contract = std::get_if<Contract>(&change.body))
    json["body"] = ToJson(*contract);
  else if (const auto* assignment =
               std::get_if<UpstreamAssignment>(&change.body))
    json["body"] = ToJson(*assignment);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodePadding() {
  return Json{{"format", kRecordFormat}, {"note", "padding"}}.dump();
}

std::string EncodeSnapshotNote(LogOffset through_offset) {
  return Json{{"format", kRecordFormat},
              {"note", "snapshot"},
              {"through_offset", through_offset}}
      .dump();
}

std::string_view VerdictName(VerdictKind kind) {
  return kVerdicts[static_cast<size_t>(kind)].name;
}

ResultCode VerdictCode(VerdictKind kind) {
  return kVerdicts[static_cast<size_t>(kind)].code;
}

VerdictKind ReadVerdictKind(const Json& json) {
  for (const VerdictRow& row : kVerdicts)
    if (json.get<std::string>() == row.name)
      return row.kind;
  return VerdictKind::kUnreadable;
}

Json ToJson(const Verdict& verdict) {
  Json json = {
      {"offset", verdict.offset},
      {"verdict", VerdictName(verdict.kind)},
      {"change_id", verdict.change_id},
      {"action", verdict.action == ChangeAction::kPut ? "put" : "delete"},
      {"author", verdict.author},
      {"base", RevisionJson(verdict.base_revision)}};
  if (!verdict.reason.empty())
    json["reason"] = verdict.reason;
  if (verdict.kind == VerdictKind::kConflict) {
    json["current"] = RevisionJson(verdict.current_revision);
    json["current_author"] = verdict.current_author;
  }
  if (verdict.kind == VerdictKind::kDuplicate) {
    json["first"] = verdict.first_offset;
    json["first_verdict"] = VerdictName(verdict.first_kind);
  }
  return json;
}

Verdict ReadVerdict(const Json& json) {
  Verdict verdict;
  verdict.offset = json.at("offset").get<LogOffset>();
  verdict.kind = ReadVerdictKind(json.at("verdict"));
  verdict.change_id = json.at("change_id").get<std::string>();
  verdict.action =
      json.at("action") == "put" ? ChangeAction::kPut : ChangeAction::kDelete;
  verdict.author = json.at("author").get<std::string>();
  verdict.base_revision = ReadRevision(json.at("base"));
  verdict.reason = json.value("reason", "");
  if (json.contains("current")) {
    verdict.current_revision = ReadRevision(json.at("current"));
    verdict.current_author = json.at("current_author").get<std::string>();
  }
  if (json.contains("first")) {
    verdict.first_offset = json.at("first").get<LogOffset>();
    verdict.first_kind = ReadVerdictKind(json.at("first_verdict"));
  }
  return verdict;
}

}  // namespace teaselhill::config
