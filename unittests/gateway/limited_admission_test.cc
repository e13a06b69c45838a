/// \file
/// Guards against urgent requests that are refused, and teams that get nothing,
/// while less urgent requests or one team use up what limited upstreams take.

#include "teaselhill/gateway/limited_admission.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/gateway/rate_share.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "s";
constexpr milliseconds kStep{5};
constexpr seconds kDuration{60};
constexpr double kTurnsPerSecond = 20;

/// Callers of one team at one level.
struct Stream {
  std::string team;
  GateLevel level;
  double per_second;
};

struct Counts {
  int sent = 0;
  int served = 0;
  double part() const { return static_cast<double>(served) / sent; }
};

/// A host that has turns at a steady rate; all that find none are refused.
std::vector<Counts> Play(const std::vector<Stream>& streams, uint64_t seed) {
  Rng rng(seed);
  LimitedAdmission admission;
  const WallTime start{std::chrono::hours(480000)};
  RateShare share(/*phase=*/0, start);
  share.SetPosition({0, 1});
  share.SetRate(kTurnsPerSecond, seconds(1));
  std::vector<Counts> counts(streams.size());
  for (milliseconds at{0}; at < kDuration; at += kStep) {
    const TimePoint now{std::chrono::hours(5) + at};
    for (size_t i = 0; i < streams.size(); ++i) {
      const Stream& stream = streams[i];
      if (rng.Uniform() >= stream.per_second * ToSeconds(kStep))
        continue;
      ++counts[i].sent;
      const double required = admission.RequiredTurnAge(
          kService, stream.level, stream.team, rng.Uniform(), now);
      const std::optional<Duration> age = share.OldestTurnAge(start + at);
      if (!age || ToSeconds(*age) < required)
        continue;
      share.Use(start + at);
      admission.OnTurnUsed(kService, stream.team, now);
      ++counts[i].served;
    }
  }
  return counts;
}

}  // namespace

TEST_CASE("urgent requests find a turn before less urgent ones") {
  const uint64_t seed = GENERATE(range(1, 6));
  const std::vector<Counts> counts =
      Play({{"a", {0, 0}, 10}, {"a", {1, 1}, 40}, {"a", {2, 2}, 40}}, seed);
  CHECK(counts[0].part() > 0.9);
  CHECK(counts[0].part() > counts[1].part());
  CHECK(counts[1].part() > counts[2].part());
  // No level is starved.
  CHECK(counts[2].part() > 0.02);
}

TEST_CASE("a team that sends most does not take the turns of the others") {
  const uint64_t seed = GENERATE(range(1, 6));
  const std::vector<Counts> counts =
      Play({{"large", {0, 0}, 100}, {"small", {0, 0}, 5}, {"other", {0, 0}, 5}},
           seed);
  CHECK(counts[1].part() > 1.5 * counts[0].part());
  CHECK(counts[2].part() > 1.5 * counts[0].part());
}

TEST_CASE("turns are used, whoever asks for them") {
  const uint64_t seed = GENERATE(range(1, 6));
  const std::vector<Stream> streams = GENERATE(values<std::vector<Stream>>({
      {{"a", {0, 0}, 100}},
      {{"a", {2, 2}, 100}},
      {{"a", {0, 0}, 1}, {"b", {2, 2}, 100}},
      {{"a", {0, 0}, 50}, {"b", {1, 1}, 50}, {"b", {2, 2}, 50}},
  }));
  int served = 0;
  for (const Counts& count : Play(streams, seed))
    served += count.served;
  CHECK(served >= 0.8 * kTurnsPerSecond * ToSeconds(kDuration));
}

TEST_CASE("refused callers are told to come back one after the other") {
  LimitedAdmission admission;
  const TimePoint now{std::chrono::hours(5)};
  const GateLevel urgent{0, 0};
  const GateLevel other{1, 1};
  admission.RequiredTurnAge(kService, urgent, "a", 0.5, now);
  admission.RequiredTurnAge(kService, other, "a", 0.5, now);
  const auto retry_after = [&](const GateLevel& level) {
    return admission.RetryAfter(kService, level, /*own_rate=*/2,
                                milliseconds(400), now);
  };
  CHECK(retry_after(urgent) == milliseconds(400));
  CHECK(retry_after(urgent) == milliseconds(900));
  CHECK(retry_after(urgent) == milliseconds(1400));
  // Less urgent callers return at half the rate.
  CHECK(retry_after(other) == milliseconds(400));
  CHECK(retry_after(other) == milliseconds(1400));
  for (int i = 0; i < 100; ++i)
    CHECK(retry_after(urgent) <= LimitedAdmissionOptions().max_retry_after);
}

}  // namespace teaselhill::gateway
