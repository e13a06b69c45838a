/// \file
/// Weight store client over HTTP.

#include "teaselhill/services/weight_store_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace teaselhill::services {

namespace {

using Json = nlohmann::json;

constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
/// Maximum size of an answer, which holds one number.
constexpr size_t kMaxAnswerBytes = 16 << 10;
constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;

Result<Duration> ParseAnswer(const Result<net::ClientResponse>& answer) {
  if (!answer)
    return answer.error();
  if (answer->status == kHttpTooManyRequests)
    return {ResultCode::kWeightStoreLimited,
            "the weight store returned status 429"};
  const Json json = Json::parse(answer->body, nullptr, false);
  if (answer->status != kHttpOk || !json.is_object() ||
      !json.contains("ready_in_ms") || !json["ready_in_ms"].is_number())
    return {ResultCode::kProtocolError, "the weight store returned status " +
                                            std::to_string(answer->status)};
  return Duration(
      std::chrono::milliseconds(json["ready_in_ms"].get<int64_t>()));
}

}  // namespace

HttpWeightStoreClient::HttpWeightStoreClient(net::HttpClient& client,
                                             std::string base_url,
                                             std::string source_address)
    : client_(client),
      base_url_(std::move(base_url)),
      source_address_(std::move(source_address)) {}

HttpWeightStoreClient::~HttpWeightStoreClient() = default;

void HttpWeightStoreClient::Fetch(const std::string& model, Callback callback) {
  net::ClientRequest request;
  request.purpose = "weight_store";
  request.method = "POST";
  request.url = base_url_ + "/v1/fetches";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = Json{{"model", model}}.dump();
  request.source_address = source_address_;
  request.total_timeout = kAnswerTimeout;
  client_.Fetch(
      std::move(request),
      [alive = std::weak_ptr<int>(alive_), callback = std::move(callback)](
          const Result<net::ClientResponse>& answer) {
        if (!alive.expired())
          callback(ParseAnswer(answer));
      },
      kMaxAnswerBytes);
}

}  // namespace teaselhill::services
