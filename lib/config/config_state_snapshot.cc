/// \file
/// Snapshots of the replayed `config` stream.

#include <string>
#include <string_view>
#include <utility>

#include "codec.h"
#include "config_state_impl.h"
#include "snapshot.h"

namespace teaselhill::config {

std::string ConfigState::Impl::Export() const {
  if (next_offset_ == kFirstOffset)
    return "";
  return EncodeSnapshot({next_offset_ - 1, ExportState()});
}

std::string ConfigState::Impl::ExportState() const {
  Json json = {{"snapshot_next", snapshot_next_},
               {"unattributed", unattributed_},
               {"changes", Json::array()},
               {"objects", Json::array()}};
  for (const std::string& id : seen_order_) {
    const SeenChange& seen = seen_.at(id);
    json["changes"].push_back({id, seen.offset, VerdictName(seen.kind)});
  }
  for (const auto& [id, object] : objects_) {
    Json entry = {{"object", ObjectKindName(id.kind)},
                  {"name", id.name},
                  {"touched", object.touched},
                  {"author", object.author},
                  {"live", object.live},
                  {"closed", object.closed},
                  {"history", Json::array()}};
    if (object.revision != kNoRevision)
      entry["revision"] = object.revision;
    if (object.contract)
      entry["body"] = ToJson(*object.contract);
    if (object.assignment)
      entry["body"] = ToJson(*object.assignment);
    for (const Verdict& verdict : object.history)
      entry["history"].push_back(ToJson(verdict));
    json["objects"].push_back(std::move(entry));
  }
  return json.dump();
}

Result<SnapshotOutcome> ConfigState::Impl::Adopt(std::string_view text) {
  const auto snapshot = DecodeSnapshot(text);
  if (!snapshot)
    return snapshot.error();
  if (snapshot->through_offset < next_offset_)
    return SnapshotOutcome::kOlder;
  Impl loaded(limits_);
  const Status status = loaded.LoadState(snapshot->state);
  if (!status)
    return status.error();
  loaded.next_offset_ = snapshot->through_offset + 1;
  *this = std::move(loaded);
  return SnapshotOutcome::kAdopted;
}

Status ConfigState::Impl::LoadState(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    snapshot_next_ = json.at("snapshot_next").get<LogOffset>();
    unattributed_ = json.at("unattributed").get<uint64_t>();
    for (const Json& entry : json.at("changes"))
      RecordChangeId(
          entry.at(0).get<std::string>(),
          {entry.at(1).get<LogOffset>(), ReadVerdictKind(entry.at(2))});
    for (const Json& entry : json.at("objects"))
      LoadObject(entry);
  } catch (const Json::exception& e) {
    return {
        ResultCode::kSnapshotInvalid,
        std::string("the state in the snapshot cannot be read: ") + e.what()};
  }
  return Ok{};
}

void ConfigState::Impl::LoadObject(const Json& json) {
  const auto kind = ParseObjectKind(json.at("object").get<std::string>());
  if (!kind)
    return;
  const ObjectId id{*kind, json.at("name").get<std::string>()};
  ConfiguredObject object;
  object.revision = json.value("revision", kNoRevision);
  object.touched = json.at("touched").get<LogOffset>();
  object.author = json.at("author").get<std::string>();
  object.live = json.at("live").get<bool>();
  object.closed = json.at("closed").get<bool>();
  if (json.contains("body")) {
    ValidationErrors errors;
    if (*kind == ObjectKind::kContract)
      object.contract =
          ReadBody<Contract>(json["body"], &ReadContract, &errors);
    else
      object.assignment =
          ReadBody<UpstreamAssignment>(json["body"], &ReadAssignment, &errors);
    object.closed |= !errors.empty();
  }
  for (const Json& verdict : json.at("history")) {
    object.history.push_back(ReadVerdict(verdict));
    object.history.back().object = id;
  }
  objects_[id] = std::move(object);
}

}  // namespace teaselhill::config
