/// \file
/// Guards against a host that waits for an unresponsive log while its peers
/// have the configuration.

#include "teaselhill/router/config_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace teaselhill::router {

namespace {

/// Answers a read that must not wait with an empty page, and never answers one
/// that may wait for records.
class UnresponsiveLog : public services::LogClient {
 public:
  void Append(const std::string&,
              std::vector<std::string>,
              services::AppendCallback) override {}

  void Read(const services::LogRead& read,
            services::ReadCallback callback) override {
    if (read.wait > Duration::zero()) {
      pending_reads.push_back(std::move(callback));
      return;
    }
    services::LogPage page;
    page.first_retained = kFirstOffset;
    page.next_offset = kFirstOffset;
    callback(page);
  }

  std::vector<services::ReadCallback> pending_reads;
};

}  // namespace

TEST_CASE("host that stays behind its peers fetches the state from a peer") {
  UnresponsiveLog log;
  ManualTimerService timers;
  timers.Advance(std::chrono::hours(1));
  Rng rng{1};
  NullLogger logger;
  std::vector<std::string> fetched_from;
  int hints = 0;
  ConfigExchange exchange(
      "h1", log, timers, rng, logger,
      [&](const std::string& host, const peer::Message& message) {
        hints += std::holds_alternative<peer::ConfigHint>(message);
        if (std::holds_alternative<peer::ConfigFetch>(message))
          fetched_from.push_back(host);
      },
      [](std::shared_ptr<const config::ConfigView>) {});
  exchange.Start();
  timers.Advance(std::chrono::seconds(3));
  REQUIRE_FALSE(log.pending_reads.empty());
  REQUIRE(exchange.lag().reachable);
  exchange.OnHint("h2", peer::ConfigHint{7});
  exchange.OnHint("h3", peer::ConfigHint{7});
  // Does not fetch yet, because the log may still deliver the records.
  CHECK(fetched_from.empty());
  timers.Advance(std::chrono::seconds(2));
  CHECK(fetched_from == std::vector<std::string>{"h2"});
  // The new state is announced to peers before the next gossip period.
  config::ConfigState ahead;
  for (LogOffset offset = 1; offset <= 6; ++offset)
    ahead.Apply(offset, config::EncodePadding());
  hints = 0;
  exchange.OnTransfer("h2", peer::ConfigTransfer{ahead.Export()});
  CHECK(exchange.next_offset() == 7);
  CHECK(hints >= 1);
}

TEST_CASE("hint that the log does not confirm causes a fetch from the peer") {
  UnresponsiveLog log;
  ManualTimerService timers;
  Rng rng{1};
  NullLogger logger;
  std::vector<std::string> fetched_from;
  ConfigExchange exchange(
      "h", log, timers, rng, logger,
      [&](const std::string& to, const peer::Message& message) {
        if (std::holds_alternative<peer::ConfigFetch>(message))
          fetched_from.push_back(to);
      },
      [](std::shared_ptr<const config::ConfigView>) {});
  exchange.Start();
  for (int i = 0; i < 4; ++i)
    timers.Advance(std::chrono::seconds(1));
  REQUIRE(exchange.lag().reachable);
  fetched_from.clear();
  exchange.OnHint("peer", {kFirstOffset + 3});
  CHECK(fetched_from.empty());  // the log gets time to confirm the hint
  for (int i = 0; i < 2; ++i)
    timers.Advance(std::chrono::seconds(1));
  CHECK(std::count(fetched_from.begin(), fetched_from.end(), "peer") >= 1);
}

}  // namespace teaselhill::router
