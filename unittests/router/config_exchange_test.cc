/// \file
/// Guards the spread of the configuration against a read of the log that hangs:
/// a host must not stay behind its peers until the read times out.

#include "teaselhill/router/config_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace teaselhill::router {

using std::chrono::seconds;

namespace {

/// An empty log that answers its first long poll and none after it.
class SilentLog : public platform::LogClient {
 public:
  void Append(const std::string&,
              std::vector<std::string>,
              platform::AppendCallback) override {}
  void Read(const platform::LogRead& read,
            platform::ReadCallback callback) override {
    if (read.wait > Duration::zero() && polls_++ > 0)
      return;
    platform::LogPage page;
    page.first_retained = page.next_offset = kFirstOffset;
    callback(page);
  }

 private:
  int polls_ = 0;
};

}  // namespace

TEST_CASE("a hint that the log does not confirm is settled with the peer") {
  SilentLog log;
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
    timers.Advance(seconds(1));
  REQUIRE(exchange.lag().reachable);
  fetched_from.clear();
  exchange.OnHint("peer", {kFirstOffset + 3});
  CHECK(fetched_from.empty());  // the log answers first when it works
  for (int i = 0; i < 2; ++i)
    timers.Advance(seconds(1));
  CHECK(std::count(fetched_from.begin(), fetched_from.end(), "peer") >= 1);
}

}  // namespace teaselhill::router
