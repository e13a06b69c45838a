/// \file
/// Tests offsets, append rate and retention of the log, cache events, orders,
/// faults and the lag of the host list.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "teaselhill/standin/assignment.h"
#include "teaselhill/standin/faults.h"
#include "teaselhill/standin/host_list.h"
#include "teaselhill/standin/log_store.h"
#include "teaselhill/standin/prefix_cache.h"

namespace teaselhill::standin {

using std::chrono::milliseconds;
using std::chrono::seconds;

static const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("offsets of a stream are consecutive, also after truncation") {
  rc::check("dense offsets", [](const std::vector<bool>& streams) {
    LogConfig config;
    config.appends_per_second = 1e9;
    config.retained_records = 3;
    LogStore store(config);
    std::map<bool, uint64_t> appended;
    for (const bool stream : streams) {
      const auto first =
          store.Append(stream ? "a" : "b", {"1"}, kStart, WallTime{});
      RC_ASSERT(first.ok());
      RC_ASSERT(*first == ++appended[stream]);
    }
    const uint64_t count = appended[true];
    const uint64_t retained = store.first_retained("a", kStart);
    RC_ASSERT(retained == (count > 3 ? count - 2 : 1));
    const auto page = store.Read("a", retained, 10, kStart);
    RC_ASSERT(page.ok());
    RC_ASSERT(page->next_offset == count + 1);
    RC_ASSERT(page->records.size() == std::min<uint64_t>(count, 3));
  });
}

TEST_CASE("a read below the first retained offset fails") {
  LogConfig config;
  config.retention = seconds(10);
  LogStore store(config);
  REQUIRE(store.Append("s", {"1", "2"}, kStart, WallTime{}).ok());
  CHECK(store.Read("s", 1, 10, kStart + seconds(10)).ok());
  const auto dropped = store.Read("s", 2, 10, kStart + seconds(11));
  REQUIRE_FALSE(dropped.ok());
  CHECK(dropped.error().code == ResultCode::kOffsetDropped);
  CHECK(store.Read("s", 3, 10, kStart + seconds(11)).ok());
  CHECK(*store.Append("s", {"3"}, kStart + seconds(11), WallTime{}) == 3);
}

TEST_CASE("the append rate limit applies to all streams together") {
  LogConfig config;
  config.appends_per_second = 100;
  LogStore store(config);
  int accepted = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    const std::string stream = std::to_string(ms % 3);
    accepted += store.Append(stream, {"1"}, kStart + milliseconds(ms), {}).ok();
  }
  CHECK(accepted >= 1090);
  CHECK(accepted <= 1101);
}

TEST_CASE("cache events are delayed and in order, and some are lost") {
  PrefixCacheConfig config;
  config.capacity_tokens = 8 * kBlockTokens;
  config.event_lag = milliseconds(100);
  config.event_loss = GENERATE(0.0, 0.3);
  PrefixCache cache(config);
  for (int i = 0; i < 200; ++i)
    cache.Store(PrefixBlocks("m" + std::to_string(i), std::string(600, 'x')),
                kStart);
  CHECK(cache.EventsFrom(1, kStart + milliseconds(99)).events.empty());
  const CacheEvents all = cache.EventsFrom(1, kStart + milliseconds(100));
  const size_t made = 2 * 400 - 8;
  if (config.event_loss == 0)
    CHECK(all.events.size() == made);
  else
    CHECK(all.events.size() < made * 4 / 5);
  for (size_t i = 1; i < all.events.size(); ++i)
    CHECK(all.events[i - 1].seq < all.events[i].seq);
  CHECK(cache.EventsFrom(all.next, kStart + seconds(1)).events.empty());
}

TEST_CASE("an engine rejects old fencing numbers only if it checks fencing") {
  const bool checks = GENERATE(true, false);
  Assignment assignment(checks);
  Order order;
  order.kind = OrderKind::kLoadModel;
  order.model = "m";
  order.fencing = 7;
  const auto first = assignment.Apply(order);
  REQUIRE(first.ok());
  CHECK(*first > 0);
  CHECK_FALSE(assignment.Serves("m"));
  order.fencing = 6;
  order.version = "2";
  const auto second = assignment.Apply(order);
  CHECK(second.ok() == !checks);
  // The end of a load that a later order replaced must not make the model
  // ready.
  assignment.FinishLoad("m", *first);
  CHECK(assignment.Serves("m") == checks);
}

TEST_CASE("a fault ends after its duration or when it is cleared") {
  const bool cleared = GENERATE(false, true);
  Faults faults(1);
  FaultCommand command;
  for (const FaultKind kind :
       {FaultKind::kFreeze, FaultKind::kSlow, FaultKind::kRefuse,
        FaultKind::kLoseAnswer, FaultKind::kCutOff}) {
    command.kind = kind;
    command.for_time = cleared ? Duration{} : Duration(seconds(1));
    command.factor = 4;
    command.addresses = {"127.0.1.1"};
    faults.Apply(command, kStart);
  }
  const auto active = [&](TimePoint now) {
    return faults.frozen(now) + faults.refusing(now) +
           faults.ShouldLoseAnswer(now) + faults.cut_off("127.0.1.1", now) +
           (faults.slow_factor(now) == 4);
  };
  CHECK(active(kStart) == 5);
  CHECK_FALSE(faults.cut_off("127.0.1.2", kStart));
  CHECK(active(kStart + seconds(1)) == (cleared ? 5 : 0));
  command.kind = FaultKind::kClear;
  faults.Apply(command, kStart);
  CHECK(active(kStart) == 0);
}

TEST_CASE("a change of the host list becomes visible only after the lag") {
  LaggingText list(seconds(2), "old");
  list.Set("new", kStart);
  list.Set("newer", kStart + seconds(1));
  CHECK(list.Get(kStart + milliseconds(1999)) == "old");
  CHECK(list.Get(kStart + seconds(2)) == "new");
  CHECK(list.Get(kStart + seconds(3)) == "newer");
}

}  // namespace teaselhill::standin
