/// \file
/// Orders the servers of services whose number is not fixed.

#include "teaselhill/duties/pool_duty.h"

#include <utility>

namespace teaselhill::duties {

namespace {

/// Each text costs a write in the store; a holder that ends within this time
/// after an order leaves the servers themselves to the next one.
constexpr std::chrono::seconds kKeepPeriod{2};
constexpr std::chrono::seconds kPlanLogPeriod{2};

std::string_view KindName(bool reclaimable) {
  return reclaimable ? "reclaimable" : "on_demand";
}

/// Adds what a plan was decided by.
void AddFigures(const PoolFigures& figures,
                const PoolTarget& target,
                LogLine* line) {
  line->Field("prompt_tokens_per_s", figures.now.prompt_tokens)
      .Field("base_prompt_tokens_per_s", figures.base.prompt_tokens)
      .Field("burst_prompt_tokens_per_s", figures.burst.prompt_tokens)
      .Field("open", figures.now.open)
      .Field("base_open", figures.base.open)
      .Field("urgent_open", figures.urgent.open)
      .Field("tokens_per_ms", figures.tokens_per_ms)
      .Field("correction", figures.correction)
      .Field("under_pressure", figures.under_pressure)
      .Field("needed", target.total)
      .Field("needed_now", target.now)
      .Field("floor", target.floor)
      .Field("price", target.price);
}

bool IsDue(const std::optional<TimePoint>& last,
           Duration period,
           TimePoint now) {
  return !last || now - *last >= period;
}

}  // namespace

PoolDuty::PoolDuty(PoolDutyOptions options,
                   Source source,
                   Logger& logger,
                   Metrics& metrics)
    : options_(std::move(options)),
      source_(std::move(source)),
      logger_(logger),
      metrics_(metrics),
      planner_(options_.planner) {}

PoolDuty::~PoolDuty() = default;

void PoolDuty::OnAcquired(DutyContext& context,
                          const KeptTexts& kept,
                          TimePoint now) {
  // Orders that the store has lost have been sent as well.
  std::vector<std::string> texts;
  for (const KeptText& text : kept.texts)
    texts.push_back(text.text);
  planner_.Reset(texts, now);
  planner_.OnServers(source_(), now);
  hold_ = std::make_shared<Hold>(Hold{context});
  orders_changed_ = false;
  kept_at_.reset();
  plans_logged_at_.reset();
  logged_plans_.clear();
}

void PoolDuty::OnLost(TimePoint now) {
  hold_.reset();
  planner_.Reset({}, now);
  ReportMetrics();
}

void PoolDuty::OnHostReport(const HostReport& report, TimePoint now) {
  if (hold_)
    planner_.OnReport(report, now);
}

void PoolDuty::OnTick(TimePoint now) {
  if (!hold_)
    return;
  planner_.OnServers(source_(), now);
  SendNext(now);
  KeepOrders(now);
  LogPlans(now);
}

void PoolDuty::SendNext(TimePoint now) {
  const std::optional<PlannedOrder> planned = planner_.Plan(now);
  if (!planned)
    return;
  const Status sent = hold_->context.OrderServers(
      planned->order, [this, planned = *planned,
                       weak = std::weak_ptr<Hold>(hold_)](CallOutcome outcome) {
        if (!weak.expired())
          OnOrdered(planned, outcome);
      });
  if (!sent)
    planner_.OnNotSent(planned->order, now);
}

void PoolDuty::OnOrdered(const PlannedOrder& planned, CallOutcome outcome) {
  const PoolOrder& order = planned.order;
  planner_.OnOutcome(order, outcome, options_.now());
  const bool has_changed =
      order.servers != planned.previous &&
      (outcome == CallOutcome::kAccepted || outcome == CallOutcome::kUnknown);
  orders_changed_ |= has_changed;
  LogLine line(LogLevel::kInfo, "pool_order");
  line.Field("service", order.service)
      .Field("domain", order.domain)
      .Field("kind", KindName(order.reclaimable))
      .Field("servers", order.servers)
      .Field("previous", planned.previous)
      .Field("present", planned.present)
      .Field("ready", planned.ready)
      .Field("reason", PoolReasonName(planned.reason))
      .Field("outcome", CallOutcomeName(outcome));
  AddFigures(planned.figures, planned.target, &line);
  logger_.Write(line);
}

void PoolDuty::KeepOrders(TimePoint now) {
  if (!orders_changed_ || !IsDue(kept_at_, kKeepPeriod, now))
    return;
  orders_changed_ = false;
  kept_at_ = now;
  hold_->context.Keep(
      name(), planner_.Snapshot(),
      [this, weak = std::weak_ptr<Hold>(hold_)](const Status& status) {
        if (!weak.expired() && !status)
          orders_changed_ = true;
      });
}

void PoolDuty::LogPlans(TimePoint now) {
  if (!IsDue(plans_logged_at_, kPlanLogPeriod, now))
    return;
  plans_logged_at_ = now;
  ReportMetrics();
  for (const PoolStatus& status : planner_.Status()) {
    std::vector<int> plan;
    for (const DomainTarget& target : status.target.domains) {
      plan.push_back(target.on_demand);
      plan.push_back(target.reclaimable);
    }
    if (!status.has_work || logged_plans_[status.service] == plan)
      continue;
    logged_plans_[status.service] = std::move(plan);
    LogLine line(LogLevel::kInfo, "pool_plan");
    line.Field("service", status.service)
        .Field("on_demand", status.target.on_demand())
        .Field("reclaimable", status.target.reclaimable())
        .Field("ready", status.ready);
    AddFigures(status.figures, status.target, &line);
    logger_.Write(line);
  }
}

void PoolDuty::ReportMetrics() {
  std::map<std::string, double> desired;
  std::map<std::string, double> present;
  for (const PoolStatus& status : planner_.Status()) {
    const std::string prefix = status.service + "/";
    for (const DomainTarget& target : status.target.domains) {
      desired[prefix + target.domain + "/on_demand"] = target.on_demand;
      desired[prefix + target.domain + "/reclaimable"] = target.reclaimable;
    }
    for (const PoolDomain& domain : status.present) {
      present[prefix + domain.domain + "/on_demand"] = domain.on_demand;
      present[prefix + domain.domain + "/reclaimable"] = domain.reclaimable;
    }
  }
  metrics_.SetGauges("teaselhill_pool_desired",
                     "Servers that a service is to have, by service, failure "
                     "domain and kind; 0 without the lease",
                     "pool", desired);
  metrics_.SetGauges("teaselhill_pool_present",
                     "Ready servers of a service, by service, failure domain "
                     "and kind; 0 without the lease",
                     "pool", present);
}

}  // namespace teaselhill::duties
