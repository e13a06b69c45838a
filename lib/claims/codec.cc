/// \file
/// JSON form of the records of stream `claims`.

#include <nlohmann/json.hpp>

#include "teaselhill/claims/messages.h"

namespace teaselhill::claims {

using nlohmann::json;

std::string EncodeBatch(const ClaimBatch& batch) {
  json claims = json::array();
  for (const Claim& claim : batch.claims) {
    claims.push_back({ToHex(claim.key), claim.body_hash,
                      claim.key_time.time_since_epoch().count(),
                      claim.next_read_offset});
  }
  json releases = json::array();
  for (const Release& release : batch.releases)
    releases.push_back({ToHex(release.key), release.claim_offset});
  return json{{"host", batch.holder.host},
              {"incarnation", batch.holder.incarnation},
              {"batch", batch.number},
              {"claims", std::move(claims)},
              {"releases", std::move(releases)}}
      .dump();
}

static Hash128 ParseKeyHash(const json& value) {
  Hash128 key;
  if (!FromHex(value.get_ref<const std::string&>(), &key))
    throw std::invalid_argument("key is not 32 hexadecimal digits");
  return key;
}

Result<ClaimBatch> DecodeBatch(const std::string& text) {
  try {
    const json object = json::parse(text);
    ClaimBatch batch;
    batch.holder.host = object.at("host").get<std::string>();
    batch.holder.incarnation = object.at("incarnation").get<uint64_t>();
    batch.number = object.at("batch").get<uint64_t>();
    for (const json& row : object.at("claims")) {
      batch.claims.push_back(
          {ParseKeyHash(row.at(0)), row.at(1).get<uint64_t>(),
           WallTime(std::chrono::milliseconds(row.at(2).get<int64_t>())),
           row.at(3).get<LogOffset>()});
    }
    for (const json& row : object.at("releases"))
      batch.releases.push_back(
          {ParseKeyHash(row.at(0)), row.at(1).get<LogOffset>()});
    return batch;
  } catch (const std::exception& failure) {
    return Error{ResultCode::kUnreadableRecord,
                 std::string("claim batch: ") + failure.what()};
  }
}

}  // namespace teaselhill::claims
