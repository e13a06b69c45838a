/// \file
/// Guards against hosts that crash an upstream each because they learn of each
/// other's crashes late, or not at all while the fleet's log is unreachable.

#include "teaselhill/gateway/peer_exchange.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <list>

#include "teaselhill/support/logger.h"

namespace teaselhill::gateway {

namespace {

CrashRecord MakeRecord() {
  CrashRecord record;
  record.key = {1, 2};
  record.id = 3;
  record.upstream = {"i-1", 4};
  record.age = std::chrono::milliseconds(5);
  record.run_time = std::chrono::milliseconds(6);
  record.answering_for = std::chrono::milliseconds(7);
  record.silent_for = std::chrono::milliseconds(8);
  record.kind = LossKind::kGivenUp;
  record.team = 9;
  return record;
}

net::HttpServerOptions Loopback() {
  net::HttpServerOptions options;
  options.address = "127.0.1.77";
  return options;
}

/// A host that counts what it receives, and ends the loop once all hosts have
/// received a message.
class Peer : private PeerExchange::Handler {
 public:
  Peer(net::EventLoop& loop,
       const std::string& name,
       EventLog& log,
       int& waiting,
       size_t max_direct_peers)
      : name_(name),
        loop_(loop),
        waiting_(waiting),
        exchange_(loop,
                  name,
                  Loopback(),
                  log,
                  *this,
                  MakeOptions(max_direct_peers)) {
    REQUIRE(exchange_.Start());
  }

  HostRecord Announcement() const {
    return {name_, {}, "127.0.1.77:" + std::to_string(exchange_.port()), ""};
  }
  PeerExchange& exchange() { return exchange_; }
  const std::vector<CrashRecord>& received() const { return received_; }

 private:
  static PeerExchangeOptions MakeOptions(size_t max_direct_peers) {
    PeerExchangeOptions options;
    options.max_direct_peers = max_direct_peers;
    return options;
  }

  void OnPeerMessages(std::vector<PeerMessage> messages) override {
    for (const PeerMessage& message : messages) {
      received_.insert(received_.end(), message.records.begin(),
                       message.records.end());
      if (--waiting_ == 0)
        loop_.Stop();
    }
  }

  std::string name_;
  net::EventLoop& loop_;
  int& waiting_;
  std::vector<CrashRecord> received_;
  PeerExchange exchange_;
};

}  // namespace

TEST_CASE("a message reaches each other host once, directly or passed on") {
  struct Row {
    const char* name;
    int hosts;
    size_t max_direct_peers;
  };
  const Row row = GENERATE(values<Row>({
      {"two hosts", 2, 8},
      {"seven hosts", 7, 8},
      {"a ring of many hosts", 21, 8},
  }));
  INFO(row.name);
  net::EventLoop loop;
  JsonLogger logger("peer_exchange_test", LogLevel::kError);
  EventLog log(logger);
  int waiting = row.hosts - 1;
  std::list<Peer> peers;
  std::vector<HostRecord> records;
  for (int i = 0; i < row.hosts; ++i) {
    peers.emplace_back(loop, "host-" + std::to_string(i), log, waiting,
                       row.max_direct_peers);
    records.push_back(peers.back().Announcement());
  }
  for (Peer& peer : peers)
    peer.exchange().AddPeers(records);
  const auto timeout = loop.timers().After(std::chrono::seconds(10),
                                           [&](TimePoint) { loop.Stop(); });
  peers.front().exchange().Send({0, "", {MakeRecord()}, {}, {}});
  loop.Run();
  CHECK(waiting == 0);
  for (const Peer& peer : peers)
    CHECK(peer.received().size() == (&peer == &peers.front() ? 0 : 1));
}

TEST_CASE("a message keeps all fields of its records") {
  PeerMessage message;
  message.id = 9;
  message.sender = "host-1";
  CrashRecord withdrawn;
  withdrawn.key = {5, 6};
  withdrawn.id = 7;
  withdrawn.withdrawn = true;
  message.records = {MakeRecord(), withdrawn};
  message.observations.limits = {
      {{"i-2", 5}, 1.5, std::chrono::milliseconds(9)},
      {{"i-3", 6}, std::nullopt, Duration::zero()}};
  message.observations.notices = {
      {{"i-4", 7}, /*leaving=*/true, {}},
      {{"i-5", 8}, /*leaving=*/false, std::chrono::milliseconds(90)}};
  message.observations.refusals = {{"i-6", 9}};
  message.observations.speeds = {{"llm", {"i-7", 10}, 0.5}};
  message.observations.reserve_needs = {{"host-2", "llm", 0.27}};
  message.cut_off = GENERATE(true, false);
  const Result<PeerMessage> decoded =
      DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(decoded);
  CHECK(decoded->cut_off == message.cut_off);
  REQUIRE(decoded->observations.refusals.size() == 1);
  CHECK(decoded->observations.refusals[0] == UpstreamProcess{"i-6", 9});
  REQUIRE(decoded->observations.speeds.size() == 1);
  CHECK(decoded->observations.speeds[0].service == "llm");
  CHECK(decoded->observations.speeds[0].engine == UpstreamProcess{"i-7", 10});
  CHECK(decoded->observations.speeds[0].speed == 0.5);
  REQUIRE(decoded->observations.reserve_needs.size() == 1);
  CHECK(decoded->observations.reserve_needs[0].host == "host-2");
  CHECK(decoded->observations.reserve_needs[0].service == "llm");
  CHECK(decoded->observations.reserve_needs[0].fraction == 0.27);
  CHECK(decoded->id == 9);
  CHECK(decoded->sender == "host-1");
  REQUIRE(decoded->records.size() == 2);
  const CrashRecord& record = decoded->records[0];
  CHECK(record.key == MakeRecord().key);
  CHECK(record.id == 3);
  CHECK(record.upstream == UpstreamProcess{"i-1", 4});
  CHECK(record.age == std::chrono::milliseconds(5));
  CHECK(record.run_time == std::chrono::milliseconds(6));
  CHECK(record.answering_for == std::chrono::milliseconds(7));
  CHECK(record.silent_for == std::chrono::milliseconds(8));
  CHECK(record.kind == LossKind::kGivenUp);
  CHECK(record.team == 9);
  REQUIRE(decoded->observations.notices.size() == 2);
  CHECK(decoded->observations.notices[0].upstream == UpstreamProcess{"i-4", 7});
  CHECK(decoded->observations.notices[0].leaving);
  CHECK(decoded->observations.notices[1].pause ==
        std::chrono::milliseconds(90));
  CHECK(decoded->records[1].withdrawn);
  REQUIRE(decoded->observations.limits.size() == 2);
  CHECK(decoded->observations.limits[0].upstream == UpstreamProcess{"i-2", 5});
  CHECK(decoded->observations.limits[0].requests_per_second == 1.5);
  CHECK(decoded->observations.limits[0].age == std::chrono::milliseconds(9));
  CHECK_FALSE(decoded->observations.limits[1].requests_per_second);
}

// Guards a host that starts and does not learn which upstreams leave, because
// another build tells of an engine in the same message.
TEST_CASE("values of another build do not cost the rest of a message") {
  PeerMessage message;
  message.observations.notices = {{{"i-4", 7}, /*leaving=*/true, {}}};
  message.observations.speeds = {
      {"llm", {"i-7", 10}, GENERATE(0.0, -1.0, std::nan(""))},
      {"", {"i-7", 10}, 0.5},
      {"llm", {"", 10}, 0.5},
      {"llm", {"i-8", 11}, 0.5}};
  message.observations.reserve_needs = {
      {"host-2", "llm", GENERATE(0.0, 1.5, std::nan(""))},
      {"", "llm", 0.2},
      {"host-3", "", 0.2},
      {"host-4", "llm", 0.2}};
  const Result<PeerMessage> decoded =
      DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(decoded);
  CHECK(decoded->observations.notices.size() == 1);
  REQUIRE(decoded->observations.speeds.size() == 1);
  CHECK(decoded->observations.speeds[0].engine == UpstreamProcess{"i-8", 11});
  REQUIRE(decoded->observations.reserve_needs.size() == 1);
  CHECK(decoded->observations.reserve_needs[0].host == "host-4");
}

TEST_CASE("a text that is no message is refused") {
  const std::string text = GENERATE(
      std::string(), std::string("{}"), std::string("\xa0", 1),
      std::string(1 << 20, '\x81'),
      EncodePeerMessage({1, "host-1", {MakeRecord()}, {}, {}}).substr(0, 40));
  CHECK_FALSE(DecodePeerMessage(text));
}

}  // namespace teaselhill::gateway
