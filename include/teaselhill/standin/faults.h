/// \file
/// Faults injected into a stand-in.

#ifndef TEASELHILL_STANDIN_FAULTS_H_
#define TEASELHILL_STANDIN_FAULTS_H_

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/support/rng.h"
#include "teaselhill/support/time.h"

namespace teaselhill::standin {

enum class FaultKind {
  kFreeze,
  kSlow,
  kCrash,
  kCrashOn,
  kRefuse,
  kLoseAnswer,
  kCutOff,
  kClear,
};

/// Body of `POST /control/fault`.
struct FaultCommand {
  FaultKind kind = FaultKind::kClear;
  /// Duration of the fault; zero: until cleared. Has no effect on crash_on,
  /// which stays in force until cleared.
  Duration for_time{};
  /// For slow: multiplier of processing times.
  double factor = 1;
  /// For lose_answer: probability that an answer is lost.
  double probability = 1;
  /// For crash_on: text in a prompt that makes the process crash.
  std::string marker;
  /// For cut_off: source addresses that receive no response.
  std::vector<std::string> addresses;
};

/// Tracks which faults are in force. The caller produces their effects.
class Faults {
 public:
  explicit Faults(uint64_t seed) : rng_(seed) {}

  /// Sets the fault in `command`, or clears all faults for kClear. Ignores
  /// kCrash: the caller has to end the process.
  void Apply(const FaultCommand& command, TimePoint now);

  bool frozen(TimePoint now) const { return now < frozen_until_; }
  TimePoint frozen_until() const { return frozen_until_; }
  bool refusing(TimePoint now) const { return now < refuse_until_; }
  double slow_factor(TimePoint now) const {
    return now < slow_until_ ? slow_factor_ : 1.0;
  }
  bool cut_off(const std::string& address, TimePoint now) const {
    return now < cut_off_until_ && cut_off_.count(address) > 0;
  }

  /// Returns whether the answer to a new request is to be lost, chosen at
  /// random with the configured probability.
  bool ShouldLoseAnswer(TimePoint now) {
    return now < lose_until_ && rng_.Uniform() < lose_probability_;
  }

  /// Whether `prompt` contains the marker that crashes the process.
  bool CrashesOn(std::string_view prompt) const {
    return !crash_marker_.empty() &&
           prompt.find(crash_marker_) != std::string_view::npos;
  }

 private:
  Rng rng_;
  TimePoint frozen_until_{};
  TimePoint refuse_until_{};
  TimePoint slow_until_{};
  double slow_factor_ = 1;
  TimePoint lose_until_{};
  double lose_probability_ = 0;
  TimePoint cut_off_until_{};
  std::set<std::string> cut_off_;
  std::string crash_marker_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_FAULTS_H_
