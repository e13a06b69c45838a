/// \file
/// Guards against hosts that do not find the version of a stream that another
/// host began, also when that host or some holders of the record are lost.

#include "teaselhill/gateway/peer_streams.h"

#include <catch2/catch.hpp>
#include <list>

#include "teaselhill/support/logger.h"

namespace teaselhill::gateway {

namespace {

net::HttpServerOptions Loopback() {
  net::HttpServerOptions options;
  options.address = "127.0.1.78";
  return options;
}

struct Host : private PeerExchange::Handler {
  Host(net::EventLoop& loop, const std::string& name, EventLog& log)
      : name(name),
        exchange(loop, name, Loopback(), log, *this),
        streams(exchange, versions) {
    REQUIRE(exchange.Start());
  }
  void OnPeerMessages(std::vector<PeerMessage> messages) override {}
  HostRecord Announcement() const {
    return {name, {}, "127.0.1.78:" + std::to_string(exchange.port()), ""};
  }

  std::string name;
  StreamVersions versions;
  PeerExchange exchange;
  PeerStreams streams;
};

}  // namespace

TEST_CASE("any host finds the version of a stream that another one began") {
  struct Row {
    const char* name;
    int hosts;
    int lost;  ///< unreachable hosts that are known as well
  };
  const Row row = GENERATE(values<Row>({
      {"two hosts", 2, 0},
      {"seven hosts", 7, 0},
      {"seven hosts, two are lost", 7, 2},
      {"many hosts", 40, 0},
  }));
  INFO(row.name);
  net::EventLoop loop;
  JsonLogger logger("peer_streams_test", LogLevel::kError);
  EventLog log(logger);
  std::list<Host> hosts;
  std::vector<HostRecord> records;
  for (int i = 0; i < row.hosts; ++i) {
    hosts.emplace_back(loop, "host-" + std::to_string(i), log);
    records.push_back(hosts.back().Announcement());
  }
  // Nothing listens there.
  for (int i = 0; i < row.lost; ++i)
    records.push_back({"lost-" + std::to_string(i), {}, "127.0.1.79:1", ""});
  for (Host& host : hosts)
    host.exchange.AddPeers(records);
  std::vector<StreamAnswer> answers;
  const StreamRecord record{"attempt", {"llm", "v1"}, std::chrono::seconds(9)};
  hosts.front().streams.Publish({record}, [&] {
    hosts.back().streams.Ask({"attempt", "llm"}, [&](StreamEvidence evidence) {
      answers = std::move(evidence.peers);
      loop.Stop();
    });
  });
  const auto timeout = loop.timers().After(std::chrono::seconds(10),
                                           [&](TimePoint) { loop.Stop(); });
  loop.Run();
  const bool held_here =
      hosts.back().versions.Find("attempt", BootNow()).has_value();
  const bool answered = !answers.empty() &&
                        answers.back().kind == StreamAnswer::Kind::kRecorded &&
                        answers.back().origin == StreamOrigin{"llm", "v1"};
  CHECK((held_here || answered));
}

// Guards against a host that takes the silence of the hosts that may have a
// record for their word that there is none.
TEST_CASE("a host knows whether all holders of a record have replied") {
  struct Row {
    int hosts;
    int lost;
    bool expected;
  };
  const Row row = GENERATE(
      values<Row>({{1, 0, false}, {7, 0, true}, {3, 1, false}, {1, 6, false}}));
  net::EventLoop loop;
  JsonLogger logger("peer_streams_test", LogLevel::kError);
  EventLog log(logger);
  std::list<Host> hosts;
  std::vector<HostRecord> records;
  for (int i = 0; i < row.hosts; ++i) {
    hosts.emplace_back(loop, "host-" + std::to_string(i), log);
    records.push_back(hosts.back().Announcement());
  }
  for (int i = 0; i < row.lost; ++i)
    records.push_back({"lost-" + std::to_string(i), {}, "127.0.1.79:1", ""});
  hosts.front().exchange.AddPeers(records);
  std::optional<bool> holders_replied;
  hosts.front().streams.Ask({"attempt", "llm"},
                            [&](const StreamEvidence& evidence) {
                              holders_replied = evidence.holders_replied;
                              loop.Post([&loop] { loop.Stop(); });
                            });
  const auto timeout = loop.timers().After(std::chrono::seconds(10),
                                           [&](TimePoint) { loop.Stop(); });
  loop.Run();
  CHECK(holders_replied == row.expected);
}

TEST_CASE("a host without peers has no one to tell or to ask") {
  net::EventLoop loop;
  JsonLogger logger("peer_streams_test", LogLevel::kError);
  EventLog log(logger);
  Host host(loop, "host", log);
  bool told = false;
  bool asked = false;
  host.streams.Publish({{"attempt", {"llm", "v1"}, std::chrono::seconds(9)}},
                       [&] { told = true; });
  host.streams.Ask({"attempt", "llm"}, [&](const StreamEvidence& evidence) {
    asked = evidence.peers.empty();
    CHECK_FALSE(evidence.holders_replied);
  });
  CHECK(told);
  CHECK(asked);
}

}  // namespace teaselhill::gateway
