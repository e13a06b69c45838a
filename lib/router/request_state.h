/// \file
/// State of one request and of its attempts, private to the coordinator.

#ifndef TEASELHILL_LIB_ROUTER_REQUEST_STATE_H_
#define TEASELHILL_LIB_ROUTER_REQUEST_STATE_H_

#include <map>
#include <optional>
#include <string>

#include "teaselhill/router/request_coordinator.h"

namespace teaselhill::router {

/// Assumed length of an answer until the admission policy predicts one.
constexpr uint32_t kDefaultPredictedTokens = 256;

struct RequestCoordinator::ActiveAttempt {
  routing::AttemptId id = 0;
  std::string upstream;
  TimePoint sent_at{};
  TimePoint progress_at{};
  uint64_t tokens = 0;
  bool hedge = false;
  bool suspect = false;
};

struct RequestCoordinator::Request {
  enum class Phase {
    kClaiming,
    kParked,  ///< suspended: a crash suspect, or waiting for a limit
    kQueued,
    kRunning,
    kForwarded
  };

  RequestInfo info;
  Phase phase = Phase::kClaiming;
  config::ClassPolicy request_class;
  double customer_weight = 1;
  double team_weight = 1;
  TimePoint arrival{};
  TimePoint deadline = admission::kNoDeadline;
  retry::RequestAttempts history;
  std::map<int, ActiveAttempt> attempts;
  int next_attempt = 0;
  std::map<std::string, TimePoint> excluded;  ///< failed upstreams, when
  uint64_t delivered_tokens = 0;
  uint64_t predicted_tokens = kDefaultPredictedTokens;
  quota::Cost cost;
  bool quota_taken = false;
  bool admitted = false;  ///< known to the admission policy
  bool claimed = false;   ///< has an entry in the claim table
  bool caller_gone = false;
  std::optional<TimePoint> limit_wait_end;  ///< set while waiting for a limit
  TimePoint retry_at{};  ///< when a suspended request is retried
  bool late = false;     ///< arrived while the host was draining
  std::optional<TimePoint> first_token_at;

  bool keyed() const {
    return !info.idempotent && !info.idempotency_key.empty();
  }
  const std::string& target() const {
    return info.model.empty() ? info.service : info.model;
  }
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_LIB_ROUTER_REQUEST_STATE_H_
