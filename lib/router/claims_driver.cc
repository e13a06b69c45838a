/// \file
/// Appends claims to the log and reads them from it.

#include "teaselhill/router/claims_driver.h"

namespace teaselhill::router {

namespace {

constexpr char kClaimsStream[] = "claims";

/// Period of the check for a due batch; the claim table limits the append rate.
constexpr std::chrono::milliseconds kFlushPeriod{5};
constexpr std::chrono::seconds kTickPeriod{1};
constexpr std::chrono::milliseconds kBoundsRetryDelay{500};

/// Pause between reads of the log, because the HTTP overhead of each response
/// is 350 bytes, more than the size of the claims of other hosts in it. An
/// append by this host ends the pause, so its own claims are acquired without
/// delay.
constexpr std::chrono::milliseconds kReadPause{500};

services::LogTailOptions TailOptions() {
  services::LogTailOptions options;
  options.stream = kClaimsStream;
  options.max_batch_records = 1024;
  options.batch_delay = kReadPause;
  return options;
}

claims::AppendOutcome ToAppendOutcome(const Result<LogOffset>& appended) {
  if (appended)
    return claims::AppendOutcome::kAppended;
  if (appended.error().code == ResultCode::kAppendUnknown)
    return claims::AppendOutcome::kUnknown;
  return claims::AppendOutcome::kFailed;
}

}  // namespace

ClaimsDriver::ClaimsDriver(claims::ClaimTable& table,
                           services::LogClient& log,
                           TimerService& timers,
                           Rng& rng,
                           ActionsCallback on_actions)
    : table_(table),
      log_(log),
      timers_(timers),
      on_actions_(std::move(on_actions)),
      tail_(log, timers, rng, TailOptions(), *this) {}

ClaimsDriver::~ClaimsDriver() = default;

void ClaimsDriver::Start() {
  ReadBounds();
  flush_timer_ =
      timers_.Subscribe(kFlushPeriod, [this](TimePoint) { Flush(); });
  tick_timer_ = timers_.Subscribe(
      kTickPeriod, [this](TimePoint now) { table_.OnTick(now); });
}

void ClaimsDriver::ReadBounds() {
  log_.ReadBounds(kClaimsStream, [this, alive = std::weak_ptr<int>(alive_)](
                                     Result<services::LogPage> page) {
    if (alive.expired())
      return;
    if (!page) {
      ScheduleBoundsRetry();
      return;
    }
    const std::vector<claims::ClaimAction> actions =
        table_.OnReadStart(page->first_retained, page->next_offset);
    if (started_)
      tail_.Seek(page->first_retained);
    else
      tail_.Start(page->first_retained);
    started_ = true;
    on_actions_(actions);
  });
}

void ClaimsDriver::ScheduleBoundsRetry() {
  retry_timer_ =
      timers_.After(kBoundsRetryDelay, [this](TimePoint) { ReadBounds(); });
}

void ClaimsDriver::Flush() {
  std::optional<claims::ClaimBatch> batch =
      table_.NextBatchToAppend(timers_.Now());
  if (!batch)
    return;
  const uint64_t number = batch->number;
  log_.Append(kClaimsStream, {claims::EncodeBatch(*batch)},
              [this, number,
               alive = std::weak_ptr<int>(alive_)](Result<LogOffset> appended) {
                if (alive.expired())
                  return;
                table_.OnAppendResult(number, ToAppendOutcome(appended),
                                      timers_.Now());
                if (appended)
                  tail_.ReadNow();
              });
}

void ClaimsDriver::OnRecords(const std::vector<services::LogRecord>& records) {
  std::vector<claims::ClaimRecord> converted;
  converted.reserve(records.size());
  for (const services::LogRecord& record : records) {
    claims::ClaimRecord claim;
    claim.offset = record.offset;
    claim.time = record.time;
    Result<claims::ClaimBatch> batch = claims::DecodeBatch(record.data);
    if (batch)
      claim.batch = std::move(*batch);
    converted.push_back(std::move(claim));
  }
  on_actions_(table_.OnRecords(converted, timers_.Now()));
}

void ClaimsDriver::OnGap(LogOffset) {
  ReadBounds();
}

void ClaimsDriver::OnLogRestartedWithFewerRecords(LogOffset, LogOffset) {
  ReadBounds();
}

}  // namespace teaselhill::router
