/// \file
/// Records and queries of streams between hosts, encoded as CBOR.

#include "teaselhill/gateway/peer_streams.h"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "teaselhill/support/cbor_check.h"
#include "teaselhill/support/text.h"

namespace teaselhill::gateway {

namespace {

using Json = nlohmann::json;

constexpr const char* kRecordsPath = "/v1/stream-records";
constexpr const char* kQueryPath = "/v1/stream-query";
constexpr const char* kAttemptField = "attempt";
constexpr const char* kServiceField = "service";
constexpr const char* kVersionField = "version";
constexpr const char* kKeepForField = "keep_for_us";
constexpr const char* kKindField = "kind";

std::string ToCbor(const Json& json) {
  const std::vector<uint8_t> encoded = Json::to_cbor(json);
  return {encoded.begin(), encoded.end()};
}

int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

/// Calls `decode` with the decoded CBOR; kProtocolError if it is none or has
/// other fields.
template <typename Decode>
auto DecodeCbor(const std::string& body, Decode decode)
    -> Result<decltype(decode(Json()))> {
  if (!IsBoundedCbor(body))
    return {ResultCode::kProtocolError,
            "not CBOR, or nested too deeply or too long"};
  const Json json = Json::from_cbor(body, /*strict=*/true,
                                    /*allow_exceptions=*/false);
  try {
    return decode(json);
  } catch (const Json::exception& error) {
    return {ResultCode::kProtocolError, error.what()};
  }
}

Json EncodeRecord(const StreamRecord& record) {
  return {{kAttemptField, record.attempt_id},
          {kServiceField, record.origin.service},
          {kVersionField, record.origin.version},
          {kKeepForField, ToMicroseconds(record.keep_for)}};
}

/// Throws a Json::exception if a field is missing or cannot stand in a header.
StreamOrigin DecodeOrigin(const Json& json) {
  StreamOrigin origin{json.at(kServiceField), json.at(kVersionField)};
  for (const std::string* text : {&origin.service, &origin.version}) {
    if (!text->empty() && !IsPrintableText(*text))
      throw Json::other_error::create(0, "origin is not printable text", &json);
  }
  return origin;
}

std::vector<StreamRecord> DecodeRecords(const Json& json) {
  std::vector<StreamRecord> records;
  for (const Json& record : json)
    records.push_back(
        {record.at(kAttemptField), DecodeOrigin(record),
         std::chrono::microseconds(record.at(kKeepForField).get<int64_t>())});
  return records;
}

StreamQuery DecodeQuery(const Json& json) {
  return {json.at(kAttemptField), json.at(kServiceField)};
}

StreamAnswer DecodeAnswer(const Json& json) {
  using Kind = StreamAnswer::Kind;
  const int kind = json.at(kKindField);
  if (kind < 0 || kind > static_cast<int>(Kind::kPastUnknown))
    throw Json::other_error::create(0, "kind is unknown", &json);
  return {static_cast<Kind>(kind), DecodeOrigin(json)};
}

/// Answers to one query.
struct Collection {
  size_t waiting = 0;
  size_t silent_holders = 0;  ///< hosts that would keep a record
  std::vector<StreamAnswer> answers;
  std::function<void(StreamEvidence)> done;

  void Add(const Result<StreamAnswer>& answer, bool is_holder) {
    --waiting;
    if (!done)
      return;
    if (answer)
      answers.push_back(*answer);
    if (answer && is_holder)
      --silent_holders;
    const bool recorded =
        answer && answer->kind == StreamAnswer::Kind::kRecorded;
    if (waiting == 0 || recorded)
      std::exchange(done, nullptr)({std::move(answers), silent_holders == 0});
  }
};

/// Confirmations of records that several hosts get.
struct Confirmation {
  size_t waiting = 0;
  std::function<void()> done;

  void Add(bool confirmed) {
    --waiting;
    if (done && (confirmed || waiting == 0))
      std::exchange(done, nullptr)();
  }
};

}  // namespace

PeerStreams::PeerStreams(PeerExchange& exchange,
                         StreamVersions& versions,
                         PeerStreamsOptions options)
    : exchange_(exchange), versions_(versions), options_(options) {
  exchange_.Serve(kRecordsPath,
                  [this](const std::string& body) { return OnRecords(body); });
  exchange_.Serve(kQueryPath,
                  [this](const std::string& body) { return OnQuery(body); });
}

void PeerStreams::Publish(const std::vector<StreamRecord>& records,
                          std::function<void()> done) {
  std::map<std::string, Json> records_by_holder;
  for (const StreamRecord& record : records) {
    for (const std::string& address :
         exchange_.PeersFor(record.attempt_id, options_.holders))
      records_by_holder[address].push_back(EncodeRecord(record));
  }
  if (records_by_holder.empty())
    return done();
  const auto confirmation = std::make_shared<Confirmation>();
  confirmation->waiting = records_by_holder.size();
  confirmation->done = std::move(done);
  for (const auto& [address, json] : records_by_holder)
    exchange_.Call(address, kRecordsPath, ToCbor(json), options_.timeout,
                   [confirmation](const Result<std::string>& body) {
                     confirmation->Add(body.ok());
                   });
}

void PeerStreams::Ask(const StreamQuery& query,
                      std::function<void(StreamEvidence)> done) {
  const std::vector<std::string> addresses =
      exchange_.PeersFor(query.attempt_id, options_.asked);
  if (addresses.empty())
    return done({});
  const auto collection = std::make_shared<Collection>();
  collection->waiting = addresses.size();
  collection->silent_holders = std::min(options_.holders, addresses.size());
  collection->done = std::move(done);
  const std::string body = ToCbor(
      {{kAttemptField, query.attempt_id}, {kServiceField, query.service}});
  for (size_t i = 0; i < addresses.size(); ++i) {
    const bool is_holder = i < options_.holders;
    exchange_.Call(addresses[i], kQueryPath, body, options_.timeout,
                   [collection, is_holder](const Result<std::string>& answer) {
                     collection->Add(answer
                                         ? DecodeCbor(*answer, DecodeAnswer)
                                         : Result<StreamAnswer>(answer.error()),
                                     is_holder);
                   });
  }
}

Result<std::string> PeerStreams::OnRecords(const std::string& body) {
  const Result<std::vector<StreamRecord>> records =
      DecodeCbor(body, DecodeRecords);
  if (!records)
    return records.error();
  for (const StreamRecord& record : *records)
    versions_.Remember(record, /*own=*/false, BootNow());
  return std::string();
}

Result<std::string> PeerStreams::OnQuery(const std::string& body) {
  const Result<StreamQuery> query = DecodeCbor(body, DecodeQuery);
  if (!query)
    return query.error();
  const StreamAnswer answer = versions_.Answer(*query, BootNow());
  return ToCbor({{kKindField, static_cast<int>(answer.kind)},
                 {kServiceField, answer.origin.service},
                 {kVersionField, answer.origin.version}});
}

}  // namespace teaselhill::gateway
