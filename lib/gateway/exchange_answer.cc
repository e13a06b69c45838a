/// \file
/// Relays the answer of an attempt to the caller.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

void Exchange::OnHead(int status, const net::Headers& headers) {
  attempt_.progress_at = attempt_.data_at = BootNow();
  attempt_.silence_reported = false;
  attempt_.has_length = net::FindHeader(headers, "Content-Length").has_value();
  attempt_.answer_framed =
      attempt_.has_length || net::FindHeader(headers, "Transfer-Encoding");
  if (attempt_.relay_peer)
    return OnPeerHead(status, headers);
  gateway_.OnUpstreamReached(attempt_.sent_at);
  gateway_.upstream_health_.OnDomainReached(attempt_.upstream.domain);
  gateway_.LogHealthEvents(attempt_.progress_at);
  ResponseHead head =
      gateway_.upstreams_.ReadHead(status, headers, request_.caller);
  upstream_retry_after_ = head.retry_after;
  if (head.kind != ResponseKind::kUnrelated &&
      head.kind != ResponseKind::kWrongUpstream)
    gateway_.OnUpstreamNotice(attempt_.upstream, head.notice,
                              head.kind == ResponseKind::kNotRun,
                              attempt_.sent_at);
  switch (head.kind) {
    case ResponseKind::kResponse:
      // An upstream that crashes as it begins to answer may send the head only.
      gateway_.crash_guard_.OnDataReceived(attempt_.upstream, attempt_.sent_at,
                                           attempt_.progress_at);
      return UseHead(std::move(head));
    case ResponseKind::kNotRun:
      return EndAttempt(AttemptOutcome::kNotRun,
                        "status " + std::to_string(status));
    case ResponseKind::kWrongUpstream:
      gateway_.upstream_health_.OnMisdirected(attempt_.upstream.id,
                                              attempt_.progress_at);
      return EndAttempt(AttemptOutcome::kNotRun,
                        "the address belongs to another upstream");
    case ResponseKind::kUnconfirmedNotRun:
      return EndAttempt(AttemptOutcome::kBroken,
                        "status " + std::to_string(status) +
                            " does not state that the request was not run");
    case ResponseKind::kUnrelated:
      return EndAttempt(
          AttemptOutcome::kBroken,
          "not a response to this request: status " + std::to_string(status));
  }
}

void Exchange::UseHead(ResponseHead head) {
  const bool is_stream = head.is_success && head.is_event_stream;
  if (state_.head_sent && !is_stream)
    return EndAttempt(head.is_success ? AttemptOutcome::kBroken
                                      : AttemptOutcome::kErrorResponse,
                      "status " + std::to_string(head.status) +
                          " does not continue the stream");
  if (head.is_success)
    DropReplacedAttempt();
  if (attempt_.relay_peer)
    usage_counted_ = true;
  else if (!is_stream && CountsBySend())
    CountUsage(attempt_.sent_at);
  attempt_.response_head = std::move(head);
}

void Exchange::OnData(std::string_view data) {
  if (!attempt_.response_head)
    return;
  const TimePoint now = attempt_.data_at = BootNow();
  attempt_.silence_reported = false;
  if (!attempt_.relay_peer) {
    gateway_.crash_guard_.OnDataReceived(attempt_.upstream, attempt_.sent_at,
                                         now);
    gateway_.restart_watch_.OnData(
        {attempt_.upstream.id, attempt_.upstream.incarnation}, attempt_.sent_at,
        now);
  }
  if (!attempt_.answer_started_at) {
    attempt_.answer_started_at = now;
    if (!attempt_.relay_peer)
      ReportAnswerStarted(now);
  }
  if (attempt_.response_head->is_success &&
      attempt_.response_head->is_event_stream)
    return OnEvents(data);
  attempt_.progress_at = now;
  if (state_.head_sent)
    return WriteAnswer(std::string(data));
  attempt_.buffered_body.append(data);
  if (attempt_.buffered_body.size() <= MaxBufferedBytes())
    return;
  StartAnswer();
  WriteAnswer(std::exchange(attempt_.buffered_body, {}));
}

void Exchange::ReportAnswerStarted(TimePoint now) {
  gateway_.placement_->OnAnswerStarted(request_.placement_request,
                                       attempt_.upstream.id);
  const Duration excess = now - attempt_.sent_at - attempt_.expected_prefill;
  gateway_.upstream_health_.OnStartDelay(attempt_.upstream.id, excess, now);
  gateway_.upstream_health_.OnServiceStartDelay(request_.service, excess, now);
}

void Exchange::OnEvents(std::string_view data) {
  const uint64_t events_before = event_stream_.event_count();
  ParsedEvents events = event_stream_.Append(data);
  const uint64_t new_events = event_stream_.event_count() - events_before;
  if (attempt_.measures_speed && new_events > 0)
    attempt_.event_intervals.OnEvents(new_events, attempt_.data_at);
  attempt_.engine_work.OnEvents(
      new_events, !first_event_at_ && attempt_.data_at - request_.arrived_at >
                                          request_.route->answer_target);
  if (!events.complete.empty())
    PassOnEvents(std::move(events.complete));
  state_.resumable &= event_stream_.position_known();
  if (events.fault && !finished_)
    EndAttempt(AttemptOutcome::kBroken, events.fault->message);
}

void Exchange::PassOnEvents(std::string events) {
  const TimePoint now = BootNow();
  if (first_event_at_)
    max_event_gap_ = std::max(max_event_gap_, now - attempt_.progress_at);
  attempt_.progress_at = now;
  if (!first_event_at_) {
    first_event_at_ = now;
    CountUsage(now);
    ReportWaitToGate(now);
    if (std::exchange(queued_at_gate_, false))
      gateway_.overload_gate_.OnAnswerStarted(request_.service,
                                              request_.gate_level(), now);
    gateway_.metrics_.ObserveFirstToken(request_.ClassLabel(),
                                        now - request_.arrived_at);
    BeginStream();
  }
  if (publishing_stream_) {
    held_events_.append(events);
    if (held_events_.size() > kMaxUnsentBytes)
      PauseTransfer();
    return;
  }
  StartAnswer();
  WriteAnswer(std::move(events));
}

void Exchange::StartAnswer() {
  if (std::exchange(state_.head_sent, true))
    return;
  DropReplacedAttempt();
  // Only events can go on at another upstream.
  state_.resumable &= attempt_.response_head->is_event_stream;
  AddRelayHeaders(&attempt_.response_head->headers);
  response_->Start(attempt_.response_head->status,
                   attempt_.response_head->headers);
}

void Exchange::WriteAnswer(std::string data) {
  response_->Write(std::move(data));
  if (!attempt_.handler || response_->pending_bytes() <= kMaxUnsentBytes)
    return;
  PauseTransfer();
  response_->SetDrainHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->ResumeTransfer();
  });
}

void Exchange::OnEnd(const net::TransferEnd& end) {
  SendHeldEvents();
  if (!attempt_.response_head) {
    // Bytes that are no answer, or more than one may have, are a sign of life.
    const bool may_have_crashed = end.code != ResultCode::kProtocolError;
    const bool not_sent = end.code == ResultCode::kConnectFailed ||
                          (!end.may_have_been_sent && end.status == 0);
    if (attempt_.relay_peer)
      gateway_.relay_peers_.OnFailed(attempt_.relay_peer->host, BootNow());
    else if (may_have_crashed)
      gateway_.OnUpstreamFailed(attempt_.upstream.id, attempt_.sent_at);
    if (!not_sent && may_have_crashed)
      ReportConnectionLost(attempt_);
    return EndAttempt(
        not_sent ? AttemptOutcome::kNotSent : AttemptOutcome::kBroken,
        end.code == ResultCode::kOk ? "connection ended without a response"
                                    : end.detail);
  }
  EndedTransfer transfer;
  transfer.code = end.code;
  transfer.is_framed = attempt_.answer_framed;
  transfer.is_event_stream = attempt_.response_head->is_success &&
                             attempt_.response_head->is_event_stream;
  transfer.inside_event = !event_stream_.at_boundary();
  transfer.has_events = event_stream_.last_event_id().has_value() ||
                        event_stream_.event_count() > 0;
  const TransferVerdict verdict = JudgeTransfer(transfer);
  if (verdict == TransferVerdict::kBrokenOff)
    ReportConnectionLost(attempt_);
  if (verdict != TransferVerdict::kComplete)
    return EndAttempt(AttemptOutcome::kBroken,
                      end.code == ResultCode::kOk
                          ? "stream ended inside an event or without any"
                          : end.detail);
  if (!attempt_.response_head->is_success)
    return EndAttempt(
        AttemptOutcome::kErrorResponse,
        "status " + std::to_string(attempt_.response_head->status));
  OnAnswerComplete();
}

void Exchange::OnAnswerComplete() {
  const TimePoint now = BootNow();
  CountUsage(attempt_.answer_started_at.value_or(now));
  RecordOutcome(attempt_, AttemptOutcome::kComplete, now);
  gateway_.crash_guard_.OnAnswerCompleted(request_.Keys());
  StopAttempt(attempt_);
  if (state_.head_sent) {
    response_->Finish();
  } else if (attempt_.response_head->is_event_stream) {
    StartAnswer();
    response_->Finish();
  } else {
    AddRelayHeaders(&attempt_.response_head->headers);
    response_->Respond(attempt_.response_head->status,
                       attempt_.response_head->headers,
                       std::move(attempt_.buffered_body));
  }
  const Duration total_duration = now - request_.arrived_at;
  const Duration answer_delay =
      first_event_at_ ? *first_event_at_ - request_.arrived_at : total_duration;
  const Duration gap_target = request_.route->event_gap_target;
  const bool in_time =
      answer_delay <= request_.route->answer_target &&
      (gap_target == Duration::zero() || max_event_gap_ <= gap_target);
  gateway_.metrics_.ObserveAnswer(request_.ClassLabel(), total_duration,
                                  in_time);
  FinishRequest(ResultCode::kOk, in_time ? "in_time" : "late");
}

}  // namespace teaselhill::gateway
