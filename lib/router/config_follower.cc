/// \file
/// Configuration follower.

#include "teaselhill/router/config_follower.h"

namespace teaselhill::router {

namespace {

constexpr std::chrono::seconds kTickPeriod{1};

platform::LogTailOptions TailOptions() {
  platform::LogTailOptions options;
  options.stream = std::string(config::kConfigStream);
  return options;
}

}  // namespace

ConfigFollower::ConfigFollower(HostIncarnation self,
                               platform::LogClient& log,
                               TimerService& timers,
                               Rng& rng,
                               Logger& logger,
                               SendFunction send,
                               ChangeFunction on_change)
    : self_(std::move(self)),
      log_(log),
      timers_(timers),
      rng_(rng),
      logger_(logger),
      send_(std::move(send)),
      on_change_(std::move(on_change)),
      schedule_(self_.host),
      tail_(log, timers, rng, TailOptions(), *this) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::Start() {
  tail_.Start(state_.next_offset());
  tick_ = timers_.Subscribe(kTickPeriod, [this](TimePoint now) { Tick(now); });
}

void ConfigFollower::Tick(TimePoint now) {
  // Each host tells one other at random how far it is, so a change reaches
  // hosts that are cut off from the log in a few seconds.
  if (state_.next_offset() > config::kFirstOffset)
    send_("", peer::ConfigHint{state_.next_offset()});
  else if (!tail_.lag().reachable || tail_.lag().offset_dropped)
    send_("", peer::ConfigFetch{state_.next_offset()});
  if (!tail_.lag().reachable || writing_snapshot_)
    return;
  if (schedule_.Due(state_.next_offset(), state_.snapshot_next(), hosts_, now,
                    rng_))
    WriteSnapshot();
}

void ConfigFollower::OnRecords(
    const std::vector<platform::LogRecord>& records) {
  for (const platform::LogRecord& record : records) {
    const config::Verdict verdict = state_.Apply(record.offset, record.data);
    LogLine line(LogLevel::kInfo, "config_record");
    line.Field("offset", record.offset)
        .Field("verdict", config::VerdictName(verdict.kind))
        .Field("change_id", verdict.change_id)
        .Field("author", verdict.author)
        .Field("reason", verdict.reason);
    if (verdict.object)
      line.Field("object", config::DescribeObject(*verdict.object));
    logger_.Write(line);
  }
  // Another source may have brought the state further than this tail is.
  if (state_.next_offset() > tail_.next_offset())
    tail_.Seek(state_.next_offset());
  Publish();
}

void ConfigFollower::OnGap(LogOffset from) {
  if (reading_snapshots_)
    return;
  logger_.Write(LogLine(LogLevel::kWarning, "config_gap").Field("from", from));
  reading_snapshots_ = true;
  snapshots_.clear();
  log_.ReadBounds(std::string(config::kSnapshotStream),
                  [this, alive = std::weak_ptr<int>(alive_)](
                      const Result<platform::LogPage>& page) {
                    if (alive.expired())
                      return;
                    reading_snapshots_ = page.ok();
                    if (page)
                      ReadSnapshots(page->first_retained);
                  });
  send_("", peer::ConfigFetch{state_.next_offset()});
}

void ConfigFollower::OnLogRestartedWithLess(LogOffset from,
                                            LogOffset log_next) {
  logger_.Write(LogLine(LogLevel::kWarning, "config_log_restarted_with_less")
                    .Field("in_force", from)
                    .Field("log_next", log_next));
  schedule_.Force();
}

void ConfigFollower::ReadSnapshots(LogOffset from) {
  platform::LogRead read;
  read.stream = std::string(config::kSnapshotStream);
  read.from = from;
  log_.Read(read, [this, from, alive = std::weak_ptr<int>(alive_)](
                      Result<platform::LogPage> page) {
    if (alive.expired())
      return;
    if (!page) {
      reading_snapshots_ = false;
      return;
    }
    for (const platform::LogRecord& record : page->records)
      snapshots_.push_back(record.data);
    if (!page->records.empty() &&
        page->records.back().offset + 1 < page->next_offset) {
      ReadSnapshots(page->records.back().offset + 1);
      return;
    }
    reading_snapshots_ = false;
    const std::optional<size_t> best = config::BestSnapshot(snapshots_);
    if (best)
      Adopt(snapshots_[*best], "log");
    snapshots_.clear();
  });
}

void ConfigFollower::Adopt(const std::string& snapshot,
                           const std::string& source) {
  const Result<config::SnapshotOutcome> outcome = state_.Adopt(snapshot);
  LogLine line(outcome ? LogLevel::kInfo : LogLevel::kWarning,
               "config_snapshot");
  line.Field("source", source).Field("next_offset", state_.next_offset());
  if (!outcome)
    line.Field("fault", outcome.error().message);
  else
    line.Field("adopted", *outcome == config::SnapshotOutcome::kAdopted);
  logger_.Write(line);
  if (!outcome || *outcome != config::SnapshotOutcome::kAdopted)
    return;
  tail_.Seek(state_.next_offset());
  Publish();
}

void ConfigFollower::Publish() {
  if (state_.next_offset() == config::kFirstOffset)
    return;
  const std::shared_ptr<const config::ConfigView> view = state_.View();
  if (view == published_)
    return;
  published_ = view;
  on_change_(view);
}

void ConfigFollower::WriteSnapshot() {
  const std::string snapshot = state_.Export();
  const LogOffset through = state_.next_offset() - 1;
  writing_snapshot_ = true;
  log_.Append(std::string(config::kSnapshotStream), {snapshot},
              [this, through,
               alive = std::weak_ptr<int>(alive_)](Result<LogOffset> appended) {
                if (alive.expired())
                  return;
                writing_snapshot_ = false;
                if (!appended) {
                  schedule_.OnWriteFailed(timers_.Now());
                  return;
                }
                // A lost note only delays the next snapshot's schedule.
                log_.Append(std::string(config::kConfigStream),
                            {config::EncodeSnapshotNote(through)},
                            [](Result<LogOffset>) {});
              });
}

void ConfigFollower::OnHint(const std::string& from,
                            const peer::ConfigHint& hint) {
  if (hint.next_offset <= state_.next_offset())
    return;
  if (tail_.lag().reachable && !tail_.lag().offset_dropped) {
    tail_.Poke();
    return;
  }
  send_(from, peer::ConfigFetch{state_.next_offset()});
}

void ConfigFollower::OnFetch(const std::string& from,
                             const peer::ConfigFetch& fetch) {
  if (state_.next_offset() > fetch.next_offset)
    send_(from, peer::ConfigTransfer{state_.Export()});
}

void ConfigFollower::OnTransfer(const std::string& from,
                                const peer::ConfigTransfer& transfer) {
  Adopt(transfer.state, from);
}

}  // namespace teaselhill::router
