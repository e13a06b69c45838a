/// \file
/// Guards against calls that grow with the fleet, and against no candidates.

#include "teaselhill/duties/candidate_choice.h"

#include <catch2/catch.hpp>
#include <set>

namespace teaselhill::duties {

using std::chrono::hours;
using std::chrono::seconds;

namespace {

std::vector<KnownHost> Hosts(int count) {
  std::vector<KnownHost> hosts;
  for (int i = 0; i < count; ++i)
    hosts.push_back({"host-" + std::to_string(i), {}});
  return hosts;
}

const TimePoint kNow{seconds(100'000)};

}  // namespace

TEST_CASE("a few hosts of a large fleet follow the log") {
  std::set<size_t> ranks;
  std::set<Duration> looks;
  const auto hosts = Hosts(90);
  for (const KnownHost& host : hosts) {
    CandidateChoice choice(host.name);
    CHECK_FALSE(choice.rank());
    choice.OnHosts(hosts, kNow);
    const ReadPlan first = choice.Plan(std::nullopt, {}, kNow);
    if (first.rank) {
      ranks.insert(*first.rank);
      CHECK(first.at == kNow + seconds(2));
      CHECK(choice.Plan(kNow, {}, kNow + seconds(3)).at == kNow + seconds(3));
      CHECK(first.max_wait == seconds(20));
      continue;
    }
    CHECK(first.max_wait == Duration::zero());
    CHECK(first.at - kNow < seconds(20));
    looks.insert(first.at - kNow);
    // The last look brought a record: look again after the interval.
    const ReadPlan next = choice.Plan(kNow, -seconds(1), kNow + seconds(20));
    CHECK_FALSE(next.rank);
    CHECK(next.at == kNow + seconds(20));
    // It brought none for long: the candidates may be lost.
    const ReadPlan late = choice.Plan(kNow, seconds(13), kNow + seconds(13));
    REQUIRE(late.rank);
    CHECK(*late.rank >= 6);
    CHECK(late.at == kNow + seconds(13));
  }
  CHECK(ranks == std::set<size_t>{0, 1, 2, 3, 4, 5});
  CHECK(looks.size() == 84);
}

TEST_CASE("a host that is gone for long leaves its place") {
  const auto hosts = Hosts(2);
  CandidateChoice first("host-0");
  CandidateChoice second("host-1");
  first.OnHosts(hosts, kNow);
  second.OnHosts(hosts, kNow);
  REQUIRE(*first.rank() != *second.rank());
  CandidateChoice& later = *first.rank() == 1 ? first : second;
  const std::string name = *first.rank() == 1 ? "host-0" : "host-1";
  later.OnHosts({{name, {}}}, kNow + hours(3));
  CHECK(*later.rank() == 0);
}

}  // namespace teaselhill::duties
