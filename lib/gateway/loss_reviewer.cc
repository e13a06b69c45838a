/// \file
/// Evidence for and against crashes of upstreams.

#include "teaselhill/gateway/loss_reviewer.h"

#include <algorithm>
#include <utility>

namespace teaselhill::gateway {

/// Time since the last answer of the directory's source for which its entries
/// show that their processes renew them.
static constexpr std::chrono::seconds kMaxDirectoryAge{2};

/// Smallest difference of two times.
static constexpr Duration kTimeStep{1};

/// Whether each start of the upstream has a new id, as far as its entry tells.
static bool HasNewIdPerStart(const UpstreamEntry& upstream) {
  return upstream.incarnation == 0;
}

static std::unordered_set<std::string> OtherIdsAtAddress(
    const UpstreamEntry& upstream,
    const UpstreamList& upstreams) {
  std::unordered_set<std::string> ids;
  for (const auto& [service, entries] : upstreams.by_service) {
    for (const UpstreamEntry& entry : entries) {
      if (entry.address == upstream.address && entry.id != upstream.id)
        ids.insert(entry.id);
    }
  }
  return ids;
}

bool LossReviewer::OnConnectionLost(const UpstreamEntry& upstream,
                                    const UpstreamList& upstreams,
                                    TimePoint sent_at,
                                    TimePoint now,
                                    LossKind kind) {
  const UpstreamProcess process{upstream.id, upstream.incarnation};
  const auto [found, added] = reviews_.try_emplace(process);
  Review& review = found->second;
  if (added)
    review.opened_at = now;
  const bool open = !added && review.state != State::kAlive;
  const bool given_up = kind == LossKind::kGivenUp;
  if (open && !review.only_given_up && sent_at > review.first_lost_at)
    return false;
  review.last_lost_at = now;
  if (open && review.only_given_up && !given_up)
    review.first_lost_at = now;
  review.only_given_up = given_up && (!open || review.only_given_up);
  if (open)
    return true;
  review.upstream = upstream;
  review.known_at_address = OtherIdsAtAddress(upstream, upstreams);
  review.state = State::kPending;
  review.first_lost_at = now;
  review.next_directory_check_at = now + options_.directory_period;
  StartProbes(review, now);
  return true;
}

void LossReviewer::StartProbes(Review& review, TimePoint now) {
  review.probes = 0;
  review.silent_probes = 0;
  review.next_probe_at = now + options_.probe_delays.front();
}

void LossReviewer::ScheduleNextProbe(Review& review, TimePoint now) {
  review.probes = std::min(review.probes + 1, options_.probe_delays.size() - 1);
  review.next_probe_at = now + options_.probe_delays[review.probes];
}

LossVerdict LossReviewer::Crashed(const UpstreamProcess& process,
                                  Review& review,
                                  TimePoint until,
                                  std::string_view evidence) {
  review.state = State::kDown;
  review.crashed_until = until;
  return {process, /*crashed=*/true,
          std::max(review.presumed_alive_at(), review.opened_at - kTimeStep),
          until, evidence};
}

std::vector<LossVerdict> LossReviewer::Unreachable(
    const UpstreamProcess& process,
    Review& review,
    TimePoint until,
    std::string_view evidence) {
  if (review.last_lost_at <= review.crashed_until)
    return {};
  return {Crashed(process, review, until, evidence)};
}

LossVerdict LossReviewer::Alive(const UpstreamProcess& process,
                                Review& review,
                                TimePoint until,
                                std::string_view evidence,
                                TimePoint since) {
  if (review.last_lost_at <= until)
    review.state = State::kAlive;
  review.crashed_until = TimePoint::min();
  return {process, /*crashed=*/false, since, until, evidence};
}

std::vector<LossVerdict> LossReviewer::OnData(const std::string& upstream_id,
                                              TimePoint opened_at,
                                              TimePoint now) {
  std::vector<LossVerdict> verdicts;
  for (auto it = reviews_.lower_bound({upstream_id, 0});
       it != reviews_.end() && it->first.id == upstream_id;) {
    Review& review = it->second;
    const TimePoint alive_at = now - options_.data_delay;
    if (opened_at >= review.first_lost_at || alive_at < review.last_lost_at) {
      ++it;
      continue;
    }
    verdicts.push_back(Alive(it->first, review, alive_at, "data", opened_at));
    it = reviews_.erase(it);
  }
  return verdicts;
}

std::vector<LossReviewer::DueProbe> LossReviewer::TakeDueProbes(TimePoint now) {
  std::vector<DueProbe> due;
  for (auto& [process, review] : reviews_) {
    if (review.is_resolved() || review.probing || review.next_probe_at > now)
      continue;
    review.probing = true;
    due.push_back({process, review.upstream});
  }
  return due;
}

void LossReviewer::OnProbeSkipped(const UpstreamProcess& process,
                                  TimePoint now) {
  const auto found = reviews_.find(process);
  if (found == reviews_.end())
    return;
  found->second.probing = false;
  ScheduleNextProbe(found->second, now);
}

std::optional<TimePoint> LossReviewer::FirstLostAt(
    const UpstreamProcess& process) const {
  const auto found = reviews_.find(process);
  if (found == reviews_.end())
    return std::nullopt;
  return found->second.first_lost_at;
}

std::vector<LossVerdict> LossReviewer::OnProbe(const UpstreamProcess& process,
                                               const ProbeReport& report,
                                               bool reaches_others,
                                               TimePoint now,
                                               WallTime wall_now) {
  const auto found = reviews_.find(process);
  if (found == reviews_.end())
    return {};
  Review& review = found->second;
  review.probing = false;
  ScheduleNextProbe(review, now);
  if (report.sent_at < review.first_lost_at)
    return {};
  if (report.outcome != ProbeReport::Outcome::kAnswered && !reaches_others)
    return {};
  switch (report.outcome) {
    case ProbeReport::Outcome::kAnswered:
      return OnResponse(process, review, report, now, wall_now);
    case ProbeReport::Outcome::kRefused:
      return Unreachable(process, review, report.sent_at, "refused");
    case ProbeReport::Outcome::kClosed:
      return Unreachable(process, review, report.sent_at, "closed");
    case ProbeReport::Outcome::kSilent:
      if (++review.silent_probes < options_.silent_probes_until_down ||
          now - review.first_lost_at < options_.max_sound_silence)
        return {};
      return Unreachable(process, review, report.sent_at, "silent");
  }
  return {};
}

std::vector<LossVerdict> LossReviewer::OnResponse(
    const UpstreamProcess& process,
    Review& review,
    const ProbeReport& report,
    TimePoint now,
    WallTime wall_now) {
  const UpstreamIdentity& identity = report.identity;
  if (identity.id && *identity.id != process.id) {
    const LossVerdict verdict = Crashed(process, review, now, "other_id");
    reviews_.erase(process);
    return {verdict};
  }
  if (identity.incarnation && *identity.incarnation > process.incarnation) {
    const LossVerdict verdict =
        Restarted(process, review, *identity.incarnation, now);
    reviews_.erase(process);
    return {verdict};
  }
  // Something in front of the upstream may have answered.
  if (!identity.id)
    return {};
  const bool own_response =
      identity.incarnation || HasNewIdPerStart(review.upstream);
  if (own_response) {
    review.alive_at = report.sent_at;
    const LossVerdict verdict =
        Alive(process, review, report.sent_at, "response");
    if (review.is_resolved())
      reviews_.erase(process);
    return {verdict};
  }
  // The response may be that of a successor with the same id. One that follows
  // a refusal is that of a successor unless its entry stays the same.
  const bool is_first = !review.last_response ||
                        review.last_response->sent_at <= review.last_lost_at;
  if (is_first)
    review.last_response = Response{report.sent_at, wall_now};
  if (review.state == State::kDown)
    return {};
  return {Alive(process, review, report.sent_at, "response",
                review.opened_at - kTimeStep)};
}

LossVerdict LossReviewer::Restarted(const UpstreamProcess& process,
                                    Review& review,
                                    uint64_t started_at,
                                    TimePoint now) {
  const std::chrono::milliseconds start{started_at};
  const std::optional<Response>& response = review.last_response;
  const bool answered_itself =
      response &&
      response->received_at.time_since_epoch() + options_.clock_tolerance <
          start;
  if (!answered_itself)
    review.last_response.reset();
  return Crashed(process, review, now, "restarted");
}

std::vector<LossVerdict> LossReviewer::OnDirectory(
    const UpstreamList& upstreams,
    TimePoint read_at,
    TimePoint now) {
  std::vector<LossVerdict> verdicts;
  for (auto it = reviews_.begin(); it != reviews_.end();) {
    Review& review = it->second;
    review.next_directory_check_at = now + options_.directory_period;
    Progress progress = Progress::kOpen;
    if (const auto verdict =
            CheckDirectory(it->first, review, upstreams, now, &progress))
      verdicts.push_back(*verdict);
    if (progress == Progress::kOpen && !review.is_resolved() &&
        IsConfirmed(review, read_at, now))
      verdicts.push_back(Alive(it->first, review, review.last_response->sent_at,
                               "entry_unchanged"));
    if (progress == Progress::kOpen &&
        now >= review.last_lost_at + options_.review_duration) {
      progress = Progress::kEnded;
      // The entry of a process that had crashed would have lapsed by now.
      if (!review.is_resolved() && now - read_at < kMaxDirectoryAge)
        verdicts.push_back(Alive(it->first, review, now, "entry_renewed"));
    }
    it = progress == Progress::kEnded ? reviews_.erase(it) : std::next(it);
  }
  return verdicts;
}

bool LossReviewer::IsConfirmed(const Review& review,
                               TimePoint read_at,
                               TimePoint now) const {
  const std::optional<Response>& response = review.last_response;
  return response && response->sent_at > review.last_lost_at &&
         now >= response->sent_at + options_.registration_delay &&
         now - read_at < kMaxDirectoryAge;
}

std::optional<LossVerdict> LossReviewer::CheckDirectory(
    const UpstreamProcess& process,
    Review& review,
    const UpstreamList& upstreams,
    TimePoint now,
    Progress* progress) {
  *progress = Progress::kEnded;
  if (upstreams.draining_ids.count(process.id) != 0)
    return Alive(process, review, now, "draining");
  bool listed = false;
  for (const auto& [service, entries] : upstreams.by_service) {
    for (const UpstreamEntry& entry : entries) {
      if (entry.id == process.id) {
        if (entry.incarnation > process.incarnation)
          return Restarted(process, review, entry.incarnation, now);
        listed = true;
      } else if (entry.address == review.upstream.address &&
                 review.known_at_address.count(entry.id) == 0) {
        return Crashed(process, review, now, "address_taken");
      }
    }
  }
  if (!listed)
    return Crashed(process, review, now, "entry_lapsed");
  *progress = Progress::kOpen;
  return std::nullopt;
}

std::optional<TimePoint> LossReviewer::NextDue() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [process, review] : reviews_) {
    consider(review.next_directory_check_at);
    if (!review.is_resolved() && !review.probing)
      consider(review.next_probe_at);
  }
  return next;
}

}  // namespace teaselhill::gateway
