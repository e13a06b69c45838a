/// \file
/// Encoding and verification of snapshots.

#include "snapshot.h"

#include "codec.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::config {

namespace {

std::string Checksum(const Snapshot& snapshot) {
  return ToHex(
      HashWide(std::to_string(snapshot.through_offset) + ":" + snapshot.state));
}

}  // namespace

std::string EncodeSnapshot(const Snapshot& snapshot) {
  return Json{{"format", kRecordFormat},
              {"through_offset", snapshot.through_offset},
              {"checksum", Checksum(snapshot)},
              {"state", snapshot.state}}
      .dump();
}

Result<Snapshot> DecodeSnapshot(std::string_view text) {
  const Json json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!json.is_object() || !json.contains("format") ||
      !json.contains("through_offset") || !json.contains("checksum") ||
      !json.contains("state") || !json["format"].is_number_unsigned() ||
      !json["through_offset"].is_number_unsigned() ||
      !json["checksum"].is_string() || !json["state"].is_string())
    return {ResultCode::kSnapshotInvalid,
            "a field of the snapshot is missing or has the wrong type"};
  if (json["format"].get<uint64_t>() != kRecordFormat)
    return {ResultCode::kSnapshotInvalid,
            "unsupported snapshot format " + json["format"].dump()};
  Snapshot snapshot{json["through_offset"].get<LogOffset>(),
                    json["state"].get<std::string>()};
  if (json["checksum"].get<std::string>() != Checksum(snapshot))
    return {ResultCode::kSnapshotInvalid,
            "checksum mismatch in the snapshot through offset " +
                std::to_string(snapshot.through_offset)};
  return snapshot;
}

}  // namespace teaselhill::config
