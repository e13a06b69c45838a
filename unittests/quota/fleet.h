/// \file
/// Simulated hosts that exchange quota messages in virtual time, with
/// partitions, crashes and lost messages.

#ifndef TEASELHILL_UNITTESTS_QUOTA_FLEET_H_
#define TEASELHILL_UNITTESTS_QUOTA_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "teaselhill/quota/limit_share.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::quota {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline config::Limits RequestLimit(double per_second) {
  config::Limits limits;
  limits.requests_per_second = per_second;
  return limits;
}

inline double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

class Fleet {
 public:
  static constexpr Duration kStep = milliseconds(50);
  static constexpr const char* kCustomer = "customer";

  Fleet(int hosts,
        int domains,
        const config::Limits& limits,
        const QuotaOptions& options = {})
      : limits_(limits), options_(options), nodes_(hosts) {
    for (int i = 0; i < hosts; ++i) {
      nodes_[i].identity = {HostName(i), "domain" + std::to_string(i % domains),
                            1};
      nodes_[i].sees_alive.assign(hosts, true);
      nodes_[i].tick_offset = kStep * (i % 5);
    }
    for (int i = 0; i < hosts; ++i)
      Restart(i);
  }

  static std::string HostName(int host) {
    return "host" + std::to_string(1000 + host);
  }

  LimitShare& limit_share(int host) { return *nodes_[host].limit_share; }
  TimePoint now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }

  void Restart(int host) {
    Node& node = nodes_[host];
    ++node.identity.incarnation;
    node.is_up = true;
    node.limit_share =
        std::make_unique<LimitShare>(node.identity, options_, now_);
    node.limit_share->ApplyContract(kCustomer, limits_, now_);
    ApplyView(host);
  }

  void Crash(int host) { nodes_[host].is_up = false; }

  /// Sets which hosts are not dead in the view of `host`. Such a host is
  /// suspect if `suspected` returns true for it, and otherwise alive.
  void SetView(int host, const std::function<bool(int)>& alive) {
    for (int i = 0; i < size(); ++i)
      nodes_[host].sees_alive[i] = alive(i);
    ApplyView(host);
  }

  /// Whether a host that would be alive in a view is suspect instead.
  std::function<bool(int)> suspected = [](int) { return false; };
  /// Whether messages from the host of the first argument reach the host of the
  /// second.
  std::function<bool(int, int)> connected = [](int, int) { return true; };
  double message_loss = 0;  ///< fraction of the messages that are lost
  /// Arriving requests/s by host; each request costs 10 tokens.
  std::function<double(int)> demand = [](int) { return 0.0; };
  /// Time from the admission of a request to its end.
  Duration request_duration = milliseconds(500);

  void Run(Duration length) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kStep)
      Step();
  }

  /// Runs for `length` and returns the admitted requests/s of each host.
  std::vector<double> MeasureAdmittedRates(Duration length) {
    for (Node& node : nodes_)
      node.admitted = 0;
    Run(length);
    std::vector<double> rates;
    for (const Node& node : nodes_)
      rates.push_back(node.admitted / ToSeconds(length));
    return rates;
  }

  double RequestShare(int host) const {
    const Node& node = nodes_[host];
    return node.is_up
               ? node.limit_share->Stats(kCustomer, now_).requests_per_second
               : 0;
  }

  double SumOfRequestShares() const {
    double sum = 0;
    for (int i = 0; i < size(); ++i)
      sum += RequestShare(i);
    return sum;
  }

  double SumOfConcurrencyShares() const {
    double sum = 0;
    for (const Node& node : nodes_)
      sum +=
          node.is_up ? node.limit_share->Stats(kCustomer, now_).concurrency : 0;
    return sum;
  }

  int InFlight() const {
    int sum = 0;
    for (const Node& node : nodes_)
      sum +=
          node.is_up ? node.limit_share->Stats(kCustomer, now_).in_flight : 0;
    return sum;
  }

  /// Estimated bytes that a host sent, including 80 bytes of framing per
  /// message.
  double SentBytes(int host) const { return nodes_[host].sent_bytes; }

  /// Called in every step for each host. Can send requests of additional
  /// contracts.
  std::function<void(int, TimePoint)> send_more_requests = [](int, TimePoint) {
  };

 private:
  struct Node {
    HostIdentity identity;
    std::unique_ptr<LimitShare> limit_share;
    std::vector<bool> sees_alive;
    Duration tick_offset{};
    bool is_up = true;
    double pending_requests = 0;
    int admitted = 0;
    double sent_bytes = 0;
    std::multimap<TimePoint, int> request_ends;
  };
  struct InTransit {
    int from;
    OutgoingMessage message;
  };

  void ApplyView(int host) {
    MembershipView view;
    view.listed_host_count = nodes_.size();
    for (int i = 0; i < size(); ++i) {
      view.members.push_back({HostName(i), nodes_[i].identity.domain,
                              !nodes_[host].sees_alive[i] ? MemberState::kDead
                              : suspected(i) ? MemberState::kSuspect
                                             : MemberState::kAlive});
    }
    nodes_[host].limit_share->OnMembershipView(view, now_);
  }

  /// Estimates the size of a message as compact CBOR in a WebSocket frame over
  /// TCP.
  static double EstimateBytes(const QuotaMessage& message) {
    constexpr double kFramingBytes = 80;
    double bytes = kFramingBytes;
    const auto add_demands = [&](const std::vector<ContractDemand>& demands) {
      for (const ContractDemand& demand : demands) {
        bytes += 11 + 5 * ((demand.requests_per_second > 0) +
                           (demand.tokens_per_second > 0) +
                           (demand.concurrency > 0));
      }
    };
    if (const auto* host = std::get_if<HostDemand>(&message))
      add_demands(host->demands);
    if (const auto* domain = std::get_if<DomainDemand>(&message))
      add_demands(domain->demands);
    if (const auto* grant = std::get_if<ShareGrant>(&message)) {
      for (const ContractShare& share : grant->shares) {
        bytes += 11 + 10 * ((share.requests.end > 0) + (share.tokens.end > 0) +
                            (share.concurrency.end > 0));
      }
    }
    return bytes;
  }

  static int HostIndex(const std::string& host) {
    return std::stoi(host.substr(4)) - 1000;
  }

  void Step() {
    std::vector<InTransit> arrived;
    arrived.swap(in_transit_);
    for (const InTransit& message : arrived) {
      const int to = HostIndex(message.message.to_host);
      if (nodes_[to].is_up && connected(message.from, to))
        nodes_[to].limit_share->OnPeerMessage(message.message.message, now_);
    }
    for (int i = 0; i < size(); ++i) {
      Node& node = nodes_[i];
      if (!node.is_up)
        continue;
      while (!node.request_ends.empty() &&
             node.request_ends.begin()->first <= now_) {
        node.limit_share->Release(kCustomer, {10}, {10}, now_);
        node.request_ends.erase(node.request_ends.begin());
      }
      node.pending_requests += demand(i) * ToSeconds(kStep);
      for (; node.pending_requests >= 1; node.pending_requests -= 1) {
        const AcquireResult acquired =
            node.limit_share->TryAcquire(kCustomer, {10}, now_);
        if (std::holds_alternative<AcquiredQuota>(acquired)) {
          ++node.admitted;
          node.request_ends.emplace(now_ + request_duration, 0);
        }
      }
      send_more_requests(i, now_);
      if ((now_.time_since_epoch() + node.tick_offset) % milliseconds(250) !=
          Duration::zero())
        continue;
      for (OutgoingMessage& message : node.limit_share->MakeMessages(now_)) {
        node.sent_bytes += EstimateBytes(message.message);
        if (rng_.Uniform() >= message_loss)
          in_transit_.push_back({i, std::move(message)});
      }
    }
  }

  config::Limits limits_;
  QuotaOptions options_;
  Rng rng_{1};
  std::vector<Node> nodes_;
  std::vector<InTransit> in_transit_;
  TimePoint now_{};
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_UNITTESTS_QUOTA_FLEET_H_
