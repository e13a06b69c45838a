/// \file
/// Simulated hosts that exchange quota messages in virtual time, with
/// partitions, crashes and lost messages.

#ifndef TEASELHILL_UNITTESTS_QUOTA_FLEET_H_
#define TEASELHILL_UNITTESTS_QUOTA_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/quota/limit_share.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::quota {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
      nodes_[i].identity = {Name(i), "domain" + std::to_string(i % domains), 1};
      nodes_[i].view.assign(hosts, true);
      nodes_[i].offset = kStep * (i % 5);
    }
    for (int i = 0; i < hosts; ++i)
      Restart(i);
  }

  static std::string Name(int host) {
    return "host" + std::to_string(1000 + host);
  }

  LimitShare& share(int host) { return *nodes_[host].share; }
  TimePoint now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }

  void Restart(int host) {
    Node& node = nodes_[host];
    ++node.identity.incarnation;
    node.up = true;
    node.share = std::make_unique<LimitShare>(node.identity, options_, now_);
    node.share->ApplyContract(kCustomer, limits_, now_);
    GiveView(host);
  }

  void Crash(int host) { nodes_[host].up = false; }

  /// Sets which hosts are alive as seen from `host`.
  void SetView(int host, const std::function<bool(int)>& alive) {
    for (int i = 0; i < size(); ++i)
      nodes_[host].view[i] = alive(i);
    GiveView(host);
  }

  /// Whether a host that is not dead in a view is suspect in it.
  std::function<bool(int)> suspected = [](int) { return false; };
  /// Whether messages from the first host reach the second.
  std::function<bool(int, int)> connected = [](int, int) { return true; };
  double loss = 0;  ///< fraction of lost messages
  /// Arriving requests/s by host; each request costs 10 tokens.
  std::function<double(int)> demand = [](int) { return 0.0; };
  /// Duration of an admitted request.
  Duration service = milliseconds(500);

  void Run(Duration length) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kStep)
      Step();
  }

  /// Runs for `length` and returns the admitted requests/s of each host.
  std::vector<double> Measure(Duration length) {
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
    return node.up ? node.share->Figures(kCustomer, now_).requests_per_second
                   : 0;
  }

  double SumOfShares() const {
    double sum = 0;
    for (int i = 0; i < size(); ++i)
      sum += RequestShare(i);
    return sum;
  }

  double SumOfConcurrency() const {
    double sum = 0;
    for (const Node& node : nodes_)
      sum += node.up ? node.share->Figures(kCustomer, now_).concurrency : 0;
    return sum;
  }

  int InFlight() const {
    int sum = 0;
    for (const Node& node : nodes_)
      sum += node.up ? node.share->Figures(kCustomer, now_).in_flight : 0;
    return sum;
  }

  /// Estimated bytes that a host sent, including 80 bytes of framing per
  /// message.
  double SentBytes(int host) const { return nodes_[host].bytes; }

  /// Called in every step for each host, to send requests of more contracts.
  std::function<void(int, TimePoint)> more_load = [](int, TimePoint) {};

 private:
  struct Node {
    HostIdentity identity;
    std::unique_ptr<LimitShare> share;
    std::vector<bool> view;
    Duration offset{};
    bool up = true;
    double arrears = 0;
    int admitted = 0;
    double bytes = 0;
    std::multimap<TimePoint, int> ends;
  };
  struct InTransit {
    int from;
    OutgoingMessage message;
  };

  void GiveView(int host) {
    MembershipView view;
    view.listed_total = nodes_.size();
    for (int i = 0; i < size(); ++i) {
      view.members.push_back({Name(i), nodes_[i].identity.domain,
                              !nodes_[host].view[i] ? MemberState::kDead
                              : suspected(i)        ? MemberState::kSuspect
                                                    : MemberState::kAlive});
    }
    nodes_[host].share->OnMembers(view, now_);
  }

  /// Estimates the size as compact CBOR in a WebSocket frame over TCP.
  static double SizeOf(const QuotaMessage& message) {
    constexpr double kFraming = 80;
    double size = kFraming;
    const auto add_demands = [&](const std::vector<ContractDemand>& demands) {
      for (const ContractDemand& demand : demands) {
        size += 11 +
                5 * ((demand.requests_per_second > 0) +
                     (demand.tokens_per_second > 0) + (demand.concurrency > 0));
      }
    };
    if (const auto* host = std::get_if<HostDemand>(&message))
      add_demands(host->demands);
    if (const auto* domain = std::get_if<DomainDemand>(&message))
      add_demands(domain->demands);
    if (const auto* grant = std::get_if<ShareGrant>(&message)) {
      for (const ContractShare& share : grant->shares) {
        size += 11 + 10 * ((share.requests.end > 0) + (share.tokens.end > 0) +
                           (share.concurrency.end > 0));
      }
    }
    return size;
  }

  static int Index(const std::string& host) {
    return std::stoi(host.substr(4)) - 1000;
  }

  void Step() {
    std::vector<InTransit> arrived;
    arrived.swap(transit_);
    for (const InTransit& message : arrived) {
      const int to = Index(message.message.to_host);
      if (nodes_[to].up && connected(message.from, to))
        nodes_[to].share->OnPeerDemand(message.message.message, now_);
    }
    for (int i = 0; i < size(); ++i) {
      Node& node = nodes_[i];
      if (!node.up)
        continue;
      while (!node.ends.empty() && node.ends.begin()->first <= now_) {
        node.share->Finish(kCustomer, {10}, {10}, now_);
        node.ends.erase(node.ends.begin());
      }
      node.arrears += demand(i) * ToSeconds(kStep);
      for (; node.arrears >= 1; node.arrears -= 1) {
        const TakeResult taken = node.share->TryTake(kCustomer, {10}, now_);
        if (std::holds_alternative<Taken>(taken)) {
          ++node.admitted;
          node.ends.emplace(now_ + service, 0);
        }
      }
      more_load(i, now_);
      if ((now_.time_since_epoch() + node.offset) % milliseconds(250) !=
          Duration::zero())
        continue;
      for (OutgoingMessage& message : node.share->MakeDemand(now_)) {
        node.bytes += SizeOf(message.message);
        if (rng_.Uniform() >= loss)
          transit_.push_back({i, std::move(message)});
      }
    }
  }

  config::Limits limits_;
  QuotaOptions options_;
  Rng rng_{1};
  std::vector<Node> nodes_;
  std::vector<InTransit> transit_;
  TimePoint now_{};
};

}  // namespace teaselhill::quota

#endif  // TEASELHILL_UNITTESTS_QUOTA_FLEET_H_
