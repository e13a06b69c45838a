/// \file
/// Planned stop: the last answers of open requests.

#include <algorithm>

#include "request_state.h"
#include "teaselhill/router/request_coordinator.h"

namespace teaselhill::router {

namespace {

/// Shortest time in which an attempt can be expected to end. It applies where
/// the routing policy has no estimate, as for plain services.
constexpr std::chrono::milliseconds kMinAttemptTime{200};

}  // namespace

void RequestCoordinator::Drain(TimePoint final_answers, TimePoint now) {
  draining_ = true;
  final_answers_ = final_answers;
  for (const auto& [id, request] : requests_)
    CapDeadline(*request);
  StartQueuedRequests(now);
}

void RequestCoordinator::CapDeadline(Request& request) const {
  if (!draining_)
    return;
  request.deadline = std::min(request.deadline, final_answers_);
  request.history.deadline = request.deadline;
  request.history.min_remaining_time =
      std::max<Duration>(request.history.min_remaining_time, kMinAttemptTime);
}

bool RequestCoordinator::CanEndBeforeStop(const routing::Choice& choice,
                                          TimePoint now) const {
  if (!draining_)
    return true;
  Duration expected = kMinAttemptTime;
  if (!choice.candidates.empty())
    expected = std::max(expected, choice.candidates.front().total);
  return now + expected <= final_answers_;
}

bool RequestCoordinator::CanForwardBeforeStop(TimePoint now) const {
  return !draining_ || now + kMinAttemptTime <= final_answers_;
}

void RequestCoordinator::EndOpenRequests(TimePoint now) {
  if (!draining_ || now < final_answers_)
    return;
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_)
    open.push_back(id);
  // A request that waits for another one with its key may get its answer as
  // that one ends.
  std::sort(open.begin(), open.end());
  for (const RequestId id : open) {
    Request* request = FindRequest(id);
    if (!request)
      continue;
    if (request->attempts.empty()) {
      AbandonRequest(*request, {ResultCode::kDraining, ""},
                     std::chrono::seconds(1), now);
      continue;
    }
    const ResultCode code = request->delivered_tokens > 0
                                ? ResultCode::kAnswerCutShort
                                : ResultCode::kAnswerOverdue;
    FailRequest(*request, {code, "the host is shutting down"},
                std::chrono::seconds(1), now);
  }
}

}  // namespace teaselhill::router
