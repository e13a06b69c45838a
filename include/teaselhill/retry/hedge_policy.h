/// \file
/// Decides when an urgent request is sent to a second upstream as well.

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
  double quantile = 0.97;     ///< of the usual time to the first token
  double work_share = 0.02;   ///< hedged work per work done
  double max_credit = 20000;  ///< tokens of work saved up
  uint32_t min_samples = 50;  ///< of first tokens before any hedge
  size_t max_hedges = 256;    ///< at a time
};

/// A request that waits for its first token.
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

/// Work is counted in prompt and output tokens. Hedges are charged for all
/// their work when they start and corrected when they are settled.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options = {}) : options_(options) {}

  void OnFirstTokenLatency(const std::string& model, Duration latency);
  /// `tokens` of work were done for a request, hedge or not.
  void OnWorkDone(uint64_t tokens);

  /// The wait after which a request of `model` may be hedged; none while too
  /// little is known.
  std::optional<Duration> HedgeDelay(const std::string& model) const;
  /// Whether to start a second attempt now. It starts by `OnHedgeStarted`.
  bool ShouldHedge(const HedgeCandidate& candidate, TimePoint now) const;
  void OnHedgeStarted(const HedgeCandidate& candidate, AttemptId hedge);

  /// The first token of `attempt` has come. Returns the other attempt of its
  /// pair, which must be cancelled at once.
  std::optional<AttemptId> OnFirstToken(AttemptId attempt);
  /// `attempt` ended before a first token; its pair goes on alone. Returns true
  /// when the other attempt is still running, so nothing else is to be done.
  bool OnEndedEarly(AttemptId attempt);
  /// `tokens` is the work that the losing attempt had done when it was
  /// cancelled.
  void OnLoserSettled(AttemptId loser, uint64_t tokens);

  double credit() const { return credit_; }

 private:
  /// Buckets of factor 2^(1/4) from 1 ms.
  struct Histogram {
    std::array<float, 80> counts{};
    float total = 0;
  };
  struct Pair {
    AttemptId primary = 0;
    AttemptId hedge = 0;
    double charged = 0;
  };

  HedgeOptions options_;
  double credit_ = 0;
  std::unordered_map<std::string, Histogram> latencies_;
  std::unordered_map<AttemptId, Pair> pairs_;  ///< under both attempts
  std::unordered_map<AttemptId, double> losers_;
};

}  // namespace teaselhill::retry

#endif  // TEASELHILL_RETRY_HEDGE_POLICY_H_
