/// \file
/// Replay and append for the client.

#include "teaselhill/ctl/config_session.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "teaselhill/services/snapshot_reader.h"

namespace teaselhill::ctl {

namespace {

constexpr size_t kPageLimit = 512;
constexpr int kAppendAttempts = 4;
/// A read changes nothing, so one whose answer was lost is repeated.
constexpr int kReadAttempts = 4;
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
/// Padding beyond this many records needs an operator's attention.
constexpr LogOffset kMaxPadding = 10000;

}  // namespace

ConfigSession::ConfigSession(services::LogClient& log, Waiter& waiter)
    : log_(log), waiter_(waiter) {}

template <typename T, typename Start>
Result<T> ConfigSession::ReadWithRetries(Start start) {
  for (int attempt = 1;; ++attempt) {
    std::optional<Result<T>> answer;
    start([&answer](Result<T> read) { answer = std::move(read); });
    waiter_.Until([&answer] { return answer.has_value(); });
    if (answer->ok() || answer->error().code != ResultCode::kLogUnavailable ||
        attempt == kReadAttempts)
      return std::move(*answer);
    waiter_.Sleep(kRetryDelay);
  }
}

Result<services::LogPage> ConfigSession::Read(std::string_view stream,
                                              LogOffset from) {
  return ReadWithRetries<services::LogPage>([&](auto done) {
    log_.Read({std::string(stream), from, kPageLimit, Duration{}}, done);
  });
}

Status ConfigSession::Load() {
  const Status status = LoadSnapshots();
  return status.ok() ? Replay() : status;
}

Status ConfigSession::LoadSnapshots() {
  services::SnapshotReader reader(log_);
  const auto snapshots = ReadWithRetries<std::vector<std::string>>(
      [&](auto done) { reader.Read(done); });
  if (!snapshots)
    return snapshots.error();
  // A snapshot that cannot be read or is older changes nothing.
  for (const std::string& snapshot : *snapshots)
    static_cast<void>(state_.Adopt(snapshot).ok());
  return Ok{};
}

Status ConfigSession::Replay() {
  while (true) {
    const auto page = Read(config::kConfigStream, state_.next_offset());
    if (!page && page.error().code == ResultCode::kOffsetDropped)
      return {ResultCode::kOffsetDropped,
              "the log no longer holds offset " +
                  std::to_string(state_.next_offset()) +
                  " and no snapshot covers it"};
    if (!page)
      return page.error();
    log_next_ = page->next_offset;
    for (const services::LogRecord& record : page->records) {
      const config::Verdict verdict = state_.Apply(record.offset, record.data);
      if (!verdict.change_id.empty())
        verdicts_.emplace(verdict.change_id, verdict);
    }
    if (page->records.empty() || state_.next_offset() >= page->next_offset)
      return Ok{};
  }
}

Result<LogOffset> ConfigSession::Append(const config::Change& change) {
  std::vector<std::string> records;
  if (log_restarted_with_less()) {
    const LogOffset missing = state_.next_offset() - log_next_;
    if (missing > kMaxPadding)
      return {ResultCode::kLogUnavailable,
              "the log ends " + std::to_string(missing) +
                  " records before the configuration in force"};
    records.assign(missing, config::EncodePadding());
  }
  records.push_back(config::EncodeChange(change));
  std::optional<Result<LogOffset>> answer;
  log_.Append(std::string(config::kConfigStream), std::move(records),
              [&answer](Result<LogOffset> offset) { answer = offset; });
  waiter_.Until([&answer] { return answer.has_value(); });
  return std::move(*answer);
}

Result<config::Verdict> ConfigSession::Submit(const config::Change& change) {
  Error last{ResultCode::kLogUnavailable, "nothing was appended"};
  bool may_be_on_log = false;
  for (int attempt = 0; attempt < kAppendAttempts; ++attempt) {
    if (attempt > 0)
      waiter_.Sleep(kRetryDelay);
    const auto appended = Append(change);
    if (!appended)
      last = appended.error();
    may_be_on_log |= appended.ok() || last.code == ResultCode::kAppendUnknown;
    const Status status = Replay();
    if (!status) {
      last = status.error();
      continue;
    }
    const auto found = verdicts_.find(change.change_id);
    if (found != verdicts_.end())
      return found->second;
  }
  if (may_be_on_log)
    return {ResultCode::kAppendUnknown, "it is unknown whether change " +
                                            change.change_id +
                                            " is on the log: " + last.message};
  return last;
}

}  // namespace teaselhill::ctl
