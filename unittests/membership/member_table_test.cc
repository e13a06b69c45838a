/// \file
/// Checks on a simulated network that failures and recoveries of hosts are
/// detected in time and without false reports, that leaving upstreams become
/// known quickly, and that memory and traffic stay bounded.

#include "teaselhill/membership/member_table.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>

namespace teaselhill::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTickPeriod{50};
constexpr milliseconds kLatency{5};

size_t EncodedBytes(const MemberUpdate& update) {
  // A CBOR map with field names: the text lengths plus about 70 bytes.
  return update.id.host.size() + update.address.size() + update.domain.size() +
         70;
}

size_t EncodedBytes(const Message& message) {
  return std::visit(
      [](const auto& m) {
        size_t size =
            60 + EncodedBytes(m.from);  // with frame, TCP and IP headers
        for (const MemberUpdate& update : m.gossip.members)
          size += EncodedBytes(update);
        for (const UpstreamReport& report : m.gossip.upstream_reports)
          size += 50 + report.upstream.size() + report.domain.size();
        return size;
      },
      message);
}

class Network {
 public:
  Network(size_t hosts, size_t domains, uint64_t seed = 1) : rng_(seed) {
    for (size_t i = 0; i < hosts; ++i) {
      Node node;
      node.name = "host" + std::to_string(i);
      node.domain = "zone" + std::to_string(i % domains);
      nodes_.push_back(std::move(node));
    }
    for (size_t i = 0; i < hosts; ++i)
      Start(i);
  }

  void Start(size_t i) {
    Node& node = nodes_[i];
    ++node.incarnation;
    node.running = true;
    node.table = std::make_unique<MemberTable>(
        MemberUpdate{{node.name, node.incarnation},
                     0,
                     MemberState::kAlive,
                     "127.0.1." + std::to_string(i),
                     node.domain},
        MemberOptions());
    DeliverHostList(i);
  }
  void DeliverHostList(size_t i) {
    std::vector<HostListEntry> list;
    for (const Node& node : nodes_)
      list.push_back({node.name, "127.0.1.1", node.domain, false});
    Deliver(i, nodes_[i].table->OnHostList(list, {}, now));
  }
  void Kill(size_t i) { nodes_[i].running = false; }
  void SetPaused(size_t i, bool paused) { nodes_[i].paused = paused; }
  MemberTable& table(size_t i) { return *nodes_[i].table; }
  size_t size() const { return nodes_.size(); }
  const std::string& domain(size_t i) const { return nodes_[i].domain; }
  HostIncarnation id(size_t i) const {
    return {nodes_[i].name, nodes_[i].incarnation};
  }

  void Deliver(size_t from, MemberOutput output) {
    for (const MemberEvent& event : output.events)
      nodes_[from].events.push_back(event);
    for (const std::string& upstream : output.leaving_upstreams)
      nodes_[from].leaving.insert(upstream);
    for (const std::string& upstream : output.returned_upstreams)
      nodes_[from].leaving.erase(upstream);
    for (OutgoingMessage& outgoing : output.messages) {
      const size_t to = std::stoul(outgoing.host.substr(4));
      sent_bytes += EncodedBytes(outgoing.message);
      if (is_link_cut(from, to) || rng_.Uniform() < loss)
        continue;
      nodes_[to].inbox.push_back({now + kLatency, std::move(outgoing.message)});
    }
  }

  void Run(Duration duration) {
    for (const TimePoint end = now + duration; now < end; now += kLatency) {
      for (size_t i = 0; i < nodes_.size(); ++i)
        Step(i);
    }
  }

  /// Runs until `done` returns true, or for `limit`, and returns the time that
  /// passed.
  Duration RunUntil(const std::function<bool()>& done, Duration limit) {
    const TimePoint start = now;
    while (!done() && now - start < limit)
      Run(kTickPeriod);
    return now - start;
  }

  bool AllHostsSee(size_t target, bool up) {
    for (size_t i = 0; i < size(); ++i) {
      if (i != target && nodes_[i].running && !nodes_[i].paused &&
          nodes_[i].table->IsUp(id(target)) != up)
        return false;
    }
    return true;
  }
  size_t CountDownEvents() const {
    size_t count = 0;
    for (const Node& node : nodes_)
      for (const MemberEvent& event : node.events)
        count += event.kind == MemberEventKind::kDown;
    return count;
  }
  bool KnowsLeaving(size_t i, const std::string& upstream) const {
    return nodes_[i].leaving.count(upstream) > 0;
  }

  TimePoint now;
  double loss = 0;
  size_t sent_bytes = 0;
  std::function<bool(size_t, size_t)> is_link_cut = [](size_t, size_t) {
    return false;
  };

 private:
  struct QueuedMessage {
    TimePoint deliver_at;
    Message message;
  };
  struct Node {
    std::string name;
    std::string domain;
    uint64_t incarnation = 0;
    bool running = false;
    bool paused = false;
    std::unique_ptr<MemberTable> table;
    std::deque<QueuedMessage> inbox;
    std::vector<MemberEvent> events;
    std::set<std::string> leaving;
  };

  void Step(size_t i) {
    Node& node = nodes_[i];
    if (!node.running) {
      node.inbox.clear();
      return;
    }
    if (node.paused)
      return;
    const auto phase = (now.time_since_epoch() / kLatency + i) % 10;
    if (phase == 0)
      Deliver(i, node.table->OnTick(now, &rng_));
    while (!node.inbox.empty() && node.inbox.front().deliver_at <= now) {
      const QueuedMessage queued = std::move(node.inbox.front());
      node.inbox.pop_front();
      Deliver(i, node.table->OnMessage(queued.message, now, &rng_));
    }
  }

  Rng rng_;
  std::vector<Node> nodes_;
};

}  // namespace

TEST_CASE(
    "every host detects in time that a host was killed or paused and that it "
    "returned") {
  const auto [hosts, domains, paused] = GENERATE(table<int, int, bool>(
      {{7, 3, false}, {7, 3, true}, {2, 1, false}, {60, 3, true}}));
  Network network(hosts, domains);
  network.Run(seconds(5));
  REQUIRE(network.CountDownEvents() == 0);
  REQUIRE(network.AllHostsSee(1, true));
  paused ? network.SetPaused(1, true) : network.Kill(1);
  CHECK(network.RunUntil([&] { return network.AllHostsSee(1, false); },
                         seconds(20)) <= seconds(8));
  paused ? network.SetPaused(1, false) : network.Start(1);
  CHECK(network.RunUntil([&] { return network.AllHostsSee(1, true); },
                         seconds(30)) <= seconds(12));
  // The host that returned must not consider the other hosts dead.
  network.Run(seconds(5));
  for (size_t i = 0; i < network.size(); ++i)
    CHECK((i == 1 || network.table(1).IsUp(network.id(i))));
}

TEST_CASE("a host that was paused does not declare other hosts dead") {
  const int pause_ms = GENERATE(100, 300, 1000, 5000, 60000);
  Network network(7, 3);
  network.Run(seconds(5));
  // Host 2 may be suspected when host 1 is paused. The timeout of the suspicion
  // must not expire during the pause.
  network.Kill(2);
  network.Run(milliseconds(700));
  network.SetPaused(1, true);
  network.Start(2);
  network.Run(milliseconds(pause_ms));
  network.SetPaused(1, false);
  network.Run(milliseconds(2000));
  for (size_t i = 0; i < network.size(); ++i)
    CHECK(network.table(1).IsUp(network.id(i)));
}

TEST_CASE("timeouts that expire while the process is paused are ignored") {
  MemberTable table({{"a", 1}, 0, MemberState::kAlive, "127.0.1.1", "z"},
                    MemberOptions());
  Rng rng(1);
  TimePoint now;
  const bool suspected = GENERATE(true, false);
  Ping ping{{{"b", 1}, 0, MemberState::kAlive, "x", "z"}, 1, {}};
  if (suspected)
    ping.gossip.members.push_back(
        {{"b", 1}, 0, MemberState::kSuspect, "x", "z"});
  table.OnMessage(ping, now, &rng);
  table.OnTick(now, &rng);  // sends a probe
  // The ack is not read from the socket while the process is paused.
  now += seconds(30);
  CHECK(table.OnTick(now, &rng).events.empty());
  for (int tick = 0; tick < 8; ++tick)
    CHECK(table.OnTick(now += kTickPeriod, &rng).events.empty());
  CHECK(table.IsUp({"b", 1}));
}

TEST_CASE(
    "a host is not declared dead because its link to one peer is broken") {
  Network network(7, 1);
  network.Run(seconds(5));
  network.is_link_cut = [](size_t a, size_t b) { return a + b == 1; };
  network.Run(seconds(30));
  CHECK(network.CountDownEvents() == 0);
}

TEST_CASE("a leaving upstream is reported at once to all hosts of its domain") {
  Network network(87, 3);
  network.Run(seconds(5));
  network.Deliver(
      0, network.table(0).MarkUpstreamLeaving("gpu", "zone0", 1, network.now));
  network.Run(3 * kLatency);
  for (size_t i = 0; i < network.size(); i += 3)
    CHECK(network.KnowsLeaving(i, "gpu"));
  // The engine accepts requests again after a reload. The older report, that it
  // is leaving, must not replace the newer one.
  network.Deliver(
      3, network.table(3).MarkUpstreamReturned("gpu", "zone0", 2, network.now));
  network.Run(seconds(10));
  for (size_t i = 0; i < network.size(); i += 3)
    CHECK_FALSE(network.KnowsLeaving(i, "gpu"));
}

TEST_CASE(
    "all hosts of the domain know a leaving upstream within 3 s, also with "
    "message loss") {
  const auto [hosts, domains, loss] = GENERATE(table<int, int, double>(
      {{7, 3, 0}, {87, 3, 0}, {7, 3, 0.2}, {87, 3, 0.2}}));
  Network network(hosts, domains);
  network.Run(seconds(5));
  network.loss = loss;
  network.Deliver(
      0, network.table(0).MarkUpstreamLeaving("gpu", "zone0", 1, network.now));
  const auto known = [&] {
    for (size_t i = 0; i < network.size(); ++i)
      if (network.domain(i) == "zone0" && !network.KnowsLeaving(i, "gpu"))
        return false;
    return true;
  };
  CHECK(network.RunUntil(known, seconds(10)) <= seconds(3));
}

TEST_CASE(
    "a host detects that other domains are unreachable, and later that "
    "they are reachable again") {
  const auto [hosts, domains] = GENERATE(table<int, int>({{7, 3}, {60, 4}}));
  Network network(hosts, domains);
  network.Run(seconds(5));
  const auto in_zone0 = [&](size_t i) { return network.domain(i) == "zone0"; };
  network.is_link_cut = [&](size_t a, size_t b) {
    return in_zone0(a) != in_zone0(b);
  };
  const auto other_domains_unreachable = [&](bool expected) {
    for (const DomainStatus& status : network.table(0).Domains(network.now)) {
      const bool own = status.domain == "zone0";
      if (!own && (status.reachable == 0) != expected)
        return false;
      if (own && status.reachable != status.known)
        return false;
    }
    return true;
  };
  CHECK(network.RunUntil([&] { return other_domains_unreachable(true); },
                         seconds(60)) <= seconds(hosts > 16 ? 4 : 8));
  network.Run(seconds(60));
  network.is_link_cut = [](size_t, size_t) { return false; };
  CHECK(network.RunUntil([&] { return other_domains_unreachable(false); },
                         seconds(120)) <= seconds(60));
}

TEST_CASE("dead hosts and hosts that are no longer on the list are removed") {
  MemberTable table({{"a", 1}, 0, MemberState::kAlive, "127.0.1.1", "z"},
                    MemberOptions());
  Rng rng(1);
  TimePoint now;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "h" + std::to_string(i);
    table.OnMessage(Ping{{{name, 1}, 0, MemberState::kAlive, "x", "z"}, 1, {}},
                    now, &rng);
    for (int tick = 0; tick < 40; ++tick)
      table.OnTick(now += kTickPeriod, &rng);
  }
  CHECK(table.Members(now).size() < 40);
  // A host that is known only from the list is removed with its entry.
  table.OnHostList({{"new", "x", "other", false}}, {}, now);
  table.OnHostList({}, {}, now);
  for (const MemberView& view : table.Members(now))
    CHECK(view.member.id.host != "new");
}

TEST_CASE("an older update that arrives late does not replace a newer one") {
  MemberTable table({{"a", 1}, 0, MemberState::kAlive, "127.0.1.1", "z"},
                    MemberOptions());
  Rng rng(1);
  const auto apply_update = [&](uint64_t incarnation, uint64_t refutation,
                                MemberState state) {
    Ping ping{{{"c", 1}, 0, MemberState::kAlive, "x", "z"}, 1, {}};
    ping.gossip.members.push_back(
        {{"b", incarnation}, refutation, state, "x", "z"});
    table.OnMessage(ping, TimePoint(), &rng);
    return table.IsUp({"b", incarnation});
  };
  CHECK(apply_update(1, 0, MemberState::kAlive));
  CHECK_FALSE(apply_update(1, 0, MemberState::kDead));
  CHECK_FALSE(apply_update(1, 0, MemberState::kAlive));
  CHECK(apply_update(1, 1, MemberState::kAlive));
  CHECK(apply_update(2, 0, MemberState::kAlive));
  CHECK_FALSE(apply_update(1, 5, MemberState::kAlive));
  CHECK(table.IsUp({"b", 2}));
}

TEST_CASE("a host's traffic stays under 6 KB/s at 380 hosts in 13 domains") {
  Network network(380, 13);
  network.Run(seconds(10));
  network.sent_bytes = 0;
  constexpr int kSeconds = 20;
  network.Kill(5);
  network.Run(seconds(kSeconds));
  const double rate = static_cast<double>(network.sent_bytes) / 380 / kSeconds;
  INFO("bytes per second sent by a host: " << rate);
  CHECK(2 * rate < 4000);  // sent and received, while all hosts are new
  CHECK(network.AllHostsSee(5, false));
}

TEST_CASE("after random faults all hosts see each other as up again") {
  rc::prop("under restarts, pauses, message loss and partitions", [] {
    Network network(6, 2, *rc::gen::inRange<uint64_t>(1, 1000));
    network.Run(seconds(2));
    const auto faults = *rc::gen::container<std::vector<int>>(
        rc::gen::resize(100, rc::gen::inRange(0, 36)));
    for (const int fault : faults) {
      const size_t host = fault % 6;
      if (fault / 6 == 0)
        network.SetPaused(host, true);
      else if (fault / 6 == 1)
        network.SetPaused(host, false);
      else if (fault / 6 == 2)
        network.Start(host);
      else if (fault / 6 == 3)
        network.is_link_cut = [host](size_t a, size_t b) {
          return a < host && b >= host;
        };
      else
        network.loss = 0.3 * (fault % 2);
      network.Run(milliseconds(300) * (1 + fault % 3));
    }
    network.is_link_cut = [](size_t, size_t) { return false; };
    network.loss = 0;
    for (size_t i = 0; i < network.size(); ++i)
      network.SetPaused(i, false);
    network.Run(seconds(25));
    for (size_t i = 0; i < network.size(); ++i)
      RC_ASSERT(network.AllHostsSee(i, true));
  });
}

}  // namespace teaselhill::membership
