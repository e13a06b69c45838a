/// \file
/// Replacement of attempts whose upstream is silent.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

/// Delay before a request is tried again whose silent attempt was replaced.
constexpr std::chrono::milliseconds kAwaitRetryPeriod{100};

/// Time after which such a request ends, so that its caller can try again.
constexpr std::chrono::seconds kMaxRetryWait{2};

/// Time for which a silent attempt goes on beside its replacement, which an
/// upstream refuses within milliseconds. Two upstreams must not work on one
/// request for more than 400 ms.
constexpr std::chrono::milliseconds kMaxOverlap{250};

}  // namespace

std::string_view Exchange::ObstacleName(ReplacementObstacle obstacle) {
  switch (obstacle) {
    case ReplacementObstacle::kHeld:
      return "held";
    case ReplacementObstacle::kUnknownVersion:
      return "unknown_version";
    case ReplacementObstacle::kRetryBudget:
      return "retry_budget";
    case ReplacementObstacle::kNoUpstream:
      return "no_upstream";
  }
  return "unknown";
}

void Exchange::ReportSilence(TimePoint now) {
  if (!attempt_.handler || attempt_.relay_peer || attempt_.silence_reported ||
      transfer_paused_ || now < attempt_.data_at + CrashGuard::kMinSilence ||
      !IsUpstreamInService(attempt_))
    return;
  if (attempt_.suspect_run)
    attempt_.suspect_run->OnLost(
        {attempt_.upstream.id, attempt_.upstream.incarnation}, now);
  attempt_.silence_reported = gateway_.crash_guard_.OnAttemptSilent(
      request_.Keys(), attempt_.upstream,
      attempt_.AnsweringFor(attempt_.data_at), attempt_.sent_at, now);
  // Other requests with the same key need not wait for this attempt any longer.
  attempt_.suspect_run.reset();
}

void Exchange::OnSilence(TimePoint now) {
  ReportSilence(now);
  const Replacement replacement = PlanReplacement(now);
  if (const auto* obstacle = std::get_if<ReplacementObstacle>(&replacement))
    return LogKeptAttempt(*obstacle, now);
  SendHeldEvents();
  if (transfer_paused_)
    return;  // its caller is slow
  ReportGivenUp();
  SetAsideAttempt(now);
  if (!std::exchange(replacement_not_sent_, false))
    gateway_.retry_budget_.TryAcquire(request_.service, now, WallNow());
  if (const auto* peer = std::get_if<RelayPeers::Peer>(&replacement))
    return SendToPeer(*peer);
  const auto& send = std::get<PlannedSend>(replacement);
  attempt_.crash_assessment = send.crash_assessment;
  SendToUpstream(send.placement);
}

Exchange::Replacement Exchange::PlanReplacement(TimePoint now) {
  const RetryBudget::Usage usage =
      gateway_.retry_budget_.UsageOf(request_.service, now, WallNow());
  if (!usage.has_room() && !replacement_not_sent_)
    return ReplacementObstacle::kRetryBudget;
  if (const std::optional<RelayPeers::Peer> peer = PickPeer())
    return *peer;
  // The serving host finds out the version of a stream that goes on.
  if (NeedsStreamVersion())
    return ReplacementObstacle::kUnknownVersion;
  const std::optional<PlannedSend> send = PlanSend();
  if (!send)
    return ReplacementObstacle::kNoUpstream;
  // Last, because a request that may start has taken its place among the trials
  // of the fleet.
  if (WaitBeforeRun(now) > Duration::zero())
    return ReplacementObstacle::kHeld;
  return *send;
}

std::optional<Exchange::PlannedSend> Exchange::PlanSend() {
  const CrashAssessment current_assessment = attempt_.crash_assessment;
  std::vector<std::string>& excluded =
      request_.placement_request.excluded_upstreams;
  if (!attempt_.relay_peer)
    excluded.push_back(attempt_.upstream.id);
  const std::optional<Placement> placement = PlaceRequest();
  if (!attempt_.relay_peer)
    excluded.pop_back();
  const CrashAssessment assessment =
      std::exchange(attempt_.crash_assessment, current_assessment);
  // An upstream whose answers fail is no better than one that is silent.
  if (!placement || placement->reason == PlacementReason::kAllEjected)
    return std::nullopt;
  return PlannedSend{*placement, assessment};
}

void Exchange::LogKeptAttempt(ReplacementObstacle obstacle, TimePoint now) {
  if (logged_obstacle_ == obstacle)
    return;
  logged_obstacle_ = obstacle;
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("silent_attempt_kept")
          .Field("upstream", attempt_.upstream.id)
          .Field("host", attempt_.relay_peer ? attempt_.relay_peer->host : "")
          .Field("attempt", attempt_.number)
          .Field("reason", ObstacleName(obstacle))
          .Field("silent_ms", now - attempt_.data_at)
          .Field("events", event_stream_.event_count())
          .Field("time_left_ms", state_.deadline - now),
      now);
}

void Exchange::SetAsideAttempt(TimePoint now) {
  DropReplacedAttempt();
  logged_obstacle_.reset();
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("silent_attempt_replaced")
          .Field("upstream", attempt_.upstream.id)
          .Field("host", attempt_.relay_peer ? attempt_.relay_peer->host : "")
          .Field("attempt", attempt_.number)
          .Field("silent_ms", now - attempt_.data_at)
          .Field("events", event_stream_.event_count())
          .Field("time_left_ms", state_.deadline - now),
      now);
  if (!std::exchange(attempt_.counted_as_stalled, true))
    RecordOutcome(attempt_, AttemptOutcome::kTimedOut, now);
  replaced_attempt_ = std::exchange(attempt_, {});
  replaced_attempt_->partial_event = event_stream_.TakePartial();
  overlap_ends_at_ = now + kMaxOverlap;
}

void Exchange::DropReplacedAttempt() {
  if (replaced_attempt_)
    EndReplacedAttempt(AttemptOutcome::kTimedOut,
                       "no data within the stall timeout");
}

void Exchange::EndReplacedAttempt(AttemptOutcome outcome,
                                  const std::string& detail) {
  Attempt ended = std::move(*std::exchange(replaced_attempt_, std::nullopt));
  LogAttemptEnd(ended, outcome, detail, Duration::zero(),
                /*retry_allowed=*/true);
  StopAttempt(ended);
  if (ended.relay_peer)
    return;
  replaced_upstreams_.push_back(ended.upstream.id);
  request_.placement_request.excluded_upstreams.push_back(ended.upstream.id);
}

void Exchange::OnReplacedAttemptEnd(const net::TransferEnd& end) {
  if (end.code == ResultCode::kOk && replaced_attempt_->response_head) {
    PreferReplacedAttempt();
    return OnEnd(end);
  }
  // Bytes that are no answer are a sign of life.
  if (end.code != ResultCode::kProtocolError)
    ReportConnectionLost(*replaced_attempt_);
  EndReplacedAttempt(AttemptOutcome::kBroken, end.detail);
}

void Exchange::PreferReplacedAttempt() {
  ReportGivenUp();
  StopAttempt(attempt_);
  event_stream_.DiscardPartial();
  ReturnToReplacedAttempt("answers");
}

void Exchange::ReplaceAgain() {
  const TimePoint now = BootNow();
  ReturnToReplacedAttempt("replacement_not_run");
  if (MayRetry(state_, RetryLimits(now), now))
    OnSilence(now);
}

void Exchange::ReturnToReplacedAttempt(std::string_view reason) {
  const TimePoint now = BootNow();
  const Attempt replacement = std::exchange(
      attempt_, std::move(*std::exchange(replaced_attempt_, std::nullopt)));
  event_stream_.RestorePartial(std::move(attempt_.partial_event));
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("silent_attempt_resumed")
          .Field("upstream", attempt_.upstream.id)
          .Field("host", attempt_.relay_peer ? attempt_.relay_peer->host : "")
          .Field("attempt", attempt_.number)
          .Field("reason", reason)
          .Field("replacement", replacement.upstream.id)
          .Field("replacement_attempt", replacement.number)
          .Field("silent_ms", now - attempt_.data_at)
          .Field("events", event_stream_.event_count())
          .Field("time_left_ms", state_.deadline - now),
      now);
  // The stream log may name the version of the replacement.
  if (!attempt_.relay_peer)
    LogStream();
  stall_recheck_at_ = now + kStallRecheckPeriod;
  ArmTimer();
}

void Exchange::AwaitRetry(AttemptOutcome outcome) {
  // A sound upstream that was silent may be tried again.
  std::vector<std::string>& excluded =
      request_.placement_request.excluded_upstreams;
  for (const std::string& id : replaced_upstreams_)
    excluded.erase(std::remove(excluded.begin(), excluded.end(), id),
                   excluded.end());
  const TimePoint now = BootNow();
  if (!retry_wait_ends_at_)
    retry_wait_ends_at_ = now + kMaxRetryWait;
  const bool has_failure =
      outcome == AttemptOutcome::kErrorResponse && !state_.head_sent;
  if (has_failure || now >= *retry_wait_ends_at_ ||
      !MayRetry(state_, RetryLimits(now), now + kAwaitRetryPeriod))
    return ApplyFinalStep(DecideFinalStep(state_, outcome));
  hold_timer_ = gateway_.loop_.timers().After(
      kAwaitRetryPeriod, [weak = weak_from_this(), outcome](TimePoint) {
        const auto self = weak.lock();
        if (self && !self->finished_)
          self->RetryOrFinish(outcome);
      });
}

}  // namespace teaselhill::gateway
