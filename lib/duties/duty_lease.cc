/// \file
/// Rules of the lease on the duties.

#include "teaselhill/duties/duty_lease.h"

#include <algorithm>
#include <utility>

namespace teaselhill::duties {

namespace {

/// An epoch holds the era of the log above the offset of a record. 40 bits of
/// offset outlast any log, and eras are few.
constexpr int kOffsetBits = 40;
constexpr uint64_t kMaxOffset = (uint64_t{1} << kOffsetBits) - 1;
constexpr uint64_t kMaxEra = (uint64_t{1} << (64 - kOffsetBits)) - 1;

}  // namespace

std::string_view LossCauseName(LossCause cause) {
  switch (cause) {
    case LossCause::kExpired:
      return "expired";
    case LossCause::kTaken:
      return "taken";
    case LossCause::kHistoryDropped:
      return "history_dropped";
    case LossCause::kOlderCopy:
      return "older_copy";
    case LossCause::kReleased:
      return "released";
  }
  return "unknown";
}

DutyLease::DutyLease(std::string host, uint64_t writer, LeaseOptions options)
    : host_(std::move(host)), writer_(writer), options_(options) {}

Epoch DutyLease::EpochAt(uint64_t offset) const {
  if (era_ > kMaxEra || offset >= kMaxOffset)
    return 0;
  return (era_ << kOffsetBits) + offset + 1;
}

bool DutyLease::IsHeld(TimePoint now, Duration length) const {
  return held_ && !releasing_ && now + length < held_->until;
}

void DutyLease::Lose(LossCause cause) {
  if (!held_)
    return;
  LeaseEvent event;
  event.kind = LeaseEvent::Kind::kLost;
  event.epoch = held_->epoch;
  event.cause = releasing_ ? LossCause::kReleased : cause;
  events_.push_back(event);
  held_.reset();
  releasing_ = false;
}

void DutyLease::Expire(TimePoint now) {
  if (held_ && now >= held_->until)
    Lose(LossCause::kExpired);
}

std::vector<LeaseEvent> DutyLease::TakeEvents(TimePoint now) {
  Expire(now);
  return std::exchange(events_, {});
}

void DutyLease::ForgetState(LossCause cause, TimePoint now) {
  Lose(cause);
  newest_.reset();
  sent_.clear();
  unknown_since_ = now;
  changed_at_ = now;
  caught_up_ = false;
}

void DutyLease::StartOver(LossCause cause, TimePoint now) {
  // No other host has appended anything while this one held the lease.
  if (!held_)
    complete_since_ = now;
  ForgetState(cause, now);
  next_offset_ = 0;
}

bool DutyLease::EnterEra(uint64_t era, TimePoint now) {
  if (era == era_)
    return true;
  caught_up_ = false;
  // An answer from an earlier era, or without one, says nothing about this one.
  if (era < era_)
    return false;
  era_ = era;
  if (!known_)
    return true;
  StartOver(LossCause::kOlderCopy, now);
  return false;
}

void DutyLease::OnPage(const LogPage& page, TimePoint now) {
  Expire(now);
  // An append has moved on what is known since the read began.
  if (page.from != next_offset_)
    return;
  if (!EnterEra(page.era, now))
    return;
  if (!known_) {
    known_ = true;
    complete_since_ = now;
    ForgetState(LossCause::kHistoryDropped, now);
  }
  if (page.dropped && page.first > next_offset_) {
    // What was dropped before a host begins to read, or to read anew, is not
    // of its time.
    if (next_offset_ > 0)
      complete_since_ = now;
    ForgetState(LossCause::kHistoryDropped, now);
    next_offset_ = page.first;
    return;
  }
  if (page.dropped || page.end < next_offset_)
    return StartOver(LossCause::kOlderCopy, now);
  for (const LeaseRecord& record : page.records)
    OnRecord(record, next_offset_, now);
  caught_up_ = next_offset_ >= page.end;
}

void DutyLease::OnRecord(const LeaseRecord& record,
                         uint64_t offset,
                         TimePoint now) {
  const bool readable = record.kind != RecordKind::kUnreadable;
  // An own append of an earlier era may be executed late after what another
  // host has written in this one, so it says nothing about who held the lease.
  const bool own =
      readable && record.writer == writer_ && sent_.count(record.number) > 0;
  const bool same_writer =
      readable && newest_ && newest_->writer == record.writer;
  if (!own)
    Lose(LossCause::kTaken);
  if (!own && !same_writer)
    changed_at_ = now;
  Newest newest;
  newest.writer = readable ? record.writer : 0;
  newest.own = own;
  // A release that was executed late, after the log came back from an older
  // copy, may follow the record of another holder.
  newest.released = record.kind == RecordKind::kRelease && same_writer;
  newest.length = readable ? record.length : options_.length;
  newest.read_at = now;
  newest_ = newest;
  if (own)
    OnOwnRecord(record, offset, now);
  if (record.kind == RecordKind::kTake)
    max_epoch_ = std::max(max_epoch_, EpochAt(offset));
  next_offset_ = offset + 1;
  ForgetSent(next_offset_);
}

void DutyLease::ForgetSent(uint64_t end) {
  // Appends that require an earlier end cannot be executed any more.
  for (auto it = sent_.begin(); it != sent_.end();)
    it = it->second.at < end ? sent_.erase(it) : std::next(it);
}

void DutyLease::OnOwnRecord(const LeaseRecord& record,
                            uint64_t offset,
                            TimePoint now) {
  const auto found = sent_.find(record.number);
  if (found == sent_.end())
    return;
  const Sent sent = found->second;
  const TimePoint until = sent.sent_at + record.length;
  failures_ = 0;
  switch (record.kind) {
    case RecordKind::kTake: {
      const Epoch epoch = EpochAt(offset);
      if (epoch <= max_epoch_ || now >= until)
        return;
      held_ = Held{epoch, until};
      releasing_ = false;
      LeaseEvent event;
      event.epoch = epoch;
      events_.push_back(event);
      return;
    }
    case RecordKind::kText:
    case RecordKind::kRenew:
      if (!held_ || held_->epoch != record.epoch)
        return;
      held_->until = std::max(held_->until, until);
      if (record.kind == RecordKind::kText) {
        LeaseEvent event;
        event.kind = LeaseEvent::Kind::kTextKept;
        event.epoch = record.epoch;
        event.text = sent.text;
        events_.push_back(event);
      }
      return;
    case RecordKind::kRelease:
      releasing_ = true;
      Lose(LossCause::kReleased);
      return;
    case RecordKind::kUnreadable:
      return;
  }
}

LogAppend DutyLease::MakeAppend(RecordKind kind,
                                const Text* text,
                                TimePoint now) {
  LogAppend append;
  append.at = next_offset_;
  append.record.kind = kind;
  append.record.holder = host_;
  append.record.writer = writer_;
  append.record.number = ++last_number_;
  append.record.length = options_.length;
  append.record.epoch = epoch();
  Sent sent;
  sent.at = append.at;
  sent.sent_at = now;
  if (text) {
    append.record.duty = text->duty;
    append.record.text = text->text;
    sent.text = text->id;
  }
  sent_[append.record.number] = sent;
  in_flight_ = append;
  return append;
}

TimePoint DutyLease::TakeableAt() const {
  const TimePoint whole_wait =
      unknown_since_ + options_.length + options_.pause;
  TimePoint at = std::max(whole_wait, changed_at_ + options_.min_return);
  if (!newest_)
    return at + options_.stagger * rank_.value_or(0);
  // No other host has written since, so no other lease can be running.
  if (newest_->own)
    return at;
  const TimePoint free_at =
      newest_->released
          ? newest_->read_at
          : newest_->read_at + std::max(newest_->length, options_.length) +
                options_.pause;
  return std::max(at, free_at) + options_.stagger * rank_.value_or(0);
}

std::optional<LogAppend> DutyLease::NextAppend(const Text* text,
                                               TimePoint now) {
  Expire(now);
  if (in_flight_ || !caught_up_ || now < retry_at_)
    return std::nullopt;
  if (held_ && (draining_ || releasing_)) {
    if (open_calls_)
      return std::nullopt;
    releasing_ = true;
    return MakeAppend(RecordKind::kRelease, nullptr, now);
  }
  if (held_) {
    if (text)
      return MakeAppend(RecordKind::kText, text, now);
    if (now >= held_->until - options_.length + options_.renew_after)
      return MakeAppend(RecordKind::kRenew, nullptr, now);
    return std::nullopt;
  }
  if (draining_ || !rank_ || now < TakeableAt() ||
      EpochAt(next_offset_) <= max_epoch_)
    return std::nullopt;
  return MakeAppend(RecordKind::kTake, nullptr, now);
}

void DutyLease::OnAppended(const AppendAnswer& answer, TimePoint now) {
  Expire(now);
  if (!in_flight_)
    return;
  const LogAppend append = *std::exchange(in_flight_, std::nullopt);
  if (answer.outcome == AppendOutcome::kUnknown) {
    caught_up_ = false;
    const int doublings = std::min(failures_++, 5);
    retry_at_ =
        now + std::min<Duration>(options_.min_retry_delay * (1 << doublings),
                                 options_.max_retry_delay);
    return;
  }
  failures_ = 0;
  // Executed in an era of which nothing is known, it gives no lease.
  if (!EnterEra(answer.era, now))
    return;
  const bool is_next = sent_.count(append.record.number) > 0 &&
                       append.at == next_offset_ && answer.offset == append.at;
  if (answer.outcome == AppendOutcome::kAccepted && is_next)
    return OnRecord(append.record, append.at, now);
  // A page may have brought the record before the answer.
  if (answer.outcome == AppendOutcome::kRejected || append.at >= next_offset_)
    caught_up_ = false;
}

std::optional<TimePoint> DutyLease::NextWake() const {
  const bool can_append = !in_flight_ && caught_up_;
  if (held_) {
    TimePoint at = held_->until;
    if (can_append && !draining_)
      at = std::min(at, std::max(retry_at_, held_->until - options_.length +
                                                options_.renew_after));
    if (can_append && draining_ && !open_calls_)
      at = std::min(at, retry_at_);
    return at;
  }
  if (can_append && !draining_ && rank_ && EpochAt(next_offset_) > max_epoch_)
    return std::max(TakeableAt(), retry_at_);
  return std::nullopt;
}

}  // namespace teaselhill::duties
