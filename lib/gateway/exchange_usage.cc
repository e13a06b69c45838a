/// \file
/// Counts requests that upstreams run, for the usage duty.

#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

/// Upstreams refuse requests within milliseconds, so one that was not refused
/// by then is taken to run. Its window may be reported before it ends.
constexpr std::chrono::seconds kTakenToRun{1};

}  // namespace

bool Exchange::CountsBySend() const {
  return request_.route->kind != RouteKind::kStream;
}

void Exchange::NoteUsageSend(TimePoint now) {
  if (gateway_.usage_counter_ && !request_.team.empty() && !usage_sent_at_)
    usage_sent_at_ = now;
}

void Exchange::WithdrawUsageSend() {
  // An earlier attempt may still run.
  if (usage_sent_at_ == attempt_.sent_at)
    usage_sent_at_.reset();
}

void Exchange::CountUsage(TimePoint began) {
  if (usage_sent_at_ && !std::exchange(usage_counted_, true))
    gateway_.usage_counter_->Count(request_.team, began, BootNow());
}

void Exchange::CountUsageOfSend() {
  if (usage_sent_at_ && CountsBySend())
    CountUsage(*usage_sent_at_);
}

std::optional<TimePoint> Exchange::UsageDueAt() const {
  if (!usage_sent_at_ || usage_counted_ || !CountsBySend())
    return std::nullopt;
  return *usage_sent_at_ + kTakenToRun;
}

}  // namespace teaselhill::gateway
