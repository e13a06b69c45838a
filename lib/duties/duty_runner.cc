/// \file
/// Reads, appends, calls and ticks of the duties.

#include "teaselhill/duties/duty_runner.h"

#include <algorithm>
#include <utility>

namespace teaselhill::duties {

namespace {

/// Part of the platform's rate that one holder uses: the one before it may have
/// used the other half in the same second.
constexpr double kRateShare = 0.5;

/// Age by which a call has ended unless the process was frozen: its timeout
/// runs on a clock that stands still with the host.
constexpr std::chrono::milliseconds kMaxCallAge =
    PlatformApi::kCallTimeout + std::chrono::milliseconds(200);

/// Texts remembered for the next hold; more than the log retains.
constexpr size_t kMaxTexts = 512;
/// Bounds memory while the store does not answer.
constexpr size_t kMaxWaitingTexts = 64;

constexpr std::chrono::milliseconds kMinReadDelay{200};
constexpr std::chrono::seconds kMaxReadDelay{2};
/// Before a read whose answer told nothing new is repeated.
constexpr std::chrono::seconds kEmptyReadDelay{1};

}  // namespace

DutyRunner::DutyRunner(TimerService& timers,
                       Clock clock,
                       std::unique_ptr<DutyLog> log,
                       std::unique_ptr<PlatformApi> api,
                       Logger& logger,
                       Metrics& metrics,
                       std::vector<std::unique_ptr<Duty>> duties,
                       DutyRunnerOptions options)
    : timers_(timers),
      clock_(std::move(clock)),
      logger_(logger),
      metrics_(metrics),
      options_(std::move(options)),
      lease_(options_.host, options_.writer, options_.lease),
      candidates_(options_.host, options_.candidates),
      duties_(std::move(duties)),
      log_(std::move(log)),
      api_(std::move(api)) {
  ReportHeld(false);
}

DutyRunner::~DutyRunner() = default;

void DutyRunner::ReportHeld(bool held) {
  metrics_.SetGauge("teaselhill_duty_lease_held",
                    "1 while this host holds the lease on the duties",
                    held ? 1 : 0);
}

void DutyRunner::OnHosts(const std::vector<KnownHost>& hosts) {
  candidates_.OnHosts(hosts, clock_());
  Step();
}

void DutyRunner::StartDrain() {
  draining_ = true;
  lease_.Drain();
  EndHold(clock_());
  Step();
}

void DutyRunner::Keep(std::string_view duty,
                      std::string text,
                      std::function<void(Status)> done) {
  if (text.size() > kMaxTextBytes)
    return done({ResultCode::kBodyTooLarge, "text is too long to be kept"});
  if (!hold_ || !lease_.IsHeld(clock_()))
    return done({ResultCode::kOrderStale, "the lease is over"});
  if (waiting_texts_.size() >= kMaxWaitingTexts)
    return done({ResultCode::kQueueFull, "too many texts wait to be kept"});
  DutyLease::Text waiting;
  waiting.id = ++last_text_;
  waiting.duty = std::string(duty);
  waiting.text = std::move(text);
  waiting_texts_.push_back({std::move(waiting), std::move(done)});
  Step();
}

Status DutyRunner::CheckCall(TimePoint now) {
  if (!hold_ || draining_ || !lease_.IsHeld(now, PlatformApi::kCallTimeout))
    return {ResultCode::kOrderStale, "the lease may end before the call"};
  if (open_call_ ||
      (now < calls_over_at_ && unanswered_epoch_ != lease_.epoch()))
    return {ResultCode::kQueueFull, "another call may be under way"};
  const double rate = options_.calls_per_second * kRateShare;
  call_tokens_ = std::min(std::max(rate, 1.0),
                          call_tokens_ + rate * ToSeconds(now - tokens_at_));
  tokens_at_ = now;
  if (call_tokens_ < 1)
    return {ResultCode::kQueueFull, "the rate of calls is used up"};
  return Ok{};
}

PlatformApi::Callback DutyRunner::BeginCall(Call call,
                                            TimePoint now,
                                            PlatformApi::Callback callback) {
  call_tokens_ -= 1;
  open_call_ = OpenCall{call, lease_.epoch(), *hold_, now, std::move(callback)};
  return [this, alive = std::weak_ptr<bool>(alive_),
          number = ++last_call_](CallOutcome outcome) {
    if (alive.expired() || !open_call_ || number != last_call_)
      return;
    OnCallEnded(outcome);
    Step();
  };
}

void DutyRunner::OnCallEnded(CallOutcome outcome) {
  const OpenCall ended = *std::exchange(open_call_, std::nullopt);
  const TimePoint now = clock_();
  // What is under way in the network may arrive after the call was given up.
  if (outcome == CallOutcome::kUnknown) {
    calls_over_at_ = now + options_.lease.pause;
    unanswered_epoch_ = ended.epoch;
  }
  logger_.Write(
      LogLine(outcome == CallOutcome::kAccepted ? LogLevel::kInfo
                                                : LogLevel::kWarning,
              "duty_call")
          .Field("call", ended.call == Call::kUsage ? "usage" : "servers")
          .Field("epoch", ended.epoch)
          .Field("outcome", CallOutcomeName(outcome))
          .Field("took_ms", now - ended.sent_at));
  if (hold_ == ended.hold && lease_.IsHeld(now))
    ended.callback(outcome);
}

void DutyRunner::GiveUpCall(TimePoint now) {
  if (!open_call_ || (lease_.epoch() == open_call_->epoch &&
                      now < open_call_->sent_at + kMaxCallAge))
    return;
  api_->Cancel();
  OnCallEnded(CallOutcome::kUnknown);
}

Status DutyRunner::ReportUsage(const UsageReport& report,
                               PlatformApi::Callback callback) {
  const TimePoint now = clock_();
  const Status allowed = CheckCall(now);
  if (allowed)
    api_->ReportUsage(lease_.epoch(), report,
                      BeginCall(Call::kUsage, now, std::move(callback)));
  return allowed;
}

Status DutyRunner::OrderServers(const PoolOrder& order,
                                PlatformApi::Callback callback) {
  const TimePoint now = clock_();
  const Status allowed = CheckCall(now);
  if (allowed)
    api_->OrderServers(lease_.epoch(), order,
                       BeginCall(Call::kServers, now, std::move(callback)));
  return allowed;
}

void DutyRunner::Step() {
  step_again_ = true;
  if (stepping_)
    return;
  stepping_ = true;
  while (std::exchange(step_again_, false))
    StepOnce();
  stepping_ = false;
  ArmTimer(clock_());
}

void DutyRunner::StepOnce() {
  const TimePoint now = clock_();
  HandleEvents(now);
  GiveUpCall(now);
  lease_.SetOpenCalls(open_call_ || now < calls_over_at_);
  if (hold_ && now >= next_tick_at_) {
    next_tick_at_ = now + Duty::kTickPeriod;
    for (const std::unique_ptr<Duty>& duty : duties_) {
      // Each may take time; the lease may end meanwhile.
      if (lease_.IsHeld(clock_()))
        duty->OnTick(clock_());
    }
  }
  SendAppend(clock_());
  SendRead(clock_());
}

void DutyRunner::HandleEvents(TimePoint now) {
  for (const LeaseEvent& event : lease_.TakeEvents(now)) {
    switch (event.kind) {
      case LeaseEvent::Kind::kAcquired:
        OnAcquired(event, now);
        break;
      case LeaseEvent::Kind::kLost:
        OnLost(event, now);
        break;
      case LeaseEvent::Kind::kTextKept:
        OnTextKept(event.text);
        break;
    }
  }
}

void DutyRunner::OnAcquired(const LeaseEvent& event, TimePoint now) {
  logger_.Write(LogLine(LogLevel::kInfo, "duty_lease")
                    .Field("state", "acquired")
                    .Field("epoch", event.epoch));
  ReportHeld(true);
  metrics_.SetGauge("teaselhill_duty_epoch",
                    "Epoch of the last lease on the duties that this host held",
                    static_cast<double>(event.epoch));
  if (draining_ || !lease_.IsHeld(now))
    return;
  hold_ = ++last_hold_;
  next_tick_at_ = now;
  call_tokens_ = 1;
  tokens_at_ = now;
  for (const std::unique_ptr<Duty>& duty : duties_) {
    const KeptTexts kept = TextsOf(duty->name());
    const auto lost =
        std::count_if(kept.texts.begin(), kept.texts.end(),
                      [](const KeptText& text) { return text.lost; });
    logger_.Write(LogLine(LogLevel::kInfo, "duty_texts")
                      .Field("duty", duty->name())
                      .Field("texts", static_cast<uint64_t>(kept.texts.size()))
                      .Field("lost", static_cast<uint64_t>(lost))
                      .Field("complete_ms", now - kept.complete_since));
    duty->OnAcquired(*this, kept, now);
  }
}

KeptTexts DutyRunner::TextsOf(std::string_view duty) const {
  KeptTexts kept;
  kept.complete_since = lease_.complete_since();
  for (const ReadText& text : texts_) {
    if (text.duty == duty)
      kept.texts.push_back(text.kept);
  }
  return kept;
}

void DutyRunner::OnLost(const LeaseEvent& event, TimePoint now) {
  const bool released = event.cause == LossCause::kReleased;
  LogLine line(released ? LogLevel::kInfo : LogLevel::kWarning, "duty_lease");
  line.Field("state", released ? "released" : "lost");
  if (!released)
    line.Field("cause", LossCauseName(event.cause));
  logger_.Write(line.Field("epoch", event.epoch));
  ReportHeld(false);
  EndHold(now);
}

void DutyRunner::EndHold(TimePoint now) {
  if (!hold_)
    return;
  hold_.reset();
  waiting_texts_.clear();
  for (const std::unique_ptr<Duty>& duty : duties_)
    duty->OnLost(now);
}

void DutyRunner::OnTextKept(uint64_t id) {
  const auto found = std::find_if(
      waiting_texts_.begin(), waiting_texts_.end(),
      [id](const WaitingText& each) { return each.text.id == id; });
  if (found == waiting_texts_.end() || !hold_)
    return;
  const std::function<void(Status)> done = std::move(found->done);
  waiting_texts_.erase(found);
  if (lease_.IsHeld(clock_()))
    done(Ok{});
}

void DutyRunner::SendAppend(TimePoint now) {
  const DutyLease::Text* text =
      hold_ && !waiting_texts_.empty() ? &waiting_texts_.front().text : nullptr;
  const std::optional<LogAppend> append = lease_.NextAppend(text, now);
  if (!append)
    return;
  log_->Append(*append, [this, append = *append](const AppendAnswer& answer) {
    const uint64_t offset = lease_.next_offset();
    lease_.OnAppended(answer, clock_());
    MarkLostTexts(offset);
    if (lease_.next_offset() > offset) {
      RememberTexts({append.record});
      // The read in progress would return only the record just appended.
      if (reading_)
        log_->CancelRead();
      reading_ = false;
    }
    Step();
  });
}

ReadPlan DutyRunner::PlanRead(TimePoint now) const {
  return candidates_.Plan(
      last_read_at_, last_answered_read_at_ - lease_.newest_read_at(), now);
}

void DutyRunner::SendRead(TimePoint now) {
  if (!candidates_.rank())
    return;
  const ReadPlan plan = PlanRead(now);
  lease_.SetRank(lease_.known() ? plan.rank : std::nullopt);
  const bool urgent = lease_.known() && lease_.needs_read();
  if (reading_) {
    if (!urgent || read_wait_ == Duration::zero())
      return;
    log_->CancelRead();
    reading_ = false;
  }
  const bool held = lease_.epoch() != 0;
  if (now < read_not_before_ || (!urgent && (held || now < plan.at)))
    return;
  reading_ = true;
  read_wait_ = urgent || !lease_.known() ? Duration::zero() : plan.max_wait;
  last_read_at_ = now;
  log_->Read(lease_.next_offset(), read_wait_,
             [this](Result<LogPage> page) { OnPage(std::move(page)); });
}

void DutyRunner::OnPage(Result<LogPage> page) {
  reading_ = false;
  const TimePoint now = clock_();
  if (!page) {
    const int doublings = std::min(read_failures_++, 5);
    read_not_before_ =
        now +
        std::min<Duration>(kMinReadDelay * (1 << doublings), kMaxReadDelay);
    return Step();
  }
  read_failures_ = 0;
  last_answered_read_at_ = *last_read_at_;
  const uint64_t offset = lease_.next_offset();
  lease_.OnPage(*page, now);
  MarkLostTexts(offset);
  if (lease_.next_offset() > offset && !page->dropped)
    RememberTexts(page->records);
  if (lease_.next_offset() == offset && lease_.needs_read())
    read_not_before_ = now + kEmptyReadDelay;
  Step();
}

void DutyRunner::MarkLostTexts(uint64_t previous_offset) {
  if (lease_.next_offset() >= previous_offset)
    return;
  logger_.Write(
      LogLine(LogLevel::kWarning, "duty_log_restored")
          .Field("previous_end", previous_offset)
          .Field("texts_known", static_cast<uint64_t>(texts_.size())));
  // The log came back from an older copy. What it still has is read again; the
  // other texts may have been acted on, so the next holder has to know them.
  for (ReadText& text : texts_)
    text.kept.lost = true;
}

bool DutyRunner::FindAgain(std::pair<uint64_t, uint64_t> id) {
  if (text_ids_.count(id) == 0)
    return false;
  for (ReadText& text : texts_) {
    if (text.id == id)
      text.kept.lost = false;
  }
  return true;
}

void DutyRunner::RememberTexts(const std::vector<LeaseRecord>& records) {
  for (const LeaseRecord& record : records) {
    const std::pair id(record.writer, record.number);
    if (record.kind != RecordKind::kText || FindAgain(id))
      continue;
    text_ids_.insert(id);
    texts_.push_back({id, record.duty, {record.text}});
    if (texts_.size() <= kMaxTexts)
      continue;
    text_ids_.erase(texts_.front().id);
    texts_.pop_front();
  }
}

void DutyRunner::ArmTimer(TimePoint now) {
  std::optional<TimePoint> at = lease_.NextWake();
  const auto wake_at = [&at](TimePoint time) {
    at = at ? std::min(*at, time) : time;
  };
  if (hold_)
    wake_at(next_tick_at_);
  // Looks whether the process was frozen.
  if (open_call_)
    wake_at(now + Duty::kTickPeriod);
  if (draining_ && now < calls_over_at_)
    wake_at(calls_over_at_);
  if (candidates_.rank() && !reading_) {
    const bool urgent = lease_.known() && lease_.needs_read();
    const bool held = lease_.epoch() != 0;
    const ReadPlan plan = PlanRead(now);
    if (urgent)
      wake_at(read_not_before_);
    else if (!held)
      wake_at(std::max(plan.at, read_not_before_));
  }
  if (!at)
    return wake_timer_.Cancel();
  wake_timer_ = timers_.After(std::max(*at - now, Duration::zero()),
                              [this](TimePoint) { Step(); });
}

}  // namespace teaselhill::duties
