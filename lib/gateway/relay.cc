/// \file
/// Headers between hosts, and the choice of the serving host.

#include "teaselhill/gateway/relay.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace teaselhill::gateway {

namespace {

constexpr std::string_view kOriginHeader = "X-Teaselhill-Relay-Host";
constexpr std::string_view kAttemptsLeftHeader = "X-Teaselhill-Attempts-Left";
constexpr std::string_view kServiceHeader = "X-Teaselhill-Service";
constexpr std::string_view kVersionHeader = "X-Teaselhill-Version";
constexpr std::string_view kRunsHeader = "X-Teaselhill-Runs";
/// Set in every response that a host gives by itself; see net::ErrorHeaders().
constexpr std::string_view kCodeHeader = "X-Teaselhill-Code";

/// A day; keeps the delay within the range of Duration.
constexpr double kMaxRetryAfterSeconds = 86400;

std::optional<int> ParseCount(std::optional<std::string_view> text) {
  int count = 0;
  if (!text)
    return std::nullopt;
  const char* last = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), last, count);
  if (error != std::errc() || end != last || count < 0)
    return std::nullopt;
  return count;
}

void RemoveHeader(std::string_view name, net::Headers* headers) {
  headers->erase(std::remove_if(headers->begin(), headers->end(),
                                [name](const net::Header& header) {
                                  return net::SameHeaderName(header.name, name);
                                }),
                 headers->end());
}

std::string_view IpOf(std::string_view address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

void AddRelayOrigin(const RelayOrigin& origin, net::Headers* headers) {
  headers->push_back({std::string(kOriginHeader), origin.host});
  headers->push_back(
      {std::string(kAttemptsLeftHeader), std::to_string(origin.attempts_left)});
}

std::optional<RelayOrigin> TakeRelayOrigin(net::Headers* headers) {
  const auto host = net::FindHeader(*headers, kOriginHeader);
  const std::optional<int> attempts_left =
      ParseCount(net::FindHeader(*headers, kAttemptsLeftHeader));
  std::optional<RelayOrigin> origin;
  if (host && attempts_left)
    origin = RelayOrigin{std::string(*host), *attempts_left};
  RemoveHeader(kOriginHeader, headers);
  RemoveHeader(kAttemptsLeftHeader, headers);
  return origin;
}

void AddRelayedResponse(const RelayedResponse& response,
                        net::Headers* headers) {
  headers->push_back({std::string(kServiceHeader), response.service});
  headers->push_back({std::string(kVersionHeader), response.version});
  headers->push_back({std::string(kRunsHeader), std::to_string(response.runs)});
}

std::optional<RelayedResponse> TakeRelayedResponse(net::Headers* headers) {
  const auto service = net::FindHeader(*headers, kServiceHeader);
  const auto version = net::FindHeader(*headers, kVersionHeader);
  const std::optional<int> runs =
      ParseCount(net::FindHeader(*headers, kRunsHeader));
  std::optional<RelayedResponse> response;
  if (service && version && runs)
    response =
        RelayedResponse{std::string(*service), std::string(*version), *runs};
  RemoveHeader(kServiceHeader, headers);
  RemoveHeader(kVersionHeader, headers);
  RemoveHeader(kRunsHeader, headers);
  return response;
}

std::optional<ResultCode> RelayErrorCode(const net::Headers& headers) {
  const std::optional<int> number =
      ParseCount(net::FindHeader(headers, kCodeHeader));
  if (!number)
    return std::nullopt;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    if (static_cast<int>(info.code) == *number)
      return info.code;
  }
  // A host of another version knows a code that this one does not.
  return ResultCode::kUpstreamLost;
}

Duration RelayRetryAfter(const net::Headers& headers) {
  const auto value = net::FindHeader(headers, "Retry-After");
  if (!value)
    return Duration::zero();
  const double seconds = std::strtod(std::string(*value).c_str(), nullptr);
  return FromSeconds(std::clamp(seconds, 0.0, kMaxRetryAfterSeconds));
}

bool MayServeElsewhere(ResultCode code) {
  switch (code) {
    case ResultCode::kDraining:
    case ResultCode::kNoConfiguration:
    case ResultCode::kNoUpstream:
    // Also what a host answers that does not know yet that it is cut off.
    case ResultCode::kUpstreamRefused:
    case ResultCode::kUnknownPath:
    case ResultCode::kBadKey:
      return true;
    default:
      return false;
  }
}

void RelayPeers::OnHosts(const std::vector<HostRecord>& records) {
  for (const HostRecord& record : records) {
    if (!record.peer_address.empty())
      fleet_ips_.emplace(IpOf(record.peer_address));
    if (record.host != own_host_ && !record.relay_address.empty())
      address_by_host_[record.host] = record.relay_address;
  }
}

void RelayPeers::OnFailed(const std::string& host, TimePoint now) {
  failed_at_[host] = now;
}

void RelayPeers::OnReach(const std::string& host, bool cut, TimePoint now) {
  failed_at_.erase(host);
  if (cut)
    cut_at_[host] = now;
  else
    cut_at_.erase(host);
}

std::optional<RelayPeers::Peer> RelayPeers::Pick(
    const std::vector<std::string>& tried,
    Rng& rng,
    TimePoint now) const {
  const auto is_recent = [now](const std::map<std::string, TimePoint>& times,
                               const std::string& host) {
    const auto found = times.find(host);
    return found != times.end() && now - found->second < kAvoidance;
  };
  std::vector<Peer> peers;
  std::vector<Peer> failed_peers;
  for (const auto& [host, address] : address_by_host_) {
    const bool was_tried =
        std::find(tried.begin(), tried.end(), host) != tried.end();
    if (!was_tried && !is_recent(cut_at_, host))
      (is_recent(failed_at_, host) ? failed_peers : peers)
          .push_back({host, address});
  }
  const std::vector<Peer>& candidates = peers.empty() ? failed_peers : peers;
  if (candidates.empty())
    return std::nullopt;
  const auto index = static_cast<size_t>(
      rng.Uniform() * static_cast<double>(candidates.size()));
  return candidates[std::min(index, candidates.size() - 1)];
}

bool RelayPeers::IsFleetAddress(std::string_view ip) const {
  return fleet_ips_.count(std::string(ip)) != 0;
}

}  // namespace teaselhill::gateway
