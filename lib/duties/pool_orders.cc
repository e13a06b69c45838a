/// \file
/// Choice of the next order of servers of one service.

#include <algorithm>

#include "pool_service_planner.h"

namespace teaselhill::duties {

namespace {

/// Until an order is repeated because servers are missing: a server that
/// restarts is missing for some seconds.
constexpr std::chrono::seconds kMissingTime{6};
constexpr std::chrono::seconds kMaxMissingTime{60};

constexpr std::chrono::seconds kReadyTime{1};

/// Time between two orders that raise a subject without a shortage: a rise of
/// the demand is one order, not one for each step of it.
constexpr std::chrono::seconds kRaisePeriod{2};
/// Until the first orders that raise without a shortage: the rates of all hosts
/// and the pace of the engines are hardly known before.
constexpr std::chrono::seconds kFirstRaiseTime{3};
/// Demand as a multiple of its base above which it counts as a burst.
constexpr double kBurstFactor = 1.5;

}  // namespace

bool PoolPlanner::ServicePlanner::MayLower(TimePoint now) const {
  const PoolFigures& figures = load_.figures();
  const bool in_burst =
      figures.now.prompt_tokens > kBurstFactor * figures.base.prompt_tokens ||
      figures.now.open > kBurstFactor * figures.base.open;
  return figures.complete && !figures.under_pressure && !in_burst &&
         now - begun_at_ >= options_.acquired_time &&
         now - *load_.first_work_at() >= options_.settle_time &&
         Since(lowered_at_, now) >= options_.lower_period;
}

std::optional<PoolPlanner::ServicePlanner::Candidate>
PoolPlanner::ServicePlanner::Choose(TimePoint now) {
  // Without any work seen, nothing is known of the need.
  if (!load_.first_work_at() || ready_ == 0)
    return std::nullopt;
  std::optional<Candidate> best;
  double best_saving = 0;
  for (const DomainTarget& target : target_.domains) {
    Domain& domain = domains_[target.domain];
    for (const bool reclaimable : {false, true}) {
      std::optional<Candidate> candidate =
          Consider(target.domain, domain, target, reclaimable, now);
      if (!candidate)
        continue;
      const PlannedOrder& planned = candidate->planned;
      // Lower the dearest first, raise the cheapest.
      const double saving = spec_.PriceIn(target.domain) *
                            (planned.previous - planned.order.servers);
      if (best &&
          (candidate->priority > best->priority ||
           (candidate->priority == best->priority && saving <= best_saving)))
        continue;
      best = std::move(candidate);
      best_saving = saving;
    }
  }
  return best;
}

std::optional<PoolPlanner::ServicePlanner::Candidate>
PoolPlanner::ServicePlanner::Consider(const std::string& name,
                                      Domain& domain,
                                      const DomainTarget& target,
                                      bool reclaimable,
                                      TimePoint now) const {
  const Subject& subject = SubjectOf(domain, reclaimable);
  if (subject.under_way || IsFuture(subject.not_before, now) ||
      IsFuture(subject.unavailable_until, now))
    return std::nullopt;
  // Where there were none, one order at a time finds out whether there are now.
  if (subject.none_available &&
      Since(none_available_at_, now) < options_.unavailable_time)
    return std::nullopt;
  int wanted = WantedOf(domain, target, reclaimable);
  if (subject.none_available)
    wanted = std::max(wanted, EvenShare(domain));
  std::optional<Candidate> candidate;
  if (!domain.lost)
    candidate = ConsiderRaise(domain, subject, wanted, reclaimable, now);
  if (!candidate)
    candidate = ConsiderRepeat(domain, subject, reclaimable, now);
  if (!candidate && !domain.lost)
    candidate = ConsiderLower(domain, subject, wanted, reclaimable, now);
  if (!candidate)
    return std::nullopt;
  PlannedOrder& planned = candidate->planned;
  planned.order.service = service_;
  planned.order.domain = name;
  planned.order.reclaimable = reclaimable;
  planned.previous = subject.ordered;
  planned.present = PresentOf(domain, reclaimable);
  planned.ready = ready_;
  planned.figures = load_.figures();
  planned.target = target_;
  return candidate;
}

std::optional<PoolPlanner::ServicePlanner::Candidate>
PoolPlanner::ServicePlanner::ConsiderRaise(const Domain& domain,
                                           const Subject& subject,
                                           int wanted,
                                           bool reclaimable,
                                           TimePoint now) const {
  if (wanted <= subject.ordered)
    return std::nullopt;
  const bool shortage = ReadyOrBooting(now) < target_.now;
  const bool worth_it =
      wanted - subject.ordered >=
      Deadband(options_.raise_deadband, subject.ordered,
               reclaimable ? options_.min_reclaimable_change : 1);
  const bool settled =
      Since(subject.lowered_at, now) >= options_.reversal_time &&
      Since(subject.raised_at, now) >= kRaisePeriod &&
      now - *load_.first_work_at() >= kFirstRaiseTime;
  if (!shortage && !(worth_it && settled))
    return std::nullopt;
  Candidate candidate;
  candidate.planned.order.servers = wanted;
  candidate.planned.reason =
      shortage ? PoolReason::kShortage : PoolReason::kRaise;
  // In a shortage, servers on demand come for certain.
  candidate.priority = shortage ? (reclaimable ? 1 : 0) : (reclaimable ? 2 : 3);
  return candidate;
}

std::optional<PoolPlanner::ServicePlanner::Candidate>
PoolPlanner::ServicePlanner::ConsiderRepeat(const Domain& domain,
                                            const Subject& subject,
                                            bool reclaimable,
                                            TimePoint now) const {
  Candidate candidate;
  candidate.planned.order.servers = subject.ordered;
  candidate.priority = 4;
  if (!subject.confirmed) {
    candidate.planned.reason = PoolReason::kUnknown;
    return candidate;
  }
  const Duration missing_time = std::min<Duration>(
      kMissingTime * (1 << std::min(subject.repeats, 6)), kMaxMissingTime);
  const bool repeat =
      subject.deviates_since &&
      Since(subject.deviates_since, now) >= kMissingTime &&
      Since(subject.sent_at, now) >= missing_time + spec_.boot_time &&
      now - begun_at_ >= options_.acquired_time;
  if (!repeat)
    return std::nullopt;
  candidate.planned.reason = PoolReason::kRestore;
  candidate.priority = 5;
  return candidate;
}

std::optional<PoolPlanner::ServicePlanner::Candidate>
PoolPlanner::ServicePlanner::ConsiderLower(const Domain& domain,
                                           const Subject& subject,
                                           int wanted,
                                           bool reclaimable,
                                           TimePoint now) const {
  // The share of a domain whose reclaimable servers are tried again may be
  // above its target, which is what `lower_since` goes by.
  if (wanted >= subject.ordered)
    return std::nullopt;
  const bool settled =
      Since(subject.lower_since, now) != Duration::max() &&
      Since(subject.lower_since, now) >= options_.lower_delay &&
      Since(subject.raised_at, now) >= options_.reversal_time;
  if (!settled || !MayLower(now))
    return std::nullopt;
  const int step =
      std::max(1, static_cast<int>(subject.ordered * options_.max_lower_part));
  const int servers = std::max(wanted, subject.ordered - step);
  const int removed = std::max(0, PresentOf(domain, reclaimable) - servers);
  if (ReadyFor(kReadyTime, now) - removed < target_.total)
    return std::nullopt;
  Candidate candidate;
  candidate.planned.order.servers = servers;
  candidate.planned.reason = PoolReason::kLower;
  candidate.priority = reclaimable ? 7 : 6;
  return candidate;
}

}  // namespace teaselhill::duties
