/// \file
/// Guards against hosts that reserve different engines, and against a size that
/// one host, or one that is gone, decides for the others.

#include "teaselhill/engines/reserve_agreement.h"

#include <catch2/catch.hpp>
#include <limits>

namespace teaselhill::engines {

using std::chrono::seconds;

namespace {

constexpr const char* kService = "llm";
constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("hosts use the median of their needs") {
  struct Row {
    const char* name;
    double own;
    std::vector<ReserveNeed> told;
    double agreed;
    size_t hosts;
  };
  const Row row = GENERATE(values<Row>({
      {"alone", 0.2, {}, 0.2, 1},
      {"own is the largest",
       0.45,
       {{"a", kService, 0.2}, {"b", kService, 0.27}},
       0.27,
       3},
      {"the lower one of two", 0.45, {{"a", kService, 0.2}}, 0.2, 2},
      {"a host tells again",
       0.2,
       {{"a", kService, 0.45}, {"b", kService, 0.2}, {"a", kService, 0.08}},
       0.2,
       3},
      {"of another service", 0.2, {{"a", "other", 0.45}}, 0.2, 1},
      {"its own name", 0.2, {{"own", kService, 0.45}}, 0.2, 1},
      {"no part of the engines",
       0.2,
       {{"a", kService, 0},
        {"b", kService, -1},
        {"c", kService, 1.1},
        {"d", kService, std::numeric_limits<double>::quiet_NaN()}},
       0.2,
       1},
  }));
  INFO(row.name);
  ReserveAgreement agreement("own");
  CHECK_FALSE(agreement.Agreed(kService));
  agreement.SetOwnNeed(kService, row.own, kStart);
  agreement.OnTold(row.told, kStart);
  CHECK(agreement.Agreed(kService) == row.agreed);
  CHECK(agreement.HostCount(kService) == row.hosts);
}

// Guards the messages of hosts whose need does not change.
TEST_CASE("a need is told when it changes, and at times again") {
  ReserveAgreement agreement("own");
  CHECK(agreement.TakeNews(kStart).empty());
  agreement.SetOwnNeed(kService, 0.2, kStart);
  const std::vector<ReserveNeed> first = agreement.TakeNews(kStart);
  REQUIRE(first.size() == 1);
  CHECK(first[0].host == "own");
  CHECK(first[0].service == kService);
  CHECK(first[0].fraction == 0.2);
  agreement.OnTold({{"a", kService, 0.45}}, kStart + seconds(1));
  CHECK(agreement.TakeNews(kStart + seconds(14)).empty());
  agreement.SetOwnNeed(kService, 0.27, kStart + seconds(14));
  CHECK(agreement.TakeNews(kStart + seconds(14)).size() == 1);
  CHECK(agreement.TakeNews(kStart + seconds(28)).empty());
  CHECK(agreement.TakeNews(kStart + seconds(29)).size() == 1);
}

// Guards streams whose reserve is voted away by hosts that have none of them.
TEST_CASE("a host that cannot tell leaves the size to the others") {
  ReserveAgreement agreement("own");
  agreement.SetOwnNeed(kService, 0.08, kStart);
  agreement.OnTold({{"a", kService, 0.27}}, kStart);
  REQUIRE(agreement.Agreed(kService) == 0.08);
  REQUIRE(agreement.TakeNews(kStart).size() == 1);
  agreement.DropOwnNeed(kService);
  CHECK(agreement.Agreed(kService) == 0.27);
  CHECK(agreement.TakeNews(kStart + seconds(20)).empty());
  agreement.Expire(kStart + seconds(45));
  CHECK_FALSE(agreement.Agreed(kService));
  agreement.SetOwnNeed(kService, 0.08, kStart + seconds(46));
  CHECK(agreement.TakeNews(kStart + seconds(46)).size() == 1);
}

// Guards hosts that keep a size for others that are dead or cut off.
TEST_CASE("hosts that tell nothing any more do not count") {
  ReserveAgreement agreement("own");
  agreement.SetOwnNeed(kService, 0.2, kStart);
  agreement.OnTold({{"a", kService, 0.45}, {"b", kService, 0.45}}, kStart);
  agreement.SetOwnNeed(kService, 0.2, kStart + seconds(44));
  agreement.Expire(kStart + seconds(44));
  CHECK(agreement.Agreed(kService) == 0.45);
  agreement.Expire(kStart + seconds(45));
  CHECK(agreement.Agreed(kService) == 0.2);
}

}  // namespace teaselhill::engines
