/// \file
/// Reading and delivery of a log stream.

#include "teaselhill/services/log_tail.h"

#include <utility>

namespace teaselhill::services {

LogTail::LogTail(LogClient& client,
                 TimerService& timers,
                 Rng& rng,
                 LogTailOptions options,
                 LogTailObserver& observer)
    : client_(client),
      timers_(timers),
      options_(std::move(options)),
      observer_(observer),
      backoff_(rng, options_.backoff),
      read_now_timeout_(options_.read_now_timeout) {}

LogTail::~LogTail() = default;

void LogTail::Start(LogOffset from) {
  Seek(from);
}

void LogTail::Seek(LogOffset from) {
  next_offset_ = from;
  epoch_ = std::make_shared<int>(0);
  reading_ = read_requested_ = false;
  read_now_timer_.Cancel();
  lag_.offset_dropped = false;
  lag_.ends_before_offset = false;
  ReadAfter(Duration{});
}

void LogTail::ReadNow() {
  if (!reading_)
    return Read();
  if (std::exchange(read_requested_, true))
    return;
  read_now_timer_ =
      timers_.After(read_now_timeout_, [this](TimePoint) { AbandonRead(); });
}

void LogTail::AbandonRead() {
  // The answer to the abandoned read may still arrive and is then ignored.
  epoch_ = std::make_shared<int>(0);
  reading_ = read_requested_ = false;
  read_now_timeout_ =
      std::min(read_now_timeout_ * 2, options_.max_read_now_timeout);
  OnFailure({ResultCode::kTimedOut,
             "the log did not answer the read in time after a hint"});
}

void LogTail::ReadAfter(Duration delay) {
  timer_ = timers_.After(delay, [this](TimePoint) { Read(); });
}

void LogTail::Read() {
  timer_.Cancel();
  reading_ = true;
  // If the last read failed, a long poll would delay the detection of the log's
  // recovery by up to `poll_wait`.
  const bool use_long_poll = lag_.reachable && !lag_.ends_before_offset;
  const Duration wait = use_long_poll ? options_.poll_wait : Duration{};
  client_.Read(
      {options_.stream, next_offset_, options_.max_batch_records, wait},
      [this,
       epoch = std::weak_ptr<int>(epoch_)](const Result<LogPage>& answer) {
        if (!epoch.expired())
          OnAnswer(answer);
      });
}

void LogTail::OnAnswer(const Result<LogPage>& answer) {
  reading_ = read_requested_ = false;
  read_now_timer_.Cancel();
  if (!answer) {
    OnFailure(answer.error());
    return;
  }
  lag_.reachable = true;
  lag_.last_answer = timers_.Now();
  lag_.failures = 0;
  lag_.offset_dropped = false;
  backoff_.Reset();
  read_now_timeout_ =
      std::max(read_now_timeout_ / 2, options_.read_now_timeout);
  if (answer->next_offset < next_offset_) {
    const bool first_observed = !lag_.ends_before_offset;
    lag_.ends_before_offset = true;
    ReadAfter(options_.recheck_interval);
    if (first_observed)
      observer_.OnLogRestartedWithFewerRecords(next_offset_,
                                               answer->next_offset);
    return;
  }
  lag_.ends_before_offset = false;
  Deliver(*answer);
}

void LogTail::OnFailure(const Error& error) {
  if (error.code == ResultCode::kOffsetDropped) {
    lag_.reachable = true;
    lag_.last_answer = timers_.Now();
    lag_.failures = 0;
    lag_.offset_dropped = true;
    ReadAfter(options_.recheck_interval);
    observer_.OnGap(next_offset_);
    return;
  }
  lag_.reachable = false;
  ++lag_.failures;
  ReadAfter(backoff_.NextDelay());
}

void LogTail::Deliver(const LogPage& page) {
  std::vector<LogRecord> records;
  for (const LogRecord& record : page.records) {
    if (record.offset != next_offset_ + records.size())
      break;
    records.push_back(record);
  }
  // A page that does not start at the tail's offset violates the protocol. Its
  // records are not delivered and the read is retried.
  if (records.empty() && !page.records.empty()) {
    OnFailure({ResultCode::kProtocolError,
               "the page does not start at the requested offset"});
    return;
  }
  next_offset_ += records.size();
  lag_.behind =
      page.next_offset > next_offset_ ? page.next_offset - next_offset_ : 0;
  // The delay avoids a busy loop on a log that answers empty pages at once.
  if (records.empty())
    ReadAfter(backoff_.NextDelay());
  else
    ReadAfter(lag_.behind == 0 ? options_.batch_delay : Duration{});
  if (!records.empty())
    observer_.OnRecords(records);
}

}  // namespace teaselhill::services
