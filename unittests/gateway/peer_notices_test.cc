/// \file
/// Guards against requests that a host which has just started sends to an
/// upstream that leaves, and prompts that it ranks by other speeds than the
/// rest, because the others were told before.

#include "teaselhill/gateway/peer_notices.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "teaselhill/support/logger.h"

namespace teaselhill::gateway {

namespace {

net::HttpServerOptions Loopback() {
  net::HttpServerOptions options;
  options.address = "127.0.1.80";
  return options;
}

UpstreamProcess Process(const std::string& id) {
  return {id, /*incarnation=*/1};
}

struct Host : private PeerExchange::Handler {
  Host(net::EventLoop& loop, const std::string& name, EventLog& log)
      : name(name),
        exchange(loop, name, Loopback(), log, *this),
        notices(exchange, name, shared_state) {
    REQUIRE(exchange.Start());
    auto list = std::make_shared<UpstreamList>();
    for (const char* id : {"leaves", "stays"}) {
      UpstreamEntry entry;
      entry.id = id;
      entry.service = "llm";
      entry.incarnation = 1;
      list->by_service["llm"].push_back(entry);
    }
    shared_state.SetUpstreams(std::move(list));
  }
  void OnPeerMessages(std::vector<PeerMessage> messages) override {}
  HostRecord Announcement() const {
    return {name, {}, "127.0.1.80:" + std::to_string(exchange.port()), ""};
  }

  std::string name;
  SharedState shared_state;
  PeerExchange exchange;
  PeerNotices notices;
};

}  // namespace

TEST_CASE("a host that starts learns which upstreams leave") {
  struct Row {
    const char* name;
    bool other_is_lost;  ///< one of the hosts that are asked
    std::vector<NoticeObservation> known;
    std::vector<std::string> told;
  };
  const Row row = GENERATE(values<Row>({
      {"one leaves", false, {{Process("leaves"), true, {}}}, {"leaves"}},
      {"beside a lost host", true, {{Process("leaves"), true, {}}}, {"leaves"}},
      {"a pause is for one host only",
       false,
       {{Process("stays"), false, std::chrono::seconds(9)}},
       {}},
      {"gone from the directory", false, {{Process("gone"), true, {}}}, {}},
      {"none leaves", false, {}, {}},
  }));
  INFO(row.name);
  net::EventLoop loop;
  JsonLogger logger("peer_notices_test", LogLevel::kError);
  EventLog log(logger);
  Host old(loop, "old", log);
  Host started(loop, "started", log);
  std::vector<HostRecord> records = {old.Announcement()};
  if (row.other_is_lost)
    records.push_back({"lost", {}, "127.0.1.81:1", ""});
  old.notices.Remember({{}, row.known, {}, {}, {}, {}});
  std::vector<std::string> told;
  const auto collect = [&](const UpstreamObservations& observations) {
    for (const NoticeObservation& notice : observations.notices) {
      CHECK(notice.leaving);
      told.push_back(notice.upstream.id);
    }
    loop.Stop();
  };
  // No host is known yet.
  started.notices.AskOnce(collect);
  started.exchange.AddPeers(records);
  started.notices.AskOnce(collect);
  const auto timeout = loop.timers().After(
      std::chrono::milliseconds(row.told.empty() ? 200 : 3000),
      [&](TimePoint) { loop.Stop(); });
  loop.Run();
  CHECK(told == row.told);
  // What it was told it tells others.
  Host next(loop, "next", log);
  next.exchange.AddPeers({started.Announcement()});
  told.clear();
  next.notices.AskOnce(collect);
  const auto second_timeout = loop.timers().After(
      std::chrono::milliseconds(row.told.empty() ? 200 : 3000),
      [&](TimePoint) { loop.Stop(); });
  loop.Run();
  CHECK(told == row.told);
}

TEST_CASE("a host that starts learns the speeds of the listed engines") {
  net::EventLoop loop;
  JsonLogger logger("peer_notices_test", LogLevel::kError);
  EventLog log(logger);
  Host old(loop, "old", log);
  Host started(loop, "started", log);
  started.exchange.AddPeers({old.Announcement()});
  UpstreamObservations known;
  known.speeds = {{"llm", Process("stays"), 0.25},
                  {"llm", Process("gone"), 0.5}};
  old.notices.Remember(known);
  // A later speed replaces an earlier one.
  known.speeds = {{"llm", Process("stays"), 0.5}};
  old.notices.Remember(known);
  std::vector<engines::EngineSpeed> told;
  started.notices.AskOnce([&](const UpstreamObservations& observations) {
    told = observations.speeds;
    loop.Stop();
  });
  const auto timeout = loop.timers().After(std::chrono::seconds(3),
                                           [&](TimePoint) { loop.Stop(); });
  loop.Run();
  REQUIRE(told.size() == 1);
  CHECK(told[0].service == "llm");
  CHECK(told[0].engine == Process("stays"));
  CHECK(told[0].speed == 0.5);
}

}  // namespace teaselhill::gateway
