/// \file
/// Metrics of the router on prometheus-cpp.

#ifndef TEASELHILL_METRICS_METRICS_H_
#define TEASELHILL_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill {

/// All functions may be called from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Counts a request that ended with `code`; kOk means answered.
  void CountOutcome(const std::string& customer,
                    const std::string& class_name,
                    ResultCode code);
  void ObserveFirstToken(const std::string& class_name, Duration latency);
  void ObserveAnswer(const std::string& class_name,
                     Duration latency,
                     bool within_target);
  void CountTokens(const std::string& class_name, uint64_t tokens);
  /// Tokens computed for no answer. Causes: `hedge_lost` (the other attempt
  /// was used), `caller_gone`, `not_completed` (the caller got an error).
  void CountWastedTokens(const std::string& cause, uint64_t tokens);
  void CountAttempt(const std::string& kind);

  /// How much later than due a periodic task of the control thread ran.
  void ObserveControlDelay(Duration delay);

  /// Sets a gauge such as `teaselhill_queue_length`.
  void SetGauge(const std::string& name, const std::string& help, double value);

  /// Sets one gauge for each value of `label`; the gauges of values that are
  /// not given any more become 0.
  void SetGauges(const std::string& name,
                 const std::string& help,
                 const std::string& label,
                 const std::map<std::string, double>& values);

  /// Returns the text exposition format.
  std::string Exposition() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace teaselhill

#endif  // TEASELHILL_METRICS_METRICS_H_
