/// \file
/// Parsing and polling of the host list.

#include "teaselhill/services/host_list_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "teaselhill/support/hash.h"

namespace teaselhill::services {

namespace {

using Json = nlohmann::json;

constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
constexpr double kPeriodJitterFraction = 0.1;
constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
/// Maximum size of a list: 20,000 entries of 200 bytes.
constexpr size_t kMaxListBytes = 4 << 20;

}  // namespace

static ListedHost DecodeHost(const Json& entry) {
  return {entry.at("name"), entry.at("address"), entry.at("domain"),
          entry.value("region", ""), entry.value("state", "") == "leaving"};
}

static ListedUpstream DecodeUpstream(const Json& entry) {
  const bool is_service = entry.value("kind", "") == "service";
  return {entry.at("name"),
          entry.at("url"),
          entry.at("domain"),
          is_service ? config::UpstreamKind::kService
                     : config::UpstreamKind::kEngine,
          entry.value("state", "") == "leaving",
          entry.value("version", "")};
}

Result<HostList> ParseHostList(std::string_view text) {
  try {
    const Json json = Json::parse(text.begin(), text.end());
    HostList list;
    const auto decode_all = [&list](const Json& entries, auto decode,
                                    auto* decoded) {
      for (const Json& entry : entries) {
        try {
          decoded->push_back(decode(entry));
        } catch (const Json::exception&) {
          ++list.unreadable_entries;
        }
      }
    };
    decode_all(json.at("hosts"), DecodeHost, &list.hosts);
    decode_all(json.at("upstreams"), DecodeUpstream, &list.upstreams);
    return list;
  } catch (const Json::exception& e) {
    return {ResultCode::kProtocolError,
            std::string("malformed host list: ") + e.what()};
  }
}

HttpHostListClient::HttpHostListClient(net::HttpClient& client,
                                       TimerService& timers,
                                       Rng& rng,
                                       HostListOptions options)
    : client_(client),
      timers_(timers),
      rng_(rng),
      options_(std::move(options)),
      backoff_(rng, {std::chrono::seconds(1), options_.period}) {}

HttpHostListClient::~HttpHostListClient() = default;

void HttpHostListClient::Start(Callback callback) {
  callback_ = std::move(callback);
  Poll();
}

void HttpHostListClient::Poll() {
  net::ClientRequest request;
  request.url = options_.base_url + "/v1/hosts";
  request.source_address = options_.source_address;
  request.total_timeout = kAnswerTimeout;
  request.purpose = "host_list";
  if (!etag_.empty())
    request.headers.push_back({"If-None-Match", etag_});
  client_.Fetch(
      std::move(request),
      [this,
       alive = std::weak_ptr<int>(alive_)](Result<net::ClientResponse> answer) {
        if (!alive.expired())
          OnAnswer(std::move(answer));
      },
      kMaxListBytes);
}

void HttpHostListClient::OnAnswer(Result<net::ClientResponse> answer) {
  const bool unchanged = answer.ok() && answer->status == kHttpNotModified;
  if (!answer.ok() || (answer->status != kHttpOk && !unchanged)) {
    PollAfter(backoff_.NextDelay());
    callback_({ResultCode::kHostListUnavailable,
               answer.ok() ? "the host list service returned status " +
                                 std::to_string(answer->status)
                           : answer.error().message});
    return;
  }
  backoff_.Reset();
  const bool small =
      unchanged || answer->body.size() <= options_.small_list_bytes;
  const double body_bytes =
      small ? 0 : static_cast<double>(answer->body.size());
  const double period = std::max(ToSeconds(options_.period),
                                 body_bytes / options_.max_bytes_per_second);
  PollAfter(FromSeconds(
      period * (1 + kPeriodJitterFraction * (2 * rng_.Uniform() - 1))));
  if (unchanged)
    return;
  const uint64_t hash = Hash64(answer->body);
  if (hash == last_body_hash_)
    return;
  Result<HostList> list = ParseHostList(answer->body);
  if (list.ok()) {
    last_body_hash_ = hash;
    etag_ = std::string(net::FindHeader(answer->headers, "ETag").value_or(""));
  }
  callback_(std::move(list));
}

void HttpHostListClient::PollAfter(Duration delay) {
  timer_ = timers_.After(delay, [this](TimePoint) { Poll(); });
}

}  // namespace teaselhill::services
