/// \file
/// CBOR encoding of the messages between hosts.

#include "teaselhill/gateway/peer_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "teaselhill/support/cbor_check.h"
#include "teaselhill/support/text.h"

namespace teaselhill::gateway {

namespace {

using Json = nlohmann::json;

constexpr const char* kIdField = "id";
constexpr const char* kSenderField = "sender";
constexpr const char* kRecordsField = "records";
constexpr const char* kLimitsField = "limits";
constexpr const char* kNoticesField = "notices";
constexpr const char* kRefusalsField = "refusals";
constexpr const char* kUnreachableField = "unreachable";
constexpr const char* kSpeedsField = "speeds";
constexpr const char* kServiceField = "service";
constexpr const char* kSpeedField = "speed";
constexpr const char* kReserveNeedsField = "reserve_needs";
constexpr const char* kHostField = "host";
constexpr const char* kFractionField = "fraction";
constexpr const char* kLeavingField = "leaving";
constexpr const char* kCutOffField = "cut_off";
constexpr const char* kPauseField = "pause_us";
constexpr const char* kLimitField = "requests_per_second";
constexpr const char* kFingerprintField = "fingerprint";
constexpr const char* kWithdrawnField = "withdrawn";
constexpr const char* kUpstreamField = "upstream";
constexpr const char* kIncarnationField = "incarnation";
constexpr const char* kAgeField = "age_us";
constexpr const char* kRunTimeField = "run_time_us";
constexpr const char* kAnsweringField = "answering_us";
constexpr const char* kSilentField = "silent_us";
constexpr const char* kGivenUpField = "given_up";
constexpr const char* kTeamField = "team";
constexpr const char* kMessagesField = "messages";
constexpr const char* kTextField = "text";

int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

Duration ReadDuration(const Json& object, const char* field) {
  return std::chrono::microseconds(
      std::max<int64_t>(0, object.at(field).get<int64_t>()));
}

/// Throws a Json::exception if the field is missing or not printable text,
/// which CBOR does not assure.
std::string ReadText(const Json& object, const char* field) {
  std::string text = object.at(field).get<std::string>();
  if (!IsPrintableText(text))
    throw Json::other_error::create(
        0, std::string(field) + " is not printable text", &object);
  return text;
}

/// As ReadText(); a host that has no peers of its own sends no name.
std::string ReadSender(const Json& object) {
  const bool is_empty = object.at(kSenderField) == "";
  return is_empty ? std::string() : ReadText(object, kSenderField);
}

Json EncodeProcess(const UpstreamProcess& process) {
  return {{kUpstreamField, process.id},
          {kIncarnationField, process.incarnation}};
}

/// Throws a Json::exception if a field is missing or of another type.
UpstreamProcess DecodeProcess(const Json& object) {
  return {ReadText(object, kUpstreamField),
          object.at(kIncarnationField).get<uint64_t>()};
}

Json EncodeRecord(const CrashRecord& record) {
  Json object = {{kFingerprintField, ToHex(record.key)},
                 {kIdField, record.id},
                 {kWithdrawnField, record.withdrawn}};
  if (record.withdrawn)
    return object;
  object[kUpstreamField] = record.upstream.id;
  object[kIncarnationField] = record.upstream.incarnation;
  object[kAgeField] = ToMicroseconds(record.age);
  object[kRunTimeField] = ToMicroseconds(record.run_time);
  object[kAnsweringField] = ToMicroseconds(record.answering_for);
  object[kSilentField] = ToMicroseconds(record.silent_for);
  object[kGivenUpField] = record.kind == LossKind::kGivenUp;
  object[kTeamField] = record.team;
  return object;
}

/// Throws a Json::exception if a field is missing or of another type.
CrashRecord DecodeRecord(const Json& object) {
  CrashRecord record;
  if (!FromHex(object.at(kFingerprintField).get<std::string>(), &record.key))
    throw Json::other_error::create(0, "fingerprint is invalid", &object);
  record.id = object.at(kIdField).get<uint64_t>();
  record.withdrawn = object.at(kWithdrawnField).get<bool>();
  if (record.withdrawn)
    return record;
  record.upstream.id = ReadText(object, kUpstreamField);
  record.upstream.incarnation = object.at(kIncarnationField).get<uint64_t>();
  record.age = ReadDuration(object, kAgeField);
  record.run_time = ReadDuration(object, kRunTimeField);
  record.answering_for = ReadDuration(object, kAnsweringField);
  record.silent_for = ReadDuration(object, kSilentField);
  if (object.at(kGivenUpField).get<bool>())
    record.kind = LossKind::kGivenUp;
  // Hosts of an older version leave the team out.
  record.team = object.value(kTeamField, uint64_t{0});
  return record;
}

/// A limit that has ended has no value.
Json EncodeLimit(const LimitObservation& limit) {
  Json object = {{kUpstreamField, limit.upstream.id},
                 {kIncarnationField, limit.upstream.incarnation},
                 {kAgeField, ToMicroseconds(limit.age)}};
  if (limit.requests_per_second)
    object[kLimitField] = *limit.requests_per_second;
  return object;
}

/// Throws a Json::exception if a field is missing or of another type.
LimitObservation DecodeLimit(const Json& object) {
  LimitObservation limit;
  limit.upstream.id = ReadText(object, kUpstreamField);
  limit.upstream.incarnation = object.at(kIncarnationField).get<uint64_t>();
  limit.age = ReadDuration(object, kAgeField);
  if (!object.contains(kLimitField))
    return limit;
  limit.requests_per_second = object.at(kLimitField).get<double>();
  if (!(*limit.requests_per_second >= 0))
    throw Json::other_error::create(0, "limit is negative", &object);
  return limit;
}

Json EncodeNotice(const NoticeObservation& notice) {
  return {{kUpstreamField, notice.upstream.id},
          {kIncarnationField, notice.upstream.incarnation},
          {kLeavingField, notice.leaving},
          {kPauseField, ToMicroseconds(notice.pause)}};
}

/// Throws a Json::exception if a field is missing or of another type.
NoticeObservation DecodeNotice(const Json& object) {
  NoticeObservation notice;
  notice.upstream.id = ReadText(object, kUpstreamField);
  notice.upstream.incarnation = object.at(kIncarnationField).get<uint64_t>();
  notice.leaving = object.at(kLeavingField).get<bool>();
  notice.pause = ReadDuration(object, kPauseField);
  return notice;
}

Json EncodeSpeed(const engines::EngineSpeed& speed) {
  Json object = EncodeProcess(speed.engine);
  object[kServiceField] = speed.service;
  object[kSpeedField] = speed.speed;
  return object;
}

/// Adds the speed, unless a value is one that no host uses: another build must
/// not cost this host the rest of the message. Throws a Json::exception if a
/// field is missing or of another type.
void DecodeSpeed(const Json& object,
                 std::vector<engines::EngineSpeed>* speeds) {
  engines::EngineSpeed speed;
  speed.engine.id = object.at(kUpstreamField).get<std::string>();
  speed.engine.incarnation = object.at(kIncarnationField).get<uint64_t>();
  speed.service = object.at(kServiceField).get<std::string>();
  speed.speed = object.at(kSpeedField).get<double>();
  if (IsPrintableText(speed.engine.id) && IsPrintableText(speed.service) &&
      speed.speed > 0)
    speeds->push_back(std::move(speed));
}

Json EncodeReserveNeed(const engines::ReserveNeed& need) {
  return {{kHostField, need.host},
          {kServiceField, need.service},
          {kFractionField, need.fraction}};
}

/// As DecodeSpeed().
void DecodeReserveNeed(const Json& object,
                       std::vector<engines::ReserveNeed>* needs) {
  engines::ReserveNeed need;
  need.host = object.at(kHostField).get<std::string>();
  need.service = object.at(kServiceField).get<std::string>();
  need.fraction = object.at(kFractionField).get<double>();
  if (IsPrintableText(need.host) && IsPrintableText(need.service) &&
      need.fraction > 0 && need.fraction <= 1)
    needs->push_back(std::move(need));
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Json records = Json::array();
  for (const CrashRecord& record : message.records)
    records.push_back(EncodeRecord(record));
  Json limits = Json::array();
  for (const LimitObservation& limit : message.observations.limits)
    limits.push_back(EncodeLimit(limit));
  Json notices = Json::array();
  for (const NoticeObservation& notice : message.observations.notices)
    notices.push_back(EncodeNotice(notice));
  Json object = {{kIdField, message.id},
                 {kSenderField, message.sender},
                 {kRecordsField, std::move(records)},
                 {kLimitsField, std::move(limits)},
                 {kNoticesField, std::move(notices)}};
  for (const UpstreamProcess& upstream : message.observations.refusals)
    object[kRefusalsField].push_back(EncodeProcess(upstream));
  for (const UpstreamProcess& upstream : message.observations.unreachable)
    object[kUnreachableField].push_back(EncodeProcess(upstream));
  for (const engines::EngineSpeed& speed : message.observations.speeds)
    object[kSpeedsField].push_back(EncodeSpeed(speed));
  for (const engines::ReserveNeed& need : message.observations.reserve_needs)
    object[kReserveNeedsField].push_back(EncodeReserveNeed(need));
  if (message.cut_off)
    object[kCutOffField] = *message.cut_off;
  const std::vector<uint8_t> encoded = Json::to_cbor(object);
  return {encoded.begin(), encoded.end()};
}

Result<PeerMessage> DecodePeerMessage(std::string_view text) {
  if (!IsBoundedCbor(text))
    return {ResultCode::kProtocolError,
            "peer message: not CBOR, or nested too deeply or too long"};
  const Json object = Json::from_cbor(text.begin(), text.end(), /*strict=*/true,
                                      /*allow_exceptions=*/false);
  try {
    PeerMessage message;
    message.id = object.at(kIdField).get<uint64_t>();
    message.sender = ReadSender(object);
    for (const Json& record : object.at(kRecordsField))
      message.records.push_back(DecodeRecord(record));
    for (const Json& limit : object.at(kLimitsField))
      message.observations.limits.push_back(DecodeLimit(limit));
    // Hosts of an older version leave the notices out.
    for (const Json& notice : object.value(kNoticesField, Json::array()))
      message.observations.notices.push_back(DecodeNotice(notice));
    for (const Json& refusal : object.value(kRefusalsField, Json::array()))
      message.observations.refusals.push_back(DecodeProcess(refusal));
    for (const Json& process : object.value(kUnreachableField, Json::array()))
      message.observations.unreachable.push_back(DecodeProcess(process));
    for (const Json& speed : object.value(kSpeedsField, Json::array()))
      DecodeSpeed(speed, &message.observations.speeds);
    for (const Json& need : object.value(kReserveNeedsField, Json::array()))
      DecodeReserveNeed(need, &message.observations.reserve_needs);
    if (object.contains(kCutOffField))
      message.cut_off = object.at(kCutOffField).get<bool>();
    return message;
  } catch (const Json::exception& error) {
    return {ResultCode::kProtocolError,
            std::string("peer message: ") + error.what()};
  }
}

void AddAge(Duration age, PeerMessage* message) {
  for (CrashRecord& record : message->records)
    record.age += age;
  for (LimitObservation& limit : message->observations.limits)
    limit.age += age;
  for (NoticeObservation& notice : message->observations.notices)
    notice.pause = std::max<Duration>(Duration::zero(), notice.pause - age);
}

std::string EncodePeerBundle(const std::vector<BundledMessage>& messages) {
  Json list = Json::array();
  for (const BundledMessage& message : messages) {
    list.push_back({{kIdField, message.id},
                    {kAgeField, ToMicroseconds(message.age)},
                    {kTextField, Json::binary({message.text.begin(),
                                               message.text.end()})}});
  }
  const std::vector<uint8_t> encoded =
      Json::to_cbor({{kMessagesField, std::move(list)}});
  return {encoded.begin(), encoded.end()};
}

Result<std::vector<BundledMessage>> DecodePeerBundle(std::string_view text) {
  if (!IsBoundedCbor(text))
    return {ResultCode::kProtocolError,
            "peer bundle: not CBOR, or nested too deeply or too long"};
  const Json object = Json::from_cbor(text.begin(), text.end(), /*strict=*/true,
                                      /*allow_exceptions=*/false);
  try {
    std::vector<BundledMessage> messages;
    for (const Json& item : object.at(kMessagesField)) {
      const Json::binary_t& bytes = item.at(kTextField).get_binary();
      messages.push_back({item.at(kIdField).get<uint64_t>(),
                          ReadDuration(item, kAgeField),
                          std::string(bytes.begin(), bytes.end())});
    }
    return messages;
  } catch (const Json::exception& error) {
    return {ResultCode::kProtocolError,
            std::string("peer bundle: ") + error.what()};
  }
}

}  // namespace teaselhill::gateway
