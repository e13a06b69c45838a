/// \file
/// Requests that another host sends to upstreams while this one is cut from
/// them.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

/// Hosts that are asked to serve one request.
constexpr size_t kMaxRelays = 3;

}  // namespace

bool Exchange::IsCutOff() const {
  return gateway_.reach_.is_cut();
}

std::optional<RelayPeers::Peer> Exchange::PickPeer() const {
  if (!IsCutOff() || request_.relay_origin || relayed_to_.size() >= kMaxRelays)
    return std::nullopt;
  return gateway_.relay_peers_.Pick(relayed_to_, gateway_.rng_, BootNow());
}

bool Exchange::TryRelay() {
  const std::optional<RelayPeers::Peer> peer = PickPeer();
  if (peer)
    SendToPeer(*peer);
  return peer.has_value();
}

bool Exchange::RelayAgain(AttemptOutcome outcome) {
  const std::optional<RelayPeers::Peer> peer = PickPeer();
  if (!peer)
    return false;
  // The serving host sends the request for the first time, as it sees it.
  const bool within_budget =
      outcome == AttemptOutcome::kNotSent ||
      gateway_.retry_budget_.TryAcquire(request_.service, BootNow(), WallNow());
  if (within_budget)
    SendToPeer(*peer);
  return within_budget;
}

int Exchange::AttemptsForPeer() const {
  const int left = state_.max_attempts - state_.possible_runs;
  return std::max(1, left - 1);
}

void Exchange::SendToPeer(const RelayPeers::Peer& peer) {
  const TimePoint now = BootNow();
  attempt_.relay_peer = peer;
  relayed_to_.push_back(peer.host);
  attempt_.upstream = {};
  BeginAttempt(now);
  const std::optional<uint64_t> resume_after = ResumeAfter();
  gateway_.log_.Write(LineKind::kRoutine,
                      RequestLogLine("forwarded")
                          .Field("host", peer.host)
                          .Field("address", peer.address)
                          .Field("forward", relayed_to_.size())
                          .Field("sends", state_.sends)
                          .Field("resumes", resume_after.has_value())
                          .Field("time_left_ms", state_.deadline - now),
                      now);
  ForwardContext context;
  context.address = peer.address;
  context.time_left = state_.deadline - now;
  context.resume_after = resume_after;
  if (ResumesStream() || event_stream_.event_count() > 0)
    context.resumed_attempt_id = StreamId();
  net::ClientRequest request =
      gateway_.callers_.BuildForwardRequest(*request_.http_request, context);
  request.source_address = gateway_.options_.relay_source_address;
  RelayOrigin origin;
  origin.host = gateway_.options_.host;
  origin.attempts_left = AttemptsForPeer();
  // The host may use them up to the end of its answer.
  attempt_.possible_runs = origin.attempts_left;
  state_.possible_runs += attempt_.possible_runs;
  AddRelayOrigin(origin, &request.headers);
  StartTransfer(std::move(request), now);
}

void Exchange::OnPeerHead(int status, net::Headers headers) {
  if (const std::optional<ResultCode> code = RelayErrorCode(headers))
    return OnPeerRefusal(*code, headers);
  const std::optional<RelayedResponse> relayed = TakeRelayedResponse(&headers);
  if (!relayed) {
    return EndAttempt(
        AttemptOutcome::kBroken,
        "not a response of a host: status " + std::to_string(status));
  }
  attempt_.upstream.service = relayed->service;
  attempt_.upstream.version = relayed->version;
  ResponseHead head;
  head.kind = ResponseKind::kResponse;
  head.status = status;
  head.is_success = status >= 200 && status < 300;
  head.is_event_stream = net::IsEventStream(headers);
  for (const net::Header& header : headers) {
    if (!net::IsHopByHop(header.name, headers))
      head.headers.push_back(header);
  }
  UseHead(std::move(head));
}

void Exchange::OnPeerRefusal(ResultCode code, const net::Headers& headers) {
  upstream_retry_after_ = RelayRetryAfter(headers);
  const std::string detail =
      "refused by the host: " + std::string(Describe(code).name);
  if (Describe(code).outcome != Outcome::kNotRun)
    return EndAttempt(AttemptOutcome::kBroken, detail);
  if (MayServeElsewhere(code)) {
    gateway_.relay_peers_.OnFailed(attempt_.relay_peer->host, BootNow());
    return EndAttempt(AttemptOutcome::kNotRun, detail);
  }
  if (replaced_attempt_)
    return EndAttempt(AttemptOutcome::kNotRun, detail);
  state_.possible_runs -= attempt_.possible_runs;
  StopAttempt(attempt_);
  attempt_.relay_peer.reset();
  ApplyFinalStep(FinalStepAfterTimeout(state_, code));
}

void Exchange::AddRelayHeaders(net::Headers* headers) const {
  if (request_.relay_origin)
    AddRelayedResponse({attempt_.upstream.service, attempt_.upstream.version,
                        std::max(1, state_.possible_runs)},
                       headers);
}

}  // namespace teaselhill::gateway
