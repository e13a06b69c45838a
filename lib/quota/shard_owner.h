/// \file
/// Demand and shares of the contracts of one shard, which the shard's owner in
/// a failure domain collects and grants.

#ifndef TEASELHILL_LIB_QUOTA_SHARD_OWNER_H_
#define TEASELHILL_LIB_QUOTA_SHARD_OWNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet_view.h"
#include "teaselhill/quota/messages.h"

namespace teaselhill::quota {

/// Looks up the limits of a contract; all are zero if it is unknown here.
class LimitLookup {
 public:
  virtual ~LimitLookup() = default;
  virtual config::Limits LimitsOf(ContractKey contract) const = 0;
};

/// Returns whether `now` differs from `sent` by enough to be sent.
bool IsSignificant(const ContractDemand& sent,
                   const ContractDemand& now,
                   const config::Limits& limits);
/// Returns whether the values differ by little, such as by the start or end of
/// a small demand, so that sending the change can wait for
/// kMinorChangeInterval.
bool IsMinor(const ContractDemand& sent,
             const ContractDemand& now,
             const config::Limits& limits);
bool IsZero(const ContractDemand& demand);

/// Minimum time between the last message of a stream and one that is sent only
/// for minor changes.
constexpr Duration kMinorChangeInterval = std::chrono::seconds(1);

/// Collects the demand for one shard's contracts and splits their limits: over
/// the domains by the sums that the owners exchange, and within the own domain
/// by the demand that its hosts report.
class ShardOwner {
 public:
  /// Content of a ShareGrant message to one host.
  struct HostGrant {
    std::vector<ContractShare> shares;
    bool is_full = false;
  };
  struct TickOutput {
    std::vector<ContractDemand> domain_demands;  ///< for the other owners
    bool send_domain_demands = false;            ///< even if there are none
    bool full_domain_demands = false;
    std::map<std::string, HostGrant> shares;  ///< by host; may be empty
  };

  ShardOwner(const HostIdentity& self, const QuotaOptions& options);

  /// Stores the demand of a host of this domain. Returns whether the host
  /// starts to use a contract, so that the next tick should be early.
  bool OnHostDemand(const HostDemand& message, TimePoint now);
  /// Stores the demand of another domain.
  void OnDomainDemand(const DomainDemand& message, TimePoint now);

  /// Makes the next message to `host` a full one.
  void ResendShares(const std::string& host) { hosts_[host].full_due = true; }

  /// Makes a message to `host`, or to the other owners, due at the next tick,
  /// to request a full one after a lost message.
  void ScheduleHostMessage(const std::string& host) {
    hosts_[host].sent_at = {};
  }
  void ScheduleDomainMessages() { domain_demand_sent_at_ = {}; }

  /// Makes the next message to the other owners a full one.
  void ResendDomainDemand() { domain_resend_due_ = true; }

  /// Called while this host does not own the shard. If it becomes the owner
  /// again, it first collects all demand.
  void ReleaseOwnership();

  /// Updates demand and shares and returns what must be sent now. Called only
  /// while this host owns the shard.
  TickOutput Tick(const FleetView& view,
                  const LimitLookup& limits,
                  TimePoint now);

 private:
  struct HostState {
    uint64_t incarnation = 0;
    TimePoint received_at{};
    TimePoint sent_at{};
    bool full_due = true;  // the next message lists all shares
  };
  struct SentShare {
    ContractShare share;
    // Set while a larger share is held back.
    std::optional<TimePoint> growth_held_since;
    bool was_sent = false;
  };
  struct ContractState {
    std::map<std::string, ContractDemand> hosts;    // of the own domain
    std::map<std::string, ContractDemand> domains;  // other domains
    ContractDemand sent_demand;                     // to the other owners
    std::map<std::string, SentShare> shares;        // by host
    TimePoint even_split_until{};  // the domain uses its even share until then
  };

  void RemoveHost(const std::string& host);
  void RemoveDomain(const std::string& domain);
  void RemoveUnresponsive(const FleetView& view, TimePoint now);
  bool HasAllHostDemand(const FleetView& view) const;
  bool HasAllDomainDemand(const FleetView& view) const;
  bool DemandMayGrow(const FleetView& view, TimePoint now) const;
  void UpdateDomainDemand(ContractKey key,
                          ContractState* contract,
                          const config::Limits& limits,
                          bool may_grow,
                          TickOutput* output) const;
  /// Sends the domain's demand without granting shares.
  void AnnounceDemand(const LimitLookup& limits,
                      TimePoint now,
                      TickOutput* output);
  void GrantShares(ContractKey key,
                   ContractState* contract,
                   const config::Limits& limits,
                   const FleetView& view,
                   bool holds_growth,
                   TimePoint now,
                   TickOutput* output);

  HostIdentity self_;
  QuotaOptions options_;
  std::map<ContractKey, ContractState> contracts_;
  std::map<std::string, HostState> hosts_;  // that reported demand
  // Time of the last message of each domain.
  std::map<std::string, TimePoint> domain_received_at_;
  // Those that sent a full message since the last `ReleaseOwnership`.
  std::set<std::string> hosts_with_full_demand_;
  std::set<std::string> domains_with_full_demand_;
  std::optional<TimePoint> owner_since_;
  TimePoint domain_demand_sent_at_{};
  bool has_granted_ = false;
  bool domain_resend_due_ = true;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_SHARD_OWNER_H_
