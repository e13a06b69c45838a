/// \file
/// Log client over HTTP.

#include "teaselhill/services/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace teaselhill::services {

namespace {

using Json = nlohmann::json;

/// Timeout of an append.
constexpr Duration kAppendTimeout = std::chrono::seconds(5);
/// Timeout of an answer that has no records.
constexpr Duration kBoundsTimeout = std::chrono::seconds(1);
/// Offset beyond the end of any stream. The answer to a read from this offset
/// has the retained range and no records.
constexpr LogOffset kOffsetBeyondEnd = LogOffset{1} << 62;
constexpr size_t kMaxPageBytes = 64 << 20;
/// Maximum size of an answer without records.
constexpr size_t kMaxShortAnswerBytes = 64 << 10;
constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpFirstServerError = 500;
constexpr int kHttpGatewayTimeout = 504;

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Result<LogPage> ParsePage(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    LogPage page;
    page.first_retained = json.at("first_retained").get<LogOffset>();
    page.next_offset = json.at("next_offset").get<LogOffset>();
    for (const Json& entry : json.at("records"))
      page.records.push_back({entry.at("offset").get<LogOffset>(),
                              WallTime(std::chrono::milliseconds(
                                  entry.at("time_ms").get<int64_t>())),
                              entry.at("data").dump()});
    return page;
  } catch (const Json::exception& e) {
    return {ResultCode::kProtocolError,
            std::string("malformed page from the log: ") + e.what()};
  }
}

Result<LogPage> ParseReadAnswer(const Result<net::ClientResponse>& answer) {
  if (!answer)
    return {ResultCode::kLogUnavailable, answer.error().message};
  if (answer->status == kHttpGone)
    return {ResultCode::kOffsetDropped, "the log no longer retains the offset"};
  if (answer->status != kHttpOk)
    return {ResultCode::kLogUnavailable,
            "the log returned status " + std::to_string(answer->status)};
  return ParsePage(answer->body);
}

Result<LogOffset> ParseAppendBody(const net::ClientResponse& response) {
  const Json json = Json::parse(response.body, nullptr, false);
  if (!json.is_object() || !json.contains("first_offset") ||
      !json["first_offset"].is_number_unsigned())
    return {ResultCode::kAppendUnknown,
            "malformed answer of the log to an append"};
  return json["first_offset"].get<LogOffset>();
}

/// Collects the answer to an append. Fetch() cannot be used, because it does
/// not report whether the request may have been sent.
class AppendTransfer : public net::TransferHandler {
 public:
  AppendTransfer(std::weak_ptr<int> alive, AppendCallback callback)
      : alive_(std::move(alive)), callback_(std::move(callback)) {}

  void OnHead(int status, const net::Headers&) override {
    response_.status = status;
  }
  void OnData(std::string_view data) override { response_.body.append(data); }
  void OnEnd(const net::TransferEnd& end) override {
    if (!alive_.expired())
      callback_(ToResult(end));
  }

 private:
  Result<LogOffset> ToResult(const net::TransferEnd& end) const {
    if (end.code != ResultCode::kOk)
      return {end.may_have_been_sent ? ResultCode::kAppendUnknown
                                     : ResultCode::kLogUnavailable,
              end.detail};
    const std::string status =
        "the log returned status " + std::to_string(response_.status);
    if (response_.status == kHttpTooManyRequests)
      return {ResultCode::kLogRateLimited, status};
    if (response_.status == kHttpOk)
      return ParseAppendBody(response_);
    // With status 503 the log has rejected the append. Other server errors, for
    // instance those of a load balancer, may follow an append that took effect.
    const bool unknown =
        response_.status >= kHttpGatewayTimeout ||
        (response_.status >= kHttpFirstServerError &&
         response_.status != Describe(ResultCode::kLogUnavailable).http_status);
    return {unknown ? ResultCode::kAppendUnknown : ResultCode::kLogUnavailable,
            status};
  }

  std::weak_ptr<int> alive_;
  AppendCallback callback_;
  net::ClientResponse response_;
};

}  // namespace

void LogClient::ReadBounds(const std::string& stream, ReadCallback callback) {
  Read({stream, kOffsetBeyondEnd, 1, Duration{}, kBoundsTimeout},
       std::move(callback));
}

HttpLogClient::HttpLogClient(net::HttpClient& client,
                             std::string base_url,
                             std::string source_address)
    : client_(client),
      base_url_(std::move(base_url)),
      source_address_(std::move(source_address)) {}

HttpLogClient::~HttpLogClient() = default;

std::string HttpLogClient::RecordsUrl(const std::string& stream) const {
  return base_url_ + "/v1/streams/" + net::EncodeUrlComponent(stream) +
         "/records";
}

void HttpLogClient::Append(const std::string& stream,
                           std::vector<std::string> records,
                           AppendCallback callback) {
  net::ClientRequest request;
  request.purpose = "log";
  request.method = "POST";
  request.url = RecordsUrl(stream);
  request.headers = {{"Content-Type", "application/json"}};
  request.source_address = source_address_;
  request.total_timeout = kAppendTimeout;
  request.max_body_bytes = kMaxShortAnswerBytes;
  // On a reused connection libcurl may retry a request, which could append the
  // records twice.
  request.fresh_connection = true;
  request.body = "{\"records\":[";
  for (size_t i = 0; i < records.size(); ++i)
    request.body += (i == 0 ? "" : ",") + records[i];
  request.body += "]}";
  const auto observed =
      [this, callback = std::move(callback)](const Result<LogOffset>& answer) {
        if (!answer && answer.error().code != ResultCode::kLogRateLimited)
          monitor().OnNoAnswer();
        callback(answer);
      };
  client_.Start(std::move(request),
                std::make_shared<AppendTransfer>(alive_, observed));
}

void HttpLogClient::Read(const LogRead& read, ReadCallback callback) {
  net::ClientRequest request;
  request.purpose = "log";
  request.url = RecordsUrl(read.stream) + "?from=" + std::to_string(read.from) +
                "&limit=" + std::to_string(read.limit) +
                "&wait_ms=" + std::to_string(ToMilliseconds(read.wait));
  request.source_address = source_address_;
  request.total_timeout = read.wait + read.answer_timeout;
  client_.Fetch(
      std::move(request),
      [alive = std::weak_ptr<int>(alive_), callback = std::move(callback)](
          const Result<net::ClientResponse>& answer) {
        if (!alive.expired())
          callback(ParseReadAnswer(answer));
      },
      read.from == kOffsetBeyondEnd ? kMaxShortAnswerBytes : kMaxPageBytes);
}

}  // namespace teaselhill::services
