/// \file
/// Configuration exchange between hosts.

#include "teaselhill/router/config_exchange.h"

#include <algorithm>
#include <utility>

namespace teaselhill::router {

namespace {

/// Each host gossips its offset to a random peer in each period. Together with
/// the hints after a change, this lets the change reach a host without access
/// to the log within a few seconds.
constexpr std::chrono::seconds kGossipPeriod{1};

/// If the log has not confirmed a hint within this time, the state is fetched
/// from the peer: a read of the log may hang for 30 s when its response was
/// lost. The time is short, because the change may have to pass through several
/// such hosts, each of which delays it by this time.
constexpr std::chrono::milliseconds kHintTimeout{500};

/// Number of random peers that are notified of a change at once. Each of them
/// notifies others in turn, so that the hints reach all hosts. With periodic
/// gossip alone, a failure domain without access to the log was up to 17 s
/// behind.
constexpr int kHintsPerChange = 3;

services::ConfigFollowerOptions FollowerOptions(const std::string& host) {
  services::ConfigFollowerOptions options;
  options.host = host;
  return options;
}

}  // namespace

ConfigExchange::ConfigExchange(const std::string& host,
                               services::LogClient& log,
                               TimerService& timers,
                               Rng& rng,
                               Logger& logger,
                               SendFunction send,
                               ChangeFunction on_change)
    : log_(log),
      timers_(timers),
      logger_(logger),
      send_(std::move(send)),
      on_change_(std::move(on_change)),
      follower_(log, timers, rng, FollowerOptions(host), *this) {
  log_.monitor().Subscribe(*this);
}

ConfigExchange::~ConfigExchange() {
  log_.monitor().Unsubscribe(*this);
}

void ConfigExchange::Start() {
  follower_.Start();
  timer_ =
      timers_.Subscribe(kGossipPeriod, [this](TimePoint) { SendGossip(); });
}

void ConfigExchange::OnSourceInDoubt() {
  if (!std::exchange(doubt_told_, true))
    SpreadHints();
}

void ConfigExchange::SpreadHints() {
  if (next_offset() == kFirstOffset)
    return;
  for (int i = 0; i < kHintsPerChange; ++i)
    SendGossip();
}

void ConfigExchange::SendGossip() {
  const bool in_doubt = log_.monitor().in_doubt();
  doubt_told_ = doubt_told_ && in_doubt;
  if (next_offset() > kFirstOffset)
    send_("", peer::ConfigHint{next_offset(), in_doubt});
  else if (!lag().reachable)
    send_("", peer::ConfigFetch{next_offset()});
}

void ConfigExchange::OnHint(const std::string& from,
                            const peer::ConfigHint& hint) {
  if (hint.log_unreachable)
    follower_.OnPeerWithoutLog();
  if (hint.next_offset <= next_offset())
    return;
  follower_.OnPeerOffset(hint.next_offset);
  const bool log_usable =
      lag().reachable && !lag().offset_dropped && !lag().ends_before_offset;
  if (!log_usable)
    return send_(from, peer::ConfigFetch{next_offset()});
  const bool pending = hinted_offset_ != LogOffset{};
  hinted_offset_ = std::max(hinted_offset_, hint.next_offset);
  if (pending)
    return;
  hint_timer_ = timers_.After(kHintTimeout, [this, from](TimePoint) {
    if (next_offset() < std::exchange(hinted_offset_, LogOffset{}))
      send_(from, peer::ConfigFetch{next_offset()});
  });
}

void ConfigExchange::OnFetch(const std::string& from,
                             const peer::ConfigFetch& fetch) {
  if (next_offset() > fetch.next_offset)
    send_(from, peer::ConfigTransfer{follower_.state().Export()});
}

void ConfigExchange::OnTransfer(const std::string& from,
                                const peer::ConfigTransfer& transfer) {
  const Result<config::SnapshotOutcome> outcome =
      follower_.AdoptFromPeer(transfer.state);
  LogLine line(outcome ? LogLevel::kInfo : LogLevel::kWarning,
               "config_transfer");
  line.Field("from", from).Field("next_offset", next_offset());
  if (!outcome)
    line.Field("fault", outcome.error().message);
  else
    line.Field("adopted", *outcome == config::SnapshotOutcome::kAdopted);
  logger_.Write(line);
}

void ConfigExchange::OnConfig(std::shared_ptr<const config::ConfigView> view) {
  on_change_(std::move(view));
  SpreadHints();
}

void ConfigExchange::OnVerdict(const config::Verdict& verdict) {
  LogLine line(LogLevel::kInfo, "config_record");
  line.Field("offset", verdict.offset)
      .Field("verdict", config::VerdictName(verdict.kind))
      .Field("change_id", verdict.change_id)
      .Field("author", verdict.author)
      .Field("reason", verdict.reason);
  if (verdict.object)
    line.Field("object", config::DescribeObject(*verdict.object));
  logger_.Write(line);
}

void ConfigExchange::OnProblem(const Error& error) {
  logger_.Write(LogLine(LogLevel::kWarning, "config_problem")
                    .Field("code", static_cast<int>(error.code))
                    .Field("fault", error.message));
}

}  // namespace teaselhill::router
