/// \file
/// Memory that an exchange holds of answers, and pauses of transfers that keep
/// it small.

#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

/// An answer that is not an event stream is buffered up to this size. A larger
/// answer is relayed to the caller while it arrives.
constexpr size_t kMaxBufferedBytes = 1 << 20;

/// The same while more than half of the memory budget is held.
constexpr size_t kMaxBufferedBytesIfShort = 64 << 10;

/// A smaller answer does not give way.
constexpr size_t kMinGivenWayBytes = 16 << 10;

}  // namespace

void Exchange::PauseTransfer() {
  if (!attempt_.handler || std::exchange(transfer_paused_, true))
    return;
  attempt_.event_intervals.OnReadingPaused();
  gateway_.client_.Pause(attempt_.transfer);
}

void Exchange::ResumeTransfer() {
  if (!transfer_paused_ || publishing_stream_ ||
      response_->pending_bytes() > kMaxUnsentBytes / 2)
    return;
  transfer_paused_ = false;
  if (attempt_.handler)
    gateway_.client_.Resume(attempt_.transfer);
}

void Exchange::UpdateHeldBytes() {
  if (!memory_account_)
    return;
  size_t bytes = attempt_.held_bytes() + event_stream_.held_bytes() +
                 held_events_.capacity();
  if (replaced_attempt_)
    bytes += replaced_attempt_->held_bytes();
  // An empty string counts for the few bytes that it holds in itself.
  constexpr size_t kEmptyBytes = 128;
  memory_account_->Set(bytes > kEmptyBytes ? bytes : 0);
}

HeldAnswer Exchange::DescribeHeldAnswer() const {
  HeldAnswer answer;
  answer.is_success =
      attempt_.response_head && attempt_.response_head->is_success;
  answer.is_event_stream =
      answer.is_success && attempt_.response_head->is_event_stream;
  answer.has_length = attempt_.has_length;
  const TimePoint now = BootNow();
  answer.may_retry = MayRetry(state_, RetryLimits(now), now);
  return answer;
}

size_t Exchange::MaxBufferedBytes() const {
  const net::MemoryBudget* budget = gateway_.options_.memory_budget;
  const bool is_short =
      budget && budget->held_bytes() > budget->max_bytes() / 2;
  return is_short && DecideAnswerRelief(DescribeHeldAnswer()) ==
                         AnswerRelief::kPassOn
             ? kMaxBufferedBytesIfShort
             : kMaxBufferedBytes;
}

void Exchange::GiveWay() {
  // If the largest answer is small, other messages than answers hold the bytes.
  if (finished_ || memory_account_->bytes() < kMinGivenWayBytes)
    return;
  const size_t replaced_bytes =
      replaced_attempt_ ? replaced_attempt_->held_bytes() : 0;
  if (replaced_bytes > memory_account_->bytes() / 2) {
    LogGivenWay(*replaced_attempt_, "ended");
    EndReplacedAttempt(AttemptOutcome::kBroken,
                       "unfinished answer exceeds the memory bound");
    return UpdateHeldBytes();
  }
  // The body of a failure that may be forwarded after a wait.
  if (!attempt_.handler)
    return;
  if (DecideAnswerRelief(DescribeHeldAnswer()) == AnswerRelief::kPassOn) {
    LogGivenWay(attempt_, "passed_on");
    std::string body = std::exchange(attempt_.buffered_body, {});
    body.shrink_to_fit();
    // The response counts the bytes from now on.
    UpdateHeldBytes();
    StartAnswer();
    WriteAnswer(std::move(body));
  } else {
    LogGivenWay(attempt_, "ended");
    std::string().swap(attempt_.buffered_body);
    EndAttempt(AttemptOutcome::kBroken,
               "unfinished answer exceeds the memory bound");
  }
  UpdateHeldBytes();
}

void Exchange::LogGivenWay(const Attempt& attempt,
                           std::string_view step) const {
  const net::MemoryBudget& budget = *gateway_.options_.memory_budget;
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("answer_gave_way")
          .Field("upstream", attempt.upstream.id)
          .Field("host", attempt.relay_peer ? attempt.relay_peer->host : "")
          .Field("attempt", attempt.number)
          .Field("step", step)
          .Field("held_bytes", static_cast<uint64_t>(memory_account_->bytes()))
          .Field("all_held_bytes", static_cast<uint64_t>(budget.held_bytes()))
          .Field("max_held_bytes", static_cast<uint64_t>(budget.max_bytes())),
      BootNow());
}

}  // namespace teaselhill::gateway
