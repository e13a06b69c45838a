/// \file
/// Remembers what was answered a short time ago.

#ifndef TEASELHILL_GATEWAY_ANSWER_MEMORY_H_
#define TEASELHILL_GATEWAY_ANSWER_MEMORY_H_

#include <cstddef>
#include <unordered_map>

#include "teaselhill/gateway/crash_keys.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Counts the complete answers by key, in two generations: the older one is
/// dropped when the newer one is full or old. Deterministic.
class AnswerMemory {
 public:
  /// Answers count for `retention`, or half of it. `max_keys`: bound on the
  /// number of keys.
  AnswerMemory(size_t max_keys, Duration retention)
      : max_keys_(max_keys), retention_(retention) {}

  void OnAnswer(const CrashKey& key);
  int Count(const CrashKey& key) const;
  /// Call about once a second.
  void ForgetOld(TimePoint now);

 private:
  using Counts = std::unordered_map<CrashKey, int, Hash128Hasher>;

  size_t max_keys_;
  Duration retention_;
  Counts newer_;
  Counts older_;
  TimePoint newer_since_{};
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_ANSWER_MEMORY_H_
