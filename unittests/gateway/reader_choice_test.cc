/// \file
/// Guards against fleets in which each host reads the store for itself, and
/// against hosts that wait for readers that are lost.

#include "teaselhill/gateway/reader_choice.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhill::gateway {

namespace {

using std::chrono::seconds;

const TimePoint kNow(seconds(100));

std::string Name(int number) {
  return "host-" + std::to_string(1000 + number);
}

std::vector<HostRecord> Hosts(int count, const std::string& domain = "d") {
  std::vector<HostRecord> records;
  for (int i = 0; i < count; ++i)
    records.push_back({Name(i), {}, "address-" + Name(i), "", domain});
  return records;
}

ReaderChoice ChoiceOf(int number, const std::vector<HostRecord>& records) {
  ReaderChoice choice(Name(number), "d");
  choice.OnHosts(records);
  return choice;
}

}  // namespace

TEST_CASE("the hosts of a large failure domain read through a few") {
  struct Row {
    const char* name;
    int hosts;
    int readers;
  };
  const Row row = GENERATE(values<Row>({
      {"too few", 7, 7},
      {"a domain of the grown site", 20, 2},
      {"one and a half shares", 32, 2},
      {"a domain of the large site", 42, 3},
      {"80 hosts", 80, 6},
  }));
  INFO(row.name);
  const std::vector<HostRecord> records = Hosts(row.hosts);
  std::map<std::string, int> askers;
  int readers = 0;
  for (int i = 0; i < row.hosts; ++i) {
    const ReaderChoice choice = ChoiceOf(i, records);
    const auto address = choice.Choose(kNow);
    readers += address ? 0 : 1;
    if (address)
      ++askers[*address];
  }
  CHECK(readers == row.readers);
  for (const auto& [address, count] : askers)
    CHECK(count <= 25);
}

TEST_CASE("hosts of other failure domains are not asked") {
  std::vector<HostRecord> records = Hosts(30, "other");
  records.push_back({Name(40), {}, "own", "", "d"});
  const ReaderChoice choice = ChoiceOf(40, records);
  CHECK(choice.role() == ReadRole::kAlone);
  CHECK_FALSE(choice.Choose(kNow));
}

TEST_CASE("a host that does not answer is passed over, and asked again later") {
  ReaderChoice choice = ChoiceOf(19, Hosts(20));
  std::set<std::string> asked;
  // All hosts below are lost: in the end the host reads for itself.
  while (const auto address = choice.Choose(kNow)) {
    CHECK(asked.insert(*address).second);
    choice.OnFailed(*address, kNow);
  }
  CHECK(asked.size() == 19);
  const auto again = choice.Choose(kNow + seconds(3));
  REQUIRE(again);
  choice.OnFailed(*again, kNow + seconds(3));
  choice.OnAnswered("address-" + Name(0));
  CHECK(choice.Choose(kNow + seconds(3)).has_value());
}

TEST_CASE("a reader that starts again is asked at once") {
  const std::vector<HostRecord> records = Hosts(20);
  ReaderChoice choice = ChoiceOf(19, records);
  const auto address = choice.Choose(kNow);
  REQUIRE(address);
  choice.OnFailed(*address, kNow);
  CHECK(choice.Choose(kNow) != address);
  choice.OnHosts(records);
  CHECK(choice.Choose(kNow) == address);
}

}  // namespace teaselhill::gateway
