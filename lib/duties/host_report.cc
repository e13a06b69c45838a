/// \file
/// CBOR encoding of what hosts tell the holder of the duties.

#include "teaselhill/duties/host_report.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "teaselhill/support/cbor_check.h"
#include "teaselhill/support/text.h"

namespace teaselhill::duties {

namespace {

using Json = nlohmann::json;

constexpr const char* kHostField = "host";
constexpr const char* kIncarnationField = "incarnation";
constexpr const char* kLastCountField = "last_count";
constexpr const char* kAfterCountField = "after_count";
/// By team: ages in milliseconds and requests in turn.
constexpr const char* kUsageField = "usage";
constexpr const char* kWorkField = "work";
constexpr const char* kServiceField = "service";
constexpr const char* kDomainField = "domain";
constexpr const char* kTierField = "tier";
constexpr const char* kRequestsField = "requests";
constexpr const char* kPromptTokensField = "prompt_tokens";
constexpr const char* kGeneratedTokensField = "generated_tokens";
constexpr const char* kRunningField = "running";
constexpr const char* kWaitingField = "waiting";
constexpr const char* kStartedField = "started";
constexpr const char* kStartedLateField = "started_late";
constexpr const char* kRefusedField = "refused";

/// Keeps sums of ages and times within the range of Duration.
constexpr std::chrono::hours kMaxAge{24};

constexpr uint64_t kMaxTier = 1000;

[[noreturn]] void Fail(const std::string& fault, const Json& object) {
  throw Json::other_error::create(0, fault, &object);
}

/// Throws a Json::exception unless `value` is an integer from 0 to `max`, which
/// a conversion by the library does not check.
uint64_t ReadCount(const Json& value, uint64_t max) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > max)
    Fail("not a count, or too large", value);
  return value.get<uint64_t>();
}

uint64_t ReadUint64(const Json& object, const char* field) {
  return ReadCount(object.at(field), std::numeric_limits<uint64_t>::max());
}

uint32_t ReadUint32(const Json& object, const char* field) {
  return static_cast<uint32_t>(
      ReadCount(object.at(field), std::numeric_limits<uint32_t>::max()));
}

std::string ReadText(const Json& object, const char* field) {
  std::string text = object.at(field).get<std::string>();
  if (!IsPrintableText(text))
    Fail(std::string(field) + " is not printable text", object);
  return text;
}

/// As ReadText(); a request that was refused before an engine was chosen has no
/// failure domain.
std::string ReadDomain(const Json& object) {
  const bool is_empty = object.at(kDomainField) == "";
  return is_empty ? std::string() : ReadText(object, kDomainField);
}

uint64_t ToMillis(Duration age) {
  const Duration bounded = std::clamp<Duration>(age, Duration::zero(), kMaxAge);
  return static_cast<uint64_t>(
      std::chrono::round<std::chrono::milliseconds>(bounded).count());
}

Json EncodeUsage(const std::vector<UsageCount>& usage) {
  Json by_team = Json::object();
  for (const UsageCount& count : usage) {
    Json& numbers = by_team[count.team];
    numbers.push_back(ToMillis(count.age));
    numbers.push_back(count.requests);
  }
  return by_team;
}

std::vector<UsageCount> DecodeUsage(const Json& by_team) {
  if (!by_team.is_object())
    Fail("usage is not a map", by_team);
  std::vector<UsageCount> usage;
  for (const auto& [team, numbers] : by_team.items()) {
    if (!IsPrintableText(team) || !numbers.is_array() ||
        numbers.size() % 2 != 0)
      Fail("counts of a team are invalid", by_team);
    for (size_t i = 0; i < numbers.size(); i += 2) {
      const uint64_t age_ms = ReadCount(
          numbers[i],
          static_cast<uint64_t>(std::chrono::milliseconds(kMaxAge).count()));
      const uint64_t requests =
          ReadCount(numbers[i + 1], std::numeric_limits<uint32_t>::max());
      usage.push_back({team, std::chrono::milliseconds(age_ms),
                       static_cast<uint32_t>(requests)});
    }
  }
  return usage;
}

Json EncodeWork(const EngineWork& work) {
  return {{kServiceField, work.service},
          {kDomainField, work.domain},
          {kTierField, std::max(0, work.tier)},
          {kRequestsField, work.requests},
          {kPromptTokensField, work.prompt_tokens},
          {kGeneratedTokensField, work.generated_tokens},
          {kRunningField, work.running},
          {kWaitingField, work.waiting},
          {kStartedField, work.started},
          {kStartedLateField, work.started_late},
          {kRefusedField, work.refused}};
}

EngineWork DecodeWork(const Json& object) {
  EngineWork work;
  work.service = ReadText(object, kServiceField);
  work.domain = ReadDomain(object);
  work.tier = static_cast<int>(ReadCount(object.at(kTierField), kMaxTier));
  work.requests = ReadUint32(object, kRequestsField);
  work.prompt_tokens = ReadUint64(object, kPromptTokensField);
  work.generated_tokens = ReadUint64(object, kGeneratedTokensField);
  work.running = ReadUint32(object, kRunningField);
  work.waiting = ReadUint32(object, kWaitingField);
  work.started = ReadUint32(object, kStartedField);
  work.started_late = ReadUint32(object, kStartedLateField);
  work.refused = ReadUint32(object, kRefusedField);
  return work;
}

std::string ToCbor(const Json& object) {
  const std::vector<uint8_t> encoded = Json::to_cbor(object);
  return {encoded.begin(), encoded.end()};
}

/// Calls `decode` with the decoded object; what it throws becomes an error.
template <typename T, typename Decode>
Result<T> FromCbor(std::string_view text,
                   const std::string& name,
                   Decode decode) {
  if (!IsBoundedCbor(text))
    return {ResultCode::kProtocolError,
            name + ": not CBOR, or nested too deeply or too long"};
  const Json object = Json::from_cbor(text.begin(), text.end(), /*strict=*/true,
                                      /*allow_exceptions=*/false);
  try {
    return decode(object);
  } catch (const Json::exception& error) {
    return {ResultCode::kProtocolError, name + ": " + error.what()};
  }
}

}  // namespace

std::string EncodeHostReport(const HostReport& report) {
  Json object = {{kHostField, report.host},
                 {kIncarnationField, report.incarnation},
                 {kLastCountField, report.last_count},
                 {kUsageField, EncodeUsage(report.usage)}};
  for (const EngineWork& work : report.work)
    object[kWorkField].push_back(EncodeWork(work));
  return ToCbor(object);
}

Result<HostReport> DecodeHostReport(std::string_view text) {
  return FromCbor<HostReport>(text, "host report", [](const Json& object) {
    HostReport report;
    report.host = ReadText(object, kHostField);
    report.incarnation = ReadUint64(object, kIncarnationField);
    report.last_count = ReadUint64(object, kLastCountField);
    report.usage = DecodeUsage(object.at(kUsageField));
    for (const Json& work : object.value(kWorkField, Json::array()))
      report.work.push_back(DecodeWork(work));
    return report;
  });
}

std::string EncodeHostReportQuery(const HostReportQuery& query) {
  return ToCbor({{kIncarnationField, query.incarnation},
                 {kAfterCountField, query.after_count}});
}

Result<HostReportQuery> DecodeHostReportQuery(std::string_view text) {
  return FromCbor<HostReportQuery>(
      text, "host report query", [](const Json& object) {
        HostReportQuery query;
        query.incarnation = ReadUint64(object, kIncarnationField);
        query.after_count = ReadUint64(object, kAfterCountField);
        return query;
      });
}

}  // namespace teaselhill::duties
