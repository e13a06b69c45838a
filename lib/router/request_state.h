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
  TimePoint last_progress_at{};
  uint64_t tokens = 0;
  std::string version;  ///< of the upstream's software
  bool hedge = false;
  bool suspect = false;
  /// Set while another attempt replaces this silent one, which goes on if that
  /// one is refused or not sent before this time.
  std::optional<TimePoint> paused_until;
  bool kept = false;  ///< went on in spite of its silence, and was logged
};

struct RequestCoordinator::Request {
  enum class Phase {
    kClaiming,
    kSuspended,  ///< a crash suspect, or waiting for quota
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
  /// Time of the last failed attempt at each upstream that a retry avoids.
  std::map<std::string, TimePoint> excluded_upstreams;
  uint64_t delivered_tokens = 0;
  std::string answer_version;  ///< software version that wrote these tokens
  uint64_t predicted_tokens = kDefaultPredictedTokens;
  quota::RequestCost cost;
  bool quota_acquired = false;
  bool admitted = false;  ///< known to the admission policy
  bool has_claim_entry = false;
  bool caller_disconnected = false;
  /// Set while the request waits for quota of the concurrency limit.
  std::optional<TimePoint> limit_wait_deadline;
  /// Earliest time at which a suspended request may be admitted.
  TimePoint resume_at{};
  bool arrived_while_draining = false;
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
