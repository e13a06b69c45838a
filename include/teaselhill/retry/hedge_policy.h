/// \file
/// Decides when an urgent request is hedged, that is, sent to a second
/// upstream.

#ifndef TEASELHILL_RETRY_HEDGE_POLICY_H_
#define TEASELHILL_RETRY_HEDGE_POLICY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::retry {

using AttemptId = uint64_t;

struct HedgeOptions {
  double delay_quantile = 0.97;  ///< quantile of the time to first token
  double work_fraction = 0.02;   ///< work of hedges as a fraction of all work
  double max_credit_tokens = 20000;  ///< maximum unused budget
  uint32_t min_samples = 50;         ///< first tokens measured before any hedge
  size_t max_hedges = 256;           ///< hedges in flight at a time
};

/// A request that is waiting for its first token.
struct HedgeCandidate {
  RequestId request = 0;
  AttemptId attempt = 0;
  std::string model;
  bool urgent = false;
  bool idempotent = false;
  bool suspect = false;  ///< of a crash; such a request is never hedged
  TimePoint sent_at;
  uint32_t prompt_tokens = 0;
  uint32_t predicted_output_tokens = 0;
};

/// Limits hedges to a fraction of the work done, counted in prompt and output
/// tokens. A hedge is charged for its expected work when it starts; the charge
/// is corrected when the losing attempt is settled.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options = {}) : options_(options) {}

  void OnFirstTokenLatency(const std::string& model, Duration latency);
  /// Records `tokens` of work done for a request, hedged or not.
  void OnWorkDone(uint64_t tokens);

  /// Returns how long a request for `model` waits for its first token before it
  /// may be hedged, or nothing while too few latencies of the model are known.
  std::optional<Duration> HedgeDelay(const std::string& model) const;
  /// Returns whether to start a second attempt now. A caller that starts the
  /// second attempt then calls `OnHedgeStarted`.
  bool ShouldHedge(const HedgeCandidate& candidate, TimePoint now) const;
  void OnHedgeStarted(const HedgeCandidate& candidate, AttemptId hedge);

  /// The first token of `attempt` has arrived. Returns the other attempt of its
  /// pair, if any, which must be cancelled at once.
  std::optional<AttemptId> OnFirstToken(AttemptId attempt);
  /// `attempt` ended before its first token. Returns true if it belonged to a
  /// hedged pair: the other attempt then continues alone, and the caller needs
  /// no retry.
  bool OnEndedBeforeFirstToken(AttemptId attempt);
  /// Corrects the charge of a hedge to `tokens`, the work that the losing
  /// attempt had done when it was cancelled.
  void OnLoserSettled(AttemptId loser, uint64_t tokens);

  double credit_tokens() const { return credit_tokens_; }

 private:
  /// Bucket bounds grow by a factor of 2^(1/4) from 1 ms.
  struct Histogram {
    std::array<float, 80> counts{};
    float total = 0;
  };
  struct HedgePair {
    AttemptId primary = 0;
    AttemptId hedge = 0;
    double charged_tokens = 0;
  };

  HedgeOptions options_;
  double credit_tokens_ = 0;
  std::unordered_map<std::string, Histogram> latencies_;
  std::unordered_map<AttemptId, HedgePair> pairs_;  ///< keyed by both attempts
  /// Tokens charged for the losing attempts that are not settled yet.
  std::unordered_map<AttemptId, double> unsettled_charges_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_HEDGE_POLICY_H_
