/// \file
/// Requests that arrive, and those that are open, while the host stops.

#include <memory>
#include <vector>

#include "exchange.h"
#include "teaselhill/gateway/gateway.h"
#include "teaselhill/gateway/shutdown_schedule.h"

namespace teaselhill::gateway {

void Gateway::StartDrain(TimePoint final_answers_at,
                         TimePoint out_of_rotation_at) {
  if (final_answers_at_ && *final_answers_at_ <= final_answers_at)
    return;
  final_answers_at_ = final_answers_at;
  out_of_rotation_at_ = out_of_rotation_at;
  // An exchange that ends removes itself from the table.
  std::vector<std::shared_ptr<Exchange>> open;
  open.reserve(exchanges_.size());
  for (const auto& [id, exchange] : exchanges_)
    open.push_back(exchange);
  for (const std::shared_ptr<Exchange>& exchange : open)
    exchange->ReportDuration();
  for (const std::shared_ptr<Exchange>& exchange : open)
    exchange->OnDrain();
}

std::optional<Gateway::Rejection> Gateway::CheckDrain(
    const net::HttpRequest& request,
    const AcceptedRequest& accepted_request) const {
  if (!final_answers_at_)
    return std::nullopt;
  const TimePoint now = accepted_request.arrived_at;
  // How long the streams of the route lasted is no bound on the next one: it
  // may wait in the queue of an engine, or run beside long prompts.
  const bool must_end = accepted_request.route->kind == RouteKind::kStream &&
                        now >= out_of_rotation_at_;
  const std::optional<Duration> expected =
      must_end ? std::nullopt
               : route_durations_.Expected(accepted_request.route->name, now);
  // A resumable stream is refused as well: its caller begins it at another host
  // at once, while a stream that is cut goes on only where its version runs.
  if (!request.behind_unanswered &&
      IsLikelyToEnd(
          accepted_request.TimeLimit(options_.exchange_limits.max_duration),
          expected, *final_answers_at_ - now))
    return std::nullopt;
  return Rejection{{ResultCode::kDraining, ""}, kDrainingRetryAfter};
}

}  // namespace teaselhill::gateway
