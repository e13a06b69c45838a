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
      backoff_(rng, options_.backoff) {
  client_.monitor().Subscribe(*this);
}

LogTail::~LogTail() {
  client_.monitor().Unsubscribe(*this);
}

void LogTail::Start(LogOffset from) {
  Seek(from);
}

void LogTail::Seek(LogOffset from) {
  next_offset_ = from;
  ForgetReads();
  lag_.offset_dropped = false;
  lag_.ends_before_offset = false;
  ReadAfter(Duration{});
}

void LogTail::ReadNow() {
  if (!reading_)
    return Read();
  if (std::exchange(repeat_scheduled_, true))
    return;
  repeat_timer_ = timers_.After(options_.answer_timeout,
                                [this](TimePoint) { RepeatRead(); });
}

void LogTail::OnSourceInDoubt() {
  if (reading_ && long_poll_)
    ReadAfter(Duration{});
}

void LogTail::RepeatRead() {
  // The log client bounds the time of each read, and so their number.
  OnUnreachable();
  Read();
}

void LogTail::ForgetReads() {
  epoch_ = std::make_shared<int>(0);
  reading_ = repeat_scheduled_ = false;
  repeat_timer_.Cancel();
}

void LogTail::ReadAfter(Duration delay) {
  timer_ = timers_.After(delay, [this](TimePoint) { Read(); });
}

void LogTail::Read() {
  timer_.Cancel();
  // If the last read failed, or the one in flight is repeated, a long poll
  // would delay the detection of the log's recovery by up to `poll_wait`.
  long_poll_ = !reading_ && lag_.reachable && !lag_.ends_before_offset &&
               !client_.monitor().in_doubt();
  reading_ = true;
  const Duration wait = long_poll_ ? options_.poll_wait : Duration{};
  repeat_scheduled_ = !long_poll_;
  if (repeat_scheduled_)
    repeat_timer_ = timers_.After(options_.answer_timeout,
                                  [this](TimePoint) { RepeatRead(); });
  client_.Read(
      {options_.stream, next_offset_, options_.max_batch_records, wait},
      [this, epoch = std::weak_ptr<int>(epoch_),
       number = ++reads_sent_](const Result<LogPage>& answer) {
        if (!epoch.expired())
          OnAnswer(number, answer);
      });
}

void LogTail::OnAnswer(uint64_t read_number, const Result<LogPage>& answer) {
  const bool was_repeated = read_number != reads_sent_;
  if (!answer && was_repeated)
    return;
  ForgetReads();
  if (!answer) {
    OnFailure(answer.error());
    return;
  }
  client_.monitor().OnAnswer();
  lag_.reachable = true;
  lag_.last_answer = timers_.Now();
  lag_.failures = 0;
  lag_.offset_dropped = false;
  backoff_.Reset();
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
  OnUnreachable();
  ReadAfter(backoff_.NextDelay());
}

void LogTail::OnUnreachable() {
  lag_.reachable = false;
  ++lag_.failures;
  client_.monitor().OnNoAnswer();
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
