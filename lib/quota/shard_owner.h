/// \file
/// Soft state of the contracts that this host owns in its failure domain.

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

/// Looks up the limits of a contract; all zero when it is not known here.
class LimitLookup {
 public:
  virtual ~LimitLookup() = default;
  virtual config::Limits LimitsOf(ContractKey contract) const = 0;
};

/// Returns whether `now` differs from `sent` by enough to be sent at once.
bool IsSignificant(const ContractDemand& sent,
                   const ContractDemand& now,
                   const config::Limits& limits);
/// Returns whether the values differ only by a start or an end of small demand,
/// which can wait for a message that is due anyway.
bool IsMinor(const ContractDemand& sent,
             const ContractDemand& now,
             const config::Limits& limits);
bool IsZero(const ContractDemand& demand);

/// Minor changes wait until this long after the last message of their stream.
constexpr Duration kMinorInterval = std::chrono::seconds(1);

/// Collects the demand of one shard's contracts and splits their limits: over
/// domains by the sums exchanged with the other owners, inside the own domain
/// by what its hosts report.
class ShardOwner {
 public:
  /// What goes to one host.
  struct Shares {
    std::vector<ContractShare> shares;
    bool full = false;
  };
  struct Output {
    std::vector<ContractDemand> domain_demands;  ///< for all other owners
    bool send_domain_demands = false;            ///< also when empty
    bool full_domain_demands = false;
    std::map<std::string, Shares> shares;  ///< by host; may be empty
  };

  ShardOwner(const HostIdentity& self, const QuotaOptions& options);

  /// Returns whether a host starts to use a contract, so that a tick is urgent.
  bool OnHostDemand(const HostDemand& message, TimePoint now);
  void OnDomainDemand(const DomainDemand& message, TimePoint now);

  /// The next message to `host` names all its shares.
  void ResendShares(const std::string& host) { hosts_[host].full = true; }

  /// Sends to `host`, or to the other owners, with the next tick, to ask for
  /// what was missed.
  void WakeHost(const std::string& host) { hosts_[host].sent = {}; }
  void WakeDomains() { last_domain_send_ = {}; }

  /// The next message to the other owners names all demand.
  void ResendDomainDemand() { resend_ = true; }

  /// Stops granting; the owner that takes over first collects all demand.
  void Release();

  Output Tick(const FleetView& view, const LimitLookup& limits, TimePoint now);

 private:
  struct Host {
    uint64_t incarnation = 0;
    TimePoint heard{};
    TimePoint sent{};
    bool full = true;  // the next message names all shares
  };
  struct SentShare {
    ContractShare share;
    std::optional<TimePoint> held_since;  // a larger share is held back
    bool ever = false;
  };
  struct Contract {
    std::map<std::string, ContractDemand> hosts;    // of the own domain
    std::map<std::string, ContractDemand> domains;  // without the own
    ContractDemand sent;                            // to the other owners
    std::map<std::string, SentShare> shares;        // by host
    TimePoint even_until{};  // the domain keeps to its even part until then
  };

  void ForgetHost(const std::string& host);
  void ForgetDomain(const std::string& domain);
  void DropSilent(const FleetView& view, TimePoint now);
  bool HeardAllHosts(const FleetView& view) const;
  bool HeardAllDomains(const FleetView& view) const;
  bool MayGrow(const FleetView& view, TimePoint now) const;
  void UpdateDomainDemand(ContractKey key,
                          Contract* contract,
                          const config::Limits& limits,
                          bool may_grow,
                          Output* output) const;
  /// Sends the domain's demand without granting anything yet.
  void Announce(const LimitLookup& limits, TimePoint now, Output* output);
  void Grant(ContractKey key,
             Contract* contract,
             const config::Limits& limits,
             const FleetView& view,
             bool hold_growth,
             TimePoint now,
             Output* output);

  HostIdentity self_;
  QuotaOptions options_;
  std::map<ContractKey, Contract> contracts_;
  std::map<std::string, Host> hosts_;         // that reported demand
  std::map<std::string, TimePoint> domains_;  // time last heard
  // Whose full message arrived since this host last was not the owner.
  std::set<std::string> complete_hosts_;
  std::set<std::string> complete_domains_;
  std::optional<TimePoint> owned_since_;
  TimePoint last_domain_send_{};
  bool granting_ = false;
  bool resend_ = true;
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_LIB_QUOTA_SHARD_OWNER_H_
