/// \file
/// Guards against work that is counted twice or never, and against open
/// requests that stay counted after their end.

#include "teaselhill/duties/work_counter.h"

#include <catch2/catch.hpp>
#include <utility>

namespace teaselhill::duties {

// Reports that hold the work of an earlier report, or lose open requests.
TEST_CASE("Work is reported once and open requests always", "[pool]") {
  WorkCounter counter;
  WorkCounter::Request answered = counter.OnSent("s", "a", 1, 2900);
  WorkCounter::Request waiting = counter.OnSent("s", "a", 1, 900);
  answered.OnEvents(2, /*late=*/true);
  answered.OnEvents(3, /*late=*/false);
  std::vector<EngineWork> work = counter.TakeWork(TimePoint());
  REQUIRE(work.size() == 1);
  CHECK(work[0].service == "s");
  CHECK(work[0].domain == "a");
  CHECK(work[0].tier == 1);
  CHECK(work[0].requests == 2);
  CHECK(work[0].prompt_tokens == 3800);
  CHECK(work[0].generated_tokens == 5);
  CHECK(work[0].running == 1);
  CHECK(work[0].waiting == 1);
  CHECK(work[0].started == 1);
  CHECK(work[0].started_late == 1);
  work = counter.TakeWork(TimePoint());
  REQUIRE(work.size() == 1);
  CHECK(work[0].requests == 0);
  CHECK(work[0].prompt_tokens == 0);
  CHECK(work[0].running == 1);
  CHECK(work[0].waiting == 1);
  answered.Reset();
  waiting.Reset();
  CHECK(counter.TakeWork(TimePoint()).empty());
}

// Rows of several engines that are mixed up.
TEST_CASE("Work is counted by service, domain and tier", "[pool]") {
  WorkCounter counter;
  const WorkCounter::Request a = counter.OnSent("s", "a", 0, 1);
  const WorkCounter::Request b = counter.OnSent("s", "b", 0, 2);
  const WorkCounter::Request c = counter.OnSent("s", "a", 1, 4);
  counter.OnRefused("t", 2);
  const std::vector<EngineWork> work = counter.TakeWork(TimePoint());
  REQUIRE(work.size() == 4);
  uint64_t tokens = 0;
  uint32_t refused = 0;
  for (const EngineWork& row : work) {
    tokens += row.prompt_tokens;
    refused += row.refused;
  }
  CHECK(tokens == 7);
  CHECK(refused == 1);
}

// An attempt that is put aside, or ends with the exchange, ends twice or never.
TEST_CASE("A request that moves ends once", "[pool]") {
  WorkCounter counter;
  {
    WorkCounter::Request first = counter.OnSent("s", "a", 0, 1);
    WorkCounter::Request second = std::move(first);
    first = counter.OnSent("s", "a", 0, 1);
    first = std::move(second);
    CHECK(counter.TakeWork(TimePoint())[0].waiting == 1);
    first.OnRefused();
    first.Reset();
    first.Reset();
    first.OnEvents(1, false);
  }
  const std::vector<EngineWork> work = counter.TakeWork(TimePoint());
  REQUIRE(work.size() == 1);
  CHECK(work[0].waiting == 0);
  CHECK(work[0].running == 0);
  CHECK(work[0].refused == 1);
}

}  // namespace teaselhill::duties
