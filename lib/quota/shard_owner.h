/// \file
/// The owner of a shard in a failure domain, which collects the demand for the
/// contracts of the shard and grants shares of their limits.

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

/// Looks up the limits of a contract. All limits are zero if the contract is
/// unknown on this host.
class LimitLookup {
 public:
  virtual ~LimitLookup() = default;
  virtual config::Limits LimitsOf(ContractKey contract) const = 0;
};

/// Returns whether the change from `sent` to `now` must be sent: it is not
/// minor, or a demand starts or ends.
bool IsSignificant(const ContractDemand& sent,
                   const ContractDemand& now,
                   const config::Limits& limits);
/// Returns whether the change from `sent` to `now` is small. A small change is
/// sent only if a demand starts or ends, and may wait for kMinorChangeInterval.
bool IsMinor(const ContractDemand& sent,
             const ContractDemand& now,
             const config::Limits& limits);
bool IsZero(const ContractDemand& demand);

/// Minimum time between the last message of a stream and a message that
/// contains only minor changes.
constexpr Duration kMinorChangeInterval = std::chrono::seconds(1);

/// Collects the demand for one shard's contracts and splits the limits of the
/// contracts: over the domains in proportion to the sums of demand that the
/// owners exchange, and within the own domain in proportion to the demand that
/// its hosts report.
class ShardOwner {
 public:
  /// Content of a ShareGrant message to one host.
  struct HostGrant {
    std::vector<ContractShare> shares;
    bool is_full = false;
  };
  struct TickOutput {
    std::vector<ContractDemand> domain_demands;  ///< for the other owners
    bool send_domain_demands = false;            ///< true also for a keep-alive
    bool full_domain_demands = false;
    std::map<std::string, HostGrant> shares;  ///< by host; keep-alive if empty
  };

  ShardOwner(const HostIdentity& self, const QuotaOptions& options);

  /// Stores the demand of a host of this domain. Returns whether the host
  /// starts to use a contract, so that the next tick should be early. A full
  /// message that lists demand always counts as such a start.
  bool OnHostDemand(const HostDemand& message, TimePoint now);
  /// Stores the demand of another domain.
  void OnDomainDemand(const DomainDemand& message, TimePoint now);

  /// Makes the next message to `host` a full one.
  void ResendShares(const std::string& host) { hosts_[host].full_due = true; }

  /// Makes a message to `host` due at the next tick, which requests a full
  /// message from `host` after a lost message.
  void ScheduleHostMessage(const std::string& host) {
    hosts_[host].sent_at = {};
  }
  /// The same for the owners of the shard in the other domains.
  void ScheduleDomainMessages() { domain_demand_sent_at_ = {}; }

  /// Makes the next messages to the other owners full ones.
  void ResendDomainDemand() { domain_resend_due_ = true; }

  /// Called while this host does not own the shard. A host that becomes the
  /// owner again first collects all demand.
  void ReleaseOwnership();

  /// Updates demand and shares and returns what must be sent now. Must be
  /// called only while this host owns the shard.
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
    // Time since which a larger share is held back, if one is.
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
  /// Adds the domain's demand to `output` without granting shares.
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
  std::map<std::string, HostState> hosts_;  // hosts that reported demand
  // Time of the last message from each other domain.
  std::map<std::string, TimePoint> domain_received_at_;
  // Hosts and domains that sent a full message since the last
  // `ReleaseOwnership`.
  std::set<std::string> hosts_with_full_demand_;
  std::set<std::string> domains_with_full_demand_;
  std::optional<TimePoint> owner_since_;
  TimePoint domain_demand_sent_at_{};
  bool has_granted_ = false;
  bool domain_resend_due_ = true;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_SHARD_OWNER_H_
