/// \file
/// Simulation of a pool of engines, the platform's API and the hosts' reports.

#ifndef TEASELHILL_UNITTESTS_DUTIES_POOL_SIMULATION_H_
#define TEASELHILL_UNITTESTS_DUTIES_POOL_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "teaselhill/duties/pool_planner.h"

namespace teaselhill::duties {

/// Demand at one moment, as multiples of the simulation's base rates.
struct Demand {
  double drafts = 1;     ///< long prompts, short answers
  double questions = 1;  ///< short prompts, long answers; most urgent
};

/// Engines are fluid: requests wait while the prompts that arrive exceed what
/// all engines read, and open requests follow from Little's law.
class PoolSimulation {
 public:
  static constexpr std::chrono::milliseconds kStep{250};
  static constexpr int kHosts = 20;
  static constexpr int kSlots = 12;
  static constexpr double kDraftsPerS = 200;
  static constexpr double kDraftTokens = 2900;
  static constexpr double kDraftEvents = 10;
  static constexpr double kQuestionsPerS = 160;
  static constexpr double kQuestionTokens = 830;
  static constexpr double kQuestionEvents = 58;
  static constexpr double kEventS = 0.03;

  struct SentOrder {
    double at_s = 0;
    PlannedOrder planned;
    CallOutcome outcome = CallOutcome::kAccepted;
  };
  struct Domain {
    int on_demand = 38;
    std::vector<TimePoint>
        booting_on_demand;  ///< times at which they are ready
    int reclaimable = 0;
    std::vector<TimePoint> booting_reclaimable;
    int draining = 0;
    TimePoint drained_at{};
    bool available = true;
    bool reachable = true;
  };

  explicit PoolSimulation(PoolPlannerOptions options = {}) : planner(options) {
    spec.min_servers = 1;
    spec.max_servers = 76;
    spec.boot_time = std::chrono::seconds(4);
    spec.reclaimable_price = 0.18;
    spec.domain_prices = {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}};
    for (const char* name : {"a", "b", "c"})
      domains[name];
    planner.Reset({}, now);
  }

  void Run(double seconds) {
    const TimePoint end = now + FromSeconds(seconds);
    while (now < end)
      Step();
  }

  void Step() {
    now += kStep;
    FinishBoots();
    Serve();
    Report();
    planner.OnServers({Servers()}, now);
    if (const std::optional<PlannedOrder> planned = planner.Plan(now))
      Order(*planned);
    const double price = PricePerS();
    cost += price * ToSeconds(kStep);
  }

  /// All reclaimable servers of the domain drain at once.
  void Reclaim(const std::string& name) {
    Domain& domain = domains[name];
    domain.draining = domain.reclaimable;
    domain.drained_at = now + std::chrono::seconds(2);
    domain.reclaimable = 0;
    domain.booting_reclaimable.clear();
  }

  PoolService Servers() const {
    PoolService service{"s", spec, {}};
    for (const auto& [name, domain] : domains) {
      if (!domain.reachable)
        continue;
      service.domains.push_back(
          {name, domain.on_demand, domain.reclaimable, domain.draining,
           kSlots * (domain.on_demand + domain.reclaimable)});
    }
    return service;
  }

  int OnDemand() const {
    int sum = 0;
    for (const auto& [name, domain] : domains)
      sum += domain.reachable ? domain.on_demand : 0;
    return sum;
  }
  int Reclaimable() const {
    int sum = 0;
    for (const auto& [name, domain] : domains)
      sum += domain.reachable ? domain.reclaimable : 0;
    return sum;
  }
  int Ready() const { return OnDemand() + Reclaimable(); }

  double PricePerS() const {
    double price = 0;
    for (const auto& [name, domain] : domains)
      price += spec.PriceIn(name) *
               (domain.on_demand + domain.reclaimable * spec.reclaimable_price);
    return price;
  }

  double Seconds() const { return ToSeconds(now - begun); }

  size_t OrdersSince(double at_s) const {
    return std::count_if(
        orders.begin(), orders.end(),
        [at_s](const SentOrder& order) { return order.at_s >= at_s; });
  }

  const TimePoint begun = TimePoint{} + std::chrono::hours(1);
  TimePoint now = begun;
  PoolPlanner planner;
  PoolSpec spec;
  std::map<std::string, Domain> domains;
  std::function<Demand(double)> demand = [](double) { return Demand{}; };
  bool api_up = true;
  double tokens_per_ms = 50;
  std::vector<SentOrder> orders;
  double cost = 0;
  double late_s = 0;           ///< seconds in which answers began too late
  double highest_prefill = 0;  ///< since the last reset
  double highest_slots = 0;

 private:
  struct TierCounts {
    double requests = 0;
    double tokens = 0;
    double events = 0;
    double started = 0;
    double late = 0;
  };

  void FinishBoots() {
    for (auto& [name, domain] : domains) {
      FinishBoots(domain.booting_on_demand, domain.on_demand);
      FinishBoots(domain.booting_reclaimable, domain.reclaimable);
      if (domain.drained_at <= now)
        domain.draining = 0;
    }
  }

  void FinishBoots(std::vector<TimePoint>& booting, int& ready) const {
    const auto begin =
        std::partition(booting.begin(), booting.end(),
                       [this](TimePoint ready_at) { return ready_at > now; });
    ready += static_cast<int>(booting.end() - begin);
    booting.erase(begin, booting.end());
  }

  void Serve() {
    const double step_s = ToSeconds(kStep);
    const Demand rates = demand(Seconds());
    const double drafts = kDraftsPerS * rates.drafts;
    const double questions = kQuestionsPerS * rates.questions;
    const double arriving = drafts * kDraftTokens + questions * kQuestionTokens;
    const double capacity = std::max(1, Ready()) * tokens_per_ms * 1000;
    backlog_ = std::max(0.0, backlog_ + (arriving - capacity) * step_s);
    const double prefill = std::min(0.97, arriving / capacity);
    const double queue_s = backlog_ / capacity + prefill / (1 - prefill) *
                                                     kDraftTokens /
                                                     tokens_per_ms / 2000;
    const double draft_s =
        queue_s + kDraftTokens / tokens_per_ms / 1000 + kEventS;
    const double question_s =
        queue_s + kQuestionTokens / tokens_per_ms / 1000 + kEventS;
    Add(1, drafts, kDraftTokens, kDraftEvents, draft_s, 0.6, counts_[1]);
    Add(0, questions, kQuestionTokens, kQuestionEvents, question_s, 0.3,
        counts_[0]);
    highest_prefill = std::max(highest_prefill, arriving / capacity);
    highest_slots =
        std::max(highest_slots, (open_[0].running + open_[1].running) /
                                    (std::max(1, Ready()) * double(kSlots)));
    if (question_s > 0.3 || draft_s > 0.6)
      late_s += step_s;
  }

  void Add(int tier,
           double per_s,
           double tokens,
           double events,
           double first_event_s,
           double target_s,
           TierCounts& counts) {
    const double requests = per_s * ToSeconds(kStep);
    counts.requests += requests;
    counts.tokens += requests * tokens;
    counts.events += requests * events;
    counts.started += requests;
    counts.late += first_event_s > target_s ? requests : 0;
    open_[tier].waiting = per_s * first_event_s;
    open_[tier].running = per_s * events * kEventS;
  }

  /// The hosts report once a second, a quarter of them in each step.
  void Report() {
    for (int host = 0; host < kHosts; ++host) {
      for (const auto& [tier, counts] : counts_) {
        TierCounts& own = unreported_[host][tier];
        own.requests += counts.requests / kHosts;
        own.tokens += counts.tokens / kHosts;
        own.events += counts.events / kHosts;
        own.started += counts.started / kHosts;
        own.late += counts.late / kHosts;
      }
      if ((step_number_ + host) % 4 != 0)
        continue;
      HostReport report;
      report.host = "h" + std::to_string(host);
      for (const auto& [tier, own] : unreported_[host]) {
        EngineWork row;
        row.service = "s";
        row.domain = "a";
        row.tier = tier;
        row.requests = static_cast<uint32_t>(std::lround(own.requests));
        row.prompt_tokens = static_cast<uint64_t>(own.tokens);
        row.generated_tokens = static_cast<uint64_t>(own.events);
        row.started = static_cast<uint32_t>(std::lround(own.started));
        row.started_late = static_cast<uint32_t>(std::lround(own.late));
        row.running = Share(open_[tier].running, host);
        row.waiting = Share(open_[tier].waiting, host);
        report.work.push_back(row);
      }
      unreported_[host].clear();
      planner.OnReport(report, now);
    }
    ++step_number_;
    counts_.clear();
  }

  /// The part of one host, so that the parts of all add up to `total`.
  static uint32_t Share(double total, int host) {
    return static_cast<uint32_t>(std::floor(total * (host + 1) / kHosts) -
                                 std::floor(total * host / kHosts));
  }

  void Order(const PlannedOrder& planned) {
    Domain& domain = domains[planned.order.domain];
    std::vector<TimePoint>& booting = planned.order.reclaimable
                                          ? domain.booting_reclaimable
                                          : domain.booting_on_demand;
    int& ready =
        planned.order.reclaimable ? domain.reclaimable : domain.on_demand;
    const int desired = planned.order.servers;
    const bool needs_more = desired > ready + static_cast<int>(booting.size());
    const bool none_available =
        planned.order.reclaimable && !domain.available && needs_more;
    const CallOutcome outcome = !api_up          ? CallOutcome::kUnknown
                                : none_available ? CallOutcome::kNoneAvailable
                                                 : CallOutcome::kAccepted;
    if (outcome == CallOutcome::kAccepted) {
      while (ready + static_cast<int>(booting.size()) < desired)
        booting.push_back(now + spec.boot_time);
      while (ready + static_cast<int>(booting.size()) > desired) {
        if (booting.empty())
          --ready;
        else
          booting.pop_back();
      }
    }
    orders.push_back({Seconds(), planned, outcome});
    planner.OnOutcome(planned.order, outcome, now);
  }

  struct Open {
    double waiting = 0;
    double running = 0;
  };
  double backlog_ = 0;
  int step_number_ = 0;
  std::map<int, TierCounts> counts_;
  std::map<int, Open> open_;
  std::map<int, std::map<int, TierCounts>> unreported_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_UNITTESTS_DUTIES_POOL_SIMULATION_H_
