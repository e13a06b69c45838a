/// \file
/// Decides when a window is complete, and sums its counts.

#include "teaselhill/duties/usage_windows.h"

#include <algorithm>
#include <cmath>

#include "teaselhill/duties/usage_counter.h"

namespace teaselhill::duties {

namespace {

constexpr std::chrono::milliseconds kBin{10};

/// Longer than the time for which a window may wait.
constexpr std::chrono::seconds kCountRetention{45};

/// Time that the first round of questions takes, by which the hosts' oldest
/// counts may be gone.
constexpr std::chrono::seconds kFirstRound{1};

/// A host that has not answered for so long does not keep what it counted
/// before.
constexpr Duration kHostRetention = UsageCounter::kRetention;

/// Decay time of what counts as recent requests of a host.
constexpr std::chrono::seconds kRecentTime{5};

/// A host that was killed was so at any time until it was to be asked again.
constexpr std::chrono::seconds kAskPeriod{1};
constexpr int kLostSteps = 10;

Duration::rep BinOf(TimePoint time) {
  return time.time_since_epoch() / Duration(kBin);
}

/// The bins whose middle is not before `time` begin with this one.
Duration::rep FirstBinFrom(TimePoint time) {
  return BinOf(time + Duration(kBin) / 2);
}

}  // namespace

UsageWindows::UsageWindows(Duration window) : window_(window) {}

void UsageWindows::OnHosts(const std::vector<std::string>& hosts,
                           TimePoint now) {
  for (const std::string& name : hosts)
    hosts_[name].expected_since = now;
}

void UsageWindows::Start(std::optional<WindowNumber> last_reported,
                         TimePoint reports_known_since,
                         TimePoint now) {
  started_at_ = now;
  reports_known_since_ = reports_known_since;
  last_reported_ = last_reported;
  next_.reset();
  first_answer_at_.reset();
  counts_.clear();
  for (auto& [name, host] : hosts_) {
    host = {};
    host.expected_since = now;
  }
}

void UsageWindows::OnReport(const HostReport& report, TimePoint now) {
  Host& host = hosts_[report.host];
  if (host.answered_at && host.incarnation != report.incarnation) {
    host.lost_from = *host.answered_at;
    host.lost_until = now;
    host.lost_recent = std::move(host.recent);
    host.lost_recent_time = host.recent_time;
    host.recent.clear();
    host.recent_time = Duration::zero();
  }
  NoteRecent(report, now, &host);
  host.incarnation = report.incarnation;
  host.answered_at = now;
  if (!first_answer_at_)
    first_answer_at_ = now;
  for (const UsageCount& count : report.usage) {
    if (count.age > kCountRetention)
      continue;
    const uint32_t team = teams_.NumberOf(count.team);
    auto& bin = counts_[BinOf(now - count.age)];
    const auto found =
        std::find_if(bin.begin(), bin.end(),
                     [team](const auto& entry) { return entry.first == team; });
    if (found == bin.end())
      bin.emplace_back(team, count.requests);
    else
      found->second += count.requests;
  }
  counts_.erase(counts_.begin(),
                counts_.lower_bound(BinOf(now - kCountRetention)));
}

TimePoint UsageWindows::StartOf(WindowNumber window,
                                Duration wall_offset) const {
  return TimePoint(static_cast<Duration::rep>(window) * window_ - wall_offset);
}

std::vector<ClosedWindow> UsageWindows::Close(TimePoint now, WallTime wall) {
  std::vector<ClosedWindow> closed;
  const Duration wall_time = wall.time_since_epoch();
  const Duration offset = wall_time - now.time_since_epoch();
  // Older windows are not known, or too old to be reported.
  const TimePoint known_from =
      std::max(started_at_ - UsageCounter::kRetention + Duration(kFirstRound),
               now - kCountRetention);
  const auto first_known = static_cast<WindowNumber>(
      (known_from.time_since_epoch() + offset + window_ - Duration(1)) /
      window_);
  if (!next_)
    next_ = last_reported_ ? *last_reported_ + 1 : first_known;
  next_ = std::max(*next_, first_known);
  const TimePoint first_round_ends = started_at_ + kMinDelay;
  while (true) {
    const TimePoint begin = StartOf(*next_, offset);
    const TimePoint end = begin + window_;
    if (now < end + kMinDelay)
      break;
    if (end + kEarliestReport < reports_known_since_) {
      if (HasRunBefore(end))
        left_out_.push_back(*next_);
      ++*next_;
      continue;
    }
    ClosedWindow window;
    CheckHosts(begin, end, now, &window);
    const bool all_answered = window.hosts_answered == window.hosts_known;
    const bool is_overdue =
        now >= std::max(end + Duration(kMaxDelay), first_round_ends);
    if (window.hosts_answered == 0 || (!all_answered && !is_overdue))
      break;
    window.report.window = *next_;
    Sum(begin, end, &window);
    if (!window.report.requests_by_team.empty() || HasRunBefore(end))
      closed.push_back(std::move(window));
    ++*next_;
  }
  return closed;
}

void UsageWindows::Add(uint32_t team, double amount, Amounts* amounts) {
  const auto found =
      std::find_if(amounts->begin(), amounts->end(),
                   [team](const auto& entry) { return entry.first == team; });
  if (found == amounts->end())
    amounts->emplace_back(team, amount);
  else
    found->second += amount;
}

void UsageWindows::NoteRecent(const HostReport& report,
                              TimePoint now,
                              Host* host) {
  const bool is_first =
      !host->answered_at || host->incarnation != report.incarnation;
  Duration since = is_first ? Duration(kAskPeriod) : now - *host->answered_at;
  // All that the host keeps, which may have started a moment ago.
  for (const UsageCount& count : report.usage)
    if (is_first)
      since = std::clamp<Duration>(count.age, since, kRecentTime);
  const double kept = std::exp(-ToSeconds(since) / ToSeconds(kRecentTime));
  for (auto& [team, amount] : host->recent)
    amount *= kept;
  host->recent_time = FromSeconds(ToSeconds(host->recent_time) * kept) + since;
  for (const UsageCount& count : report.usage)
    if (!is_first || count.age <= since)
      Add(teams_.NumberOf(count.team), count.requests, &host->recent);
}

void UsageWindows::Sum(TimePoint begin,
                       TimePoint end,
                       ClosedWindow* window) const {
  std::map<uint32_t, double> sums;
  const auto last = counts_.lower_bound(FirstBinFrom(end));
  for (auto bin = counts_.lower_bound(FirstBinFrom(begin)); bin != last; ++bin)
    for (const auto& [team, requests] : bin->second)
      sums[team] += requests;
  const auto add_lost = [&](TimePoint from, const Amounts& recent,
                            Duration recent_time) {
    // The chance that the host still ran falls evenly over the period.
    for (int step = 0; step < kLostSteps; ++step) {
      const double part = (step + 0.5) / kLostSteps;
      const TimePoint at = from + FromSeconds(part * ToSeconds(kAskPeriod));
      if (at < begin || at >= end || recent_time <= Duration::zero())
        continue;
      const double seconds = (1 - part) * ToSeconds(kAskPeriod) / kLostSteps;
      for (const auto& [team, amount] : recent) {
        const double lost = amount / ToSeconds(recent_time) * seconds;
        sums[team] += lost;
        window->estimated_requests += lost;
      }
    }
  };
  for (const auto& [name, host] : hosts_) {
    add_lost(host.lost_from, host.lost_recent, host.lost_recent_time);
    // It may be frozen, or killed and not started again yet.
    if (host.answered_at && *host.answered_at < end)
      add_lost(*host.answered_at, host.recent, host.recent_time);
  }
  for (const auto& [team, requests] : sums) {
    const auto rounded = static_cast<uint64_t>(std::llround(requests));
    if (rounded > 0)
      window->report.requests_by_team[teams_.NameOf(team)] = rounded;
  }
}

bool UsageWindows::IsExpected(const Host& host, TimePoint now) const {
  const TimePoint seen_at =
      host.answered_at ? std::max(*host.answered_at, host.expected_since)
                       : host.expected_since;
  return now < seen_at + kHostRetention;
}

void UsageWindows::CheckHosts(TimePoint begin,
                              TimePoint end,
                              TimePoint now,
                              ClosedWindow* window) const {
  for (const auto& [name, host] : hosts_) {
    if (!IsExpected(host, now))
      continue;
    ++window->hosts_known;
    const bool has_answered =
        host.answered_at && *host.answered_at >= end + kSettleTime;
    window->hosts_answered += has_answered ? 1 : 0;
    window->is_short |=
        !has_answered || (host.lost_from < end && host.lost_until > begin);
    if (host.answered_at)
      window->oldest_answer =
          std::max(window->oldest_answer, now - *host.answered_at);
  }
}

bool UsageWindows::HasRunBefore(TimePoint end) const {
  if (last_reported_)
    return true;
  const bool has_counts =
      !counts_.empty() && counts_.begin()->first < BinOf(end);
  return has_counts || (first_answer_at_ && *first_answer_at_ < end);
}

}  // namespace teaselhill::duties
