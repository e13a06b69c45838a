/// \file
/// Agreement of the hosts on the part of a service's engines that is reserved.

#ifndef TEASELHILL_ENGINES_RESERVE_AGREEMENT_H_
#define TEASELHILL_ENGINES_RESERVE_AGREEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::engines {

struct ReserveAgreementOptions {
  /// A need that has not changed is told again after this time, for hosts that
  /// have started since.
  Duration refresh_period = std::chrono::seconds(15);
  /// A need that was not told again is of a host that is gone or cut off.
  Duration need_expiry = std::chrono::seconds(45);
};

/// What a host estimates as needed, as hosts tell it each other.
struct ReserveNeed {
  std::string host;
  std::string service;
  double fraction = 0;  ///< of the service's engines
};

/// Hosts see few streams each, so their needs differ, and long prompts of one
/// host would be read at engines that another one has reserved. Each tells the
/// others its need when that changes, and all use the median, which one host
/// alone cannot move. A host that hears of no other uses its own need.
///
/// Deterministic: times are arguments and never decrease.
class ReserveAgreement {
 public:
  explicit ReserveAgreement(std::string own_host,
                            ReserveAgreementOptions options = {})
      : own_host_(std::move(own_host)), options_(options) {}

  void SetOwnNeed(const std::string& service, double fraction, TimePoint now);

  /// This host has no streams by which to tell, so that it leaves the size to
  /// the others.
  void DropOwnNeed(const std::string& service);

  /// What other hosts tell.
  void OnTold(const std::vector<ReserveNeed>& needs, TimePoint now);

  /// The median of the needs; nothing if there is none.
  std::optional<double> Agreed(const std::string& service) const;

  /// Number of hosts whose need is known.
  size_t HostCount(const std::string& service) const;

  /// What to tell the other hosts now. Call about once a second, which bounds
  /// the messages.
  std::vector<ReserveNeed> TakeNews(TimePoint now);

  /// Forgets hosts that tell nothing any more. Call about once a second.
  void Expire(TimePoint now);

 private:
  struct Need {
    double fraction = 0;
    TimePoint told_at{};
  };
  struct Service {
    std::map<std::string, Need> needs;  ///< by host
    double median = 0;
    std::optional<double> last_told;
    TimePoint last_told_at{};
  };

  static void UpdateMedian(Service& service);

  std::string own_host_;
  ReserveAgreementOptions options_;
  std::map<std::string, Service> services_;
};

}  // namespace teaselhill::engines

#endif  // TEASELHILL_ENGINES_RESERVE_AGREEMENT_H_
