/// \file
/// Guards against hosts that act on old configurations or lists of upstreams
/// because they learn them from other hosts, and against fleets in which each
/// host reads the store for itself.

#include "platform/shared_store.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_domain.h"
#include "teaselhill/support/rng.h"

namespace platform {

namespace gateway = teaselhill::gateway;
using simulated_domain::Domain;
using simulated_domain::kConfigTopic;
using simulated_domain::kUpstreamTopic;
using std::chrono::milliseconds;
using std::chrono::seconds;
using teaselhill::TimePoint;

TEST_CASE("the reads of a calm failure domain do not grow with its hosts") {
  struct Row {
    int hosts;
    double max_reads_per_second;
    double max_fleet_reads_per_second;
  };
  const Row row =
      GENERATE(values<Row>({{13, 5, 1.1}, {26, 5, 1.1}, {78, 14, 3.1}}));
  CAPTURE(row.hosts);
  Domain domain(row.hosts);
  const auto reads = [&domain] {
    return domain.requests(kConfigTopic) + domain.requests(kUpstreamTopic);
  };
  const int before = reads();
  const int fleet_before = domain.requests(FleetTopic::kTopic);
  domain.Run(seconds(20));
  CHECK(reads() - before <= 20 * row.max_reads_per_second);
  CHECK(domain.requests(FleetTopic::kTopic) - fleet_before <=
        20 * row.max_fleet_reads_per_second);
  CHECK(domain.behind() == 0);
}

// Each record wakes all reads that wait for it at the store.
TEST_CASE("the reads of crash records do not grow with the hosts") {
  const int hosts = GENERATE(13, 26);
  CAPTURE(hosts);
  Domain domain(hosts);
  const int before = domain.requests(FleetTopic::kTopic);
  for (int i = 0; i < 100; ++i) {
    domain.WriteCrash();
    for (Domain::Host& host : domain.hosts())
      host.fleet_topic->ExpectRecords();
    domain.Run(milliseconds(100));
  }
  CHECK(domain.requests(FleetTopic::kTopic) - before <= 10 * 2 * 2);
  domain.Run(seconds(3));
  for (const Domain::Host& host : domain.hosts())
    CHECK(host.crash == 100);
}

// A held request waits for the order of the claims.
TEST_CASE("a host with a claim reads the records of the fleet for itself") {
  Domain domain(20);
  Domain::Host& host = domain.host(15);
  host.fleet_topic->Append(std::vector<gateway::TrialClaim>{{}});
  domain.Run(milliseconds(100));
  domain.WriteCrash();
  domain.Run(milliseconds(20));
  CHECK(host.crash == 1);
  domain.Run(seconds(10));
  const int before = host.link->requests(FleetTopic::kTopic);
  domain.Run(seconds(5));
  CHECK(host.link->requests(FleetTopic::kTopic) == before);
}

// A host of an older build does not pass on the records of the fleet, which
// must not drive the others to the store for the configuration.
TEST_CASE("readers of an older build are asked for what they pass on") {
  Domain domain(20);
  for (size_t i = 0; i < 2; ++i)
    domain.network().SetLacking(domain.host(i).name, FleetTopic::kTopic);
  const auto reads = [&domain] {
    return domain.requests(kConfigTopic, /*first=*/2) +
           domain.requests(kUpstreamTopic, /*first=*/2);
  };
  const int before = reads();
  domain.WriteCrash();
  domain.Run(seconds(20));
  CHECK(reads() - before <= 2);
  CHECK(domain.behind() == 0);
}

// While the store is in doubt, a host asks again at once.
TEST_CASE("a host whose own read failed does not ask its reader on and on") {
  Domain domain(20);
  Domain::Host& host = domain.host(15);
  host.link->SetCut(true);
  host.source->ReadUpstreams(milliseconds(150), [](bool) {});
  domain.Run(seconds(2));
  const int before = domain.network().calls_by(host.name);
  domain.Run(seconds(10));
  CHECK(domain.network().calls_by(host.name) - before <= 10 * 4);
}

// The reads of all hosts are paid for also while the store is away, and those
// at its return meet all at once.
TEST_CASE("few hosts ask a store that is away, and all hear of its return") {
  const milliseconds span =
      GENERATE(milliseconds(3000), milliseconds(4510), milliseconds(9000));
  CAPTURE(span.count());
  constexpr size_t kReaders = 2;
  Domain domain(20);
  domain.SetStoreCut(true);
  domain.Run(seconds(1));
  const int before = domain.requests_of_all_topics(kReaders);
  domain.Run(span - seconds(1));
  const int followers = 18;
  const double per_second = 3.0 * followers;  // one of each topic
  CHECK(domain.requests_of_all_topics(kReaders) - before <=
        per_second * (teaselhill::ToSeconds(span) - 1) + 3.0 * followers);
  domain.SetStoreCut(false);
  domain.WriteConfig();
  domain.WriteCrash();
  const int at_return = domain.requests_of_all_topics(kReaders);
  domain.Run(milliseconds(900));
  for (const Domain::Host& host : domain.hosts())
    CHECK(host.version == 2);
  domain.Run(seconds(9));
  for (const Domain::Host& host : domain.hosts())
    CHECK(host.crash == 1);
  CHECK(domain.requests_of_all_topics(kReaders) - at_return <= 4 * followers);
}

TEST_CASE("a change reaches all hosts in time whatever becomes of readers") {
  struct Row {
    const char* name;
    int readers_cut;          ///< from the other hosts
    int readers_turned_away;  ///< by the store
    int answers_lost;         ///< of each reader, by the store
  };
  const Row row = GENERATE(values<Row>({
      {"calm", 0, 0, 0},
      {"one reader is cut off", 1, 0, 0},
      {"all readers are cut off", 2, 0, 0},
      {"the store turns one reader away", 0, 1, 0},
      {"the store turns all readers away", 0, 2, 0},
      {"answers to the readers are lost", 0, 0, 1},
      {"answers to the readers are lost again", 0, 0, 2},
  }));
  INFO(row.name);
  const milliseconds phase = GENERATE(milliseconds(0), milliseconds(370),
                                      milliseconds(740), milliseconds(1110));
  Domain domain(20);
  domain.Run(phase);
  for (int i = 0; i < 2; ++i) {
    Domain::Host& reader = domain.host(static_cast<size_t>(i));
    if (i < row.readers_cut)
      domain.network().SetCut(reader.name, true);
    reader.link->SetCut(i < row.readers_turned_away);
    reader.link->LoseNext(row.answers_lost);
    if (i < row.readers_cut || i < row.readers_turned_away ||
        row.answers_lost > 1)
      reader.calm_since = TimePoint::max();
  }
  domain.Run(milliseconds(20));
  domain.WriteConfig();
  domain.WriteCrash();
  domain.Run(seconds(10));
  CHECK(domain.behind() == 0);
}

namespace {

/// Changes, cuts and lost answers in a drawn order.
void CheckDrawnDay(uint64_t seed) {
  CAPTURE(seed);
  teaselhill::Rng rng(seed);
  Domain domain(9 + static_cast<int>(rng.Uniform() * 20));
  for (int step = 0; step < 40; ++step) {
    domain.Run(milliseconds(static_cast<int>(rng.Uniform() * 800)));
    const auto index = static_cast<size_t>(
        rng.Uniform() * static_cast<double>(domain.hosts().size()));
    Domain::Host& host = domain.host(index);
    const double choice = rng.Uniform();
    if (choice < 0.3) {
      domain.WriteConfig();
      domain.WriteCrash();
    } else if (choice < 0.5) {
      domain.network().SetCut(host.name, true);
      host.link->SetCut(rng.Uniform() < 0.5);
      host.calm_since = TimePoint::max();
    } else if (choice < 0.7) {
      host.link->LoseNext(1);
    } else {
      for (Domain::Host& other : domain.hosts()) {
        if (other.calm_since != TimePoint::max())
          continue;
        domain.network().SetCut(other.name, false);
        other.link->SetCut(false);
        other.calm_since = domain.now();
      }
    }
  }
  CHECK(domain.behind() == 0);
  CHECK(domain.went_back() == 0);
}

}  // namespace

TEST_CASE("hosts in touch are never behind their bound, whatever the seed") {
  CheckDrawnDay(GENERATE(range(uint64_t{1}, uint64_t{101})));
}

// By hand: build/platform_tests "[long]"
TEST_CASE("the same with 10,000 seeds", "[.][long]") {
  for (uint64_t seed = 101; seed <= 10100; ++seed)
    CheckDrawnDay(seed);
}

}  // namespace platform
