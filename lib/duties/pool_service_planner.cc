/// \file
/// Orders of servers of one service.

#include "pool_service_planner.h"

#include <algorithm>
#include <cmath>

namespace teaselhill::duties {

namespace {

/// Time for which the highest demand is remembered. It is the longer, the less
/// it costs to keep the servers for the next burst.
constexpr std::chrono::seconds kMinBurstWindow{20};
constexpr std::chrono::seconds kMaxBurstWindow{120};

/// Until servers of an order count as missing, beyond their boot time.
constexpr std::chrono::seconds kBootMargin{3};
/// Time without any server after which a domain counts as lost.
constexpr std::chrono::milliseconds kLostTime{1500};

constexpr std::chrono::seconds kReadyHistory{3};

constexpr std::chrono::milliseconds kRateLimitedTime{500};
constexpr std::chrono::seconds kRefusedTime{30};
/// Doublings of the time to the repetition of a call without an answer.
constexpr int kMaxBackoffSteps = 2;

/// Servers ordered above the target while repeated orders do not bring the
/// missing ones, as a part of the target.
constexpr double kMaxReplacementPart = 0.25;

Duration BurstWindow(const PoolSpec& spec) {
  const Duration window = FromSeconds(ToSeconds(kMinBurstWindow) /
                                      std::max(0.01, spec.reclaimable_price));
  return std::clamp<Duration>(window, kMinBurstWindow, kMaxBurstWindow);
}

nlohmann::json LevelJson(const WorkLevel& level) {
  return {std::lround(level.prompt_tokens), std::lround(level.open)};
}

WorkLevel ReadLevel(const nlohmann::json& json) {
  return {json.at(0).get<double>(), json.at(1).get<double>()};
}

}  // namespace

PoolPlanner::ServicePlanner::ServicePlanner(const PoolPlannerOptions& options,
                                            const std::string& service,
                                            const nlohmann::json& kept,
                                            TimePoint now)
    : options_(options),
      service_(service),
      load_(kMinBurstWindow),
      begun_at_(now) {
  if (!kept.is_object())
    return;
  try {
    PoolFigures figures;
    figures.base = ReadLevel(kept.at("base"));
    figures.typical = ReadLevel(kept.at("typical"));
    figures.burst = ReadLevel(kept.at("burst"));
    figures.urgent = ReadLevel(kept.at("urgent"));
    figures.tokens_per_ms = kept.at("tokens_per_ms").get<double>();
    for (const nlohmann::json& order : kept.at("orders")) {
      Domain& domain = domains_[order.at(0).get<std::string>()];
      Subject& subject = SubjectOf(domain, order.at(1).get<bool>());
      subject.ordered = order.at(2).get<int>();
      subject.standing = order.at(3).get<int>();
      subject.has_order = true;
      // When the earlier holder sent it is not known.
      subject.raised_at = subject.lowered_at = now;
    }
    if (figures.tokens_per_ms > 0)
      load_.Restore(figures, now);
  } catch (const nlohmann::json::exception&) {
    // Written by another version: the servers that are present count.
    domains_.clear();
  }
}

void PoolPlanner::ServicePlanner::OnServers(const PoolService& service,
                                            TimePoint now) {
  spec_ = service.spec;
  load_.SetBurstWindow(BurstWindow(spec_));
  for (auto& [name, domain] : domains_)
    domain.present = {name, 0, 0, 0, 0};
  ready_ = 0;
  slots_ = 0;
  for (const PoolDomain& present : service.domains) {
    domains_[present.domain].present = present;
    ready_ += present.on_demand + present.reclaimable;
    slots_ += present.slots;
  }
  if (ready_ > 0 && slots_ > 0)
    slots_per_server_ = double(slots_) / ready_;
  for (auto& [name, domain] : domains_) {
    FollowReclaim(domain, now);
    FollowSubject(domain.present.on_demand, domain.on_demand, now);
    FollowSubject(domain.present.reclaimable, domain.reclaimable, now);
    if (domain.present.on_demand + domain.present.reclaimable > 0)
      domain.empty_since.reset();
    else if (!domain.empty_since)
      domain.empty_since = now;
    domain.lost = Since(domain.empty_since, now) != Duration::max() &&
                  Since(domain.empty_since, now) >= kLostTime;
  }
  ready_history_.emplace_back(now, ready_);
  while (ready_history_.size() > 1 &&
         ready_history_.front().first + kReadyHistory < now)
    ready_history_.pop_front();
}

void PoolPlanner::ServicePlanner::FollowReclaim(Domain& domain,
                                                TimePoint now) const {
  Subject& subject = domain.reclaimable;
  // An own order that lowers leaves more than half of the servers.
  const bool reclaimed = domain.present.reclaimed > 0 &&
                         domain.present.reclaimable * 2 < subject.ordered;
  if (!reclaimed)
    return;
  subject.ordered = domain.present.reclaimable;
  subject.confirmed = true;
  subject.unavailable_until = now + options_.unavailable_time;
  subject.deviates_since.reset();
}

void PoolPlanner::ServicePlanner::FollowSubject(int present,
                                                Subject& subject,
                                                TimePoint now) const {
  if (!subject.has_order) {
    subject.ordered = subject.standing = present;
    subject.has_order = true;
  }
  if (present == subject.ordered) {
    subject.deviates_since.reset();
    subject.repeats = 0;
  } else if (!subject.deviates_since) {
    subject.deviates_since = now;
  }
}

bool PoolPlanner::ServicePlanner::IsBooting(const Subject& subject,
                                            TimePoint now) const {
  return subject.under_way ||
         Since(subject.raised_at, now) < spec_.boot_time + kBootMargin;
}

int PoolPlanner::ServicePlanner::ReadyOrBooting(TimePoint now) const {
  int servers = ready_;
  for (const auto& [name, domain] : domains_) {
    for (const bool reclaimable : {false, true}) {
      const Subject& subject =
          reclaimable ? domain.reclaimable : domain.on_demand;
      const int expected =
          std::max(subject.ordered, subject.under_way.value_or(0));
      if (IsBooting(subject, now))
        servers += std::max(0, expected - PresentOf(domain, reclaimable));
    }
  }
  return servers;
}

int PoolPlanner::ServicePlanner::ReadyFor(Duration time, TimePoint now) const {
  int least = ready_;
  for (auto entry = ready_history_.rbegin(); entry != ready_history_.rend();
       ++entry) {
    least = std::min(least, entry->second);
    if (entry->first + time <= now)
      break;
  }
  return least;
}

void PoolPlanner::ServicePlanner::Update(TimePoint now) {
  load_.Update(now);
  SizingInput input;
  input.spec = spec_;
  input.figures = load_.figures();
  input.slots_per_server = slots_per_server_;
  for (const auto& [name, domain] : domains_)
    input.domains.push_back({name, !domain.lost,
                             !domain.reclaimable.none_available,
                             domain.present.reclaimable});
  target_ = SizePool(input);
  FollowLowerTargets(now);
}

int PoolPlanner::ServicePlanner::WantedOf(const Domain& domain,
                                          const DomainTarget& target,
                                          bool reclaimable) const {
  const Subject& subject = reclaimable ? domain.reclaimable : domain.on_demand;
  const Subject& other = reclaimable ? domain.on_demand : domain.reclaimable;
  const int servers = reclaimable ? target.reclaimable : target.on_demand;
  int missing = 0;
  if (subject.repeats > 1)
    missing = std::clamp(servers - PresentOf(domain, reclaimable), 0,
                         static_cast<int>(servers * kMaxReplacementPart));
  const int room = std::max(0, spec_.max_servers - other.highest());
  return std::min(servers + missing, room);
}

void PoolPlanner::ServicePlanner::FollowLowerTargets(TimePoint now) {
  for (const DomainTarget& target : target_.domains) {
    Domain& domain = domains_[target.domain];
    for (const bool reclaimable : {false, true}) {
      Subject& subject = SubjectOf(domain, reclaimable);
      const int wanted = WantedOf(domain, target, reclaimable);
      const int change =
          reclaimable
              ? Deadband(options_.reclaimable_lower_deadband, subject.ordered,
                         options_.min_reclaimable_change)
              : Deadband(options_.lower_deadband, subject.ordered, 1);
      const bool lower = wanted <= subject.ordered - change;
      if (!lower)
        subject.lower_since.reset();
      else if (!subject.lower_since)
        subject.lower_since = now;
    }
  }
}

int PoolPlanner::ServicePlanner::EvenShare(const Domain& domain) const {
  const int others = static_cast<int>(domains_.size());
  const int share =
      (std::max(0, target_.total - target_.on_demand()) + others - 1) / others;
  return std::min(share, spec_.max_servers - domain.on_demand.highest());
}

void PoolPlanner::ServicePlanner::OnSent(const PlannedOrder& planned,
                                         TimePoint now) {
  const PoolOrder& order = planned.order;
  Subject& subject = SubjectOf(domains_[order.domain], order.reclaimable);
  subject.under_way = order.servers;
  subject.sent_at = now;
  if (planned.reason == PoolReason::kRestore)
    ++subject.repeats;
  if (order.servers > subject.ordered)
    subject.raised_at = now;
  if (order.servers < subject.ordered)
    subject.lowered_at = lowered_at_ = now;
}

void PoolPlanner::ServicePlanner::OnOutcome(const PoolOrder& order,
                                            CallOutcome outcome,
                                            TimePoint now) {
  Domain& domain = domains_[order.domain];
  Subject& subject = SubjectOf(domain, order.reclaimable);
  subject.under_way.reset();
  if (outcome != CallOutcome::kUnknown)
    subject.unanswered = 0;
  switch (outcome) {
    case CallOutcome::kAccepted:
      if (order.servers > subject.ordered && subject.none_available) {
        subject.none_available = false;
        none_available_at_.reset();
      }
      subject.ordered = subject.standing = order.servers;
      subject.confirmed = true;
      break;
    case CallOutcome::kNoneAvailable:
      // The order before stands. If this one repeats it, what is missing of it
      // does not come.
      if (order.servers <= subject.ordered)
        subject.ordered =
            std::min(subject.ordered, PresentOf(domain, order.reclaimable));
      subject.confirmed = true;
      if (order.reclaimable) {
        subject.none_available = true;
        none_available_at_ = now;
      } else {
        subject.not_before = now + options_.unavailable_time;
      }
      break;
    case CallOutcome::kRateLimited:
      subject.not_before = now + kRateLimitedTime;
      break;
    case CallOutcome::kRefused:
      subject.confirmed = true;
      subject.not_before = now + kRefusedTime;
      break;
    case CallOutcome::kUnknown:
      // The order before may stand as well.
      subject.standing = std::max(subject.standing, order.servers);
      subject.ordered = order.servers;
      subject.confirmed = false;
      subject.not_before =
          now + options_.unknown_time *
                    (1 << std::min(subject.unanswered++, kMaxBackoffSteps));
      break;
  }
}

void PoolPlanner::ServicePlanner::OnNotSent(const PoolOrder& order) {
  Subject& subject = SubjectOf(domains_[order.domain], order.reclaimable);
  subject.under_way.reset();
}

nlohmann::json PoolPlanner::ServicePlanner::Snapshot() const {
  const PoolFigures& figures = load_.figures();
  nlohmann::json orders = nlohmann::json::array();
  for (const auto& [name, domain] : domains_) {
    for (const bool reclaimable : {false, true}) {
      const Subject& subject =
          reclaimable ? domain.reclaimable : domain.on_demand;
      orders.push_back({name, reclaimable, subject.ordered, subject.standing});
    }
  }
  return {{"orders", std::move(orders)},
          {"base", LevelJson(figures.base)},
          {"typical", LevelJson(figures.typical)},
          {"burst", LevelJson(figures.burst)},
          {"urgent", LevelJson(figures.urgent)},
          {"tokens_per_ms", figures.tokens_per_ms}};
}

PoolStatus PoolPlanner::ServicePlanner::Status() const {
  PoolStatus status;
  status.service = service_;
  status.figures = load_.figures();
  status.target = target_;
  status.ready = ready_;
  status.has_work = load_.first_work_at().has_value();
  for (const auto& [name, domain] : domains_)
    status.present.push_back(domain.present);
  return status;
}

}  // namespace teaselhill::duties
