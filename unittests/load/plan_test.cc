/// \file
/// Tests the validation of load plans and the arrivals generated from them.

#include "teaselhill/load/plan.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <set>

#include "teaselhill/load/arrivals.h"

namespace teaselhill::load {

using std::chrono::seconds;

static Plan PlanOf(double rate, uint32_t burst_size) {
  Plan plan;
  plan.duration = seconds(100);
  plan.routers = {"http://127.0.0.1:1"};
  StreamPlan stream;
  stream.name = "s";
  stream.model = "m";
  stream.rate = rate;
  stream.burst_size = burst_size;
  plan.streams.push_back(stream);
  return plan;
}

TEST_CASE("a URL is accepted only if its host is a numeric loopback address") {
  const auto [url, accepted] = GENERATE(table<std::string, bool>({
      {"http://127.0.0.1:80", true},
      {"https://127.0.1.7:8443/x", true},
      {"http://[::1]:80/", true},
      {"http://127.0.0.1", true},
      {"http://10.0.0.1:80", false},
      {"http://localhost:80", false},
      {"http://127.0.0.1.example.com", false},
      {"http://127.0.0.1@example.com/", false},
      {"http://127.0.0.1:80@example.com/", false},
      {"http://user@127.0.0.1/", false},
      {"http://127.0.0.256/", false},
      {"http://127.1/", false},
      {"http://[::1].example.com/", false},
      {"ftp://127.0.0.1/", false},
      {"127.0.0.1:80", false},
      {"", false},
  }));
  INFO(url);
  CHECK(IsLoopbackUrl(url) == accepted);
  Plan plan = PlanOf(1, 1);
  plan.faults.push_back({seconds(1), url, "{}"});
  CHECK(CheckPlan(plan).ok() == accepted);
}

TEST_CASE("a plan with an unknown field or an invalid value is rejected") {
  const auto [stream, accepted] = GENERATE(table<std::string, bool>({
      {R"("model":"m","rate":1)", true},
      {R"("service":"x","rate":1,"phases":[{"from_s":1,"to_s":2,"factor":0}])",
       true},
      {R"("model":"m","rate":1,"max_token":5)", false},
      {R"("model":"m","service":"x","rate":1)", false},
      {R"("model":"m")", false},
      {R"("model":"m","rate":"fast")", false},
      {R"("model":"m","rate":1,"resend_share":1.5)", false},
      {R"("model":"m","rate":1,"resend_share":0.5,"key_kind":"none")", false},
      {R"("model":"m","rate":1,"key_kind":"uuid4")", false},
  }));
  INFO(stream);
  const auto plan = ParsePlan(
      R"({"duration_s":1,"routers":["http://127.0.0.1:1"],"streams":[{)" +
      stream + "}]}");
  CHECK(plan.ok() == accepted);
}

TEST_CASE(
    "the number of arrivals matches the rate, burst size and rate phases") {
  const auto [burst_size, factor] =
      GENERATE(table<uint32_t, double>({{1, 1}, {1, 5}, {20, 1}, {1, 0}}));
  Plan plan = PlanOf(200, burst_size);
  plan.streams[0].phases = {{seconds(40), seconds(60), factor}};
  double inside = 0;
  double outside = 0;
  for (const Arrival& arrival : MakeArrivals(plan)) {
    const bool in_phase =
        arrival.arrives_at >= seconds(40) && arrival.arrives_at < seconds(60);
    (in_phase ? inside : outside) += 1;
  }
  const double tolerance = burst_size == 1 ? 0.05 : 0.25;
  CHECK(outside == Approx(200 * 80).epsilon(tolerance));
  CHECK(inside == Approx(200 * 20 * factor).epsilon(tolerance));
}

TEST_CASE("arrivals are ordered, limited and reproducible from the seed") {
  rc::check("arrivals", [] {
    Plan plan = PlanOf(*rc::gen::inRange(1, 50), *rc::gen::inRange(1, 9));
    plan.streams.push_back(plan.streams[0]);
    plan.seed = *rc::gen::arbitrary<uint64_t>();
    plan.max_requests = *rc::gen::inRange(1, 3000);
    const auto arrivals = MakeArrivals(plan);
    const auto again = MakeArrivals(plan);
    RC_ASSERT(arrivals.size() <= plan.max_requests);
    RC_ASSERT(arrivals.size() == again.size());
    for (size_t i = 0; i < arrivals.size(); ++i) {
      RC_ASSERT(arrivals[i].arrives_at == again[i].arrives_at);
      RC_ASSERT(arrivals[i].arrives_at < plan.duration);
      // RC_ASSERT evaluates both sides of `||`.
      if (i > 0)
        RC_ASSERT(arrivals[i - 1].arrives_at <= arrivals[i].arrives_at);
    }
  });
}

TEST_CASE("a UUIDv7 contains its time, version and variant") {
  Rng rng(1);
  const WallTime now{std::chrono::milliseconds(0x0123456789ab)};
  std::set<std::string> seen;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = MakeUuid7(now, rng);
    REQUIRE(key.size() == 36);
    CHECK(key.substr(0, 15) == "01234567-89ab-7");
    CHECK(std::string("89ab").find(key[19]) != std::string::npos);
    CHECK(seen.insert(key).second);
  }
}

TEST_CASE("a router phase restricts the routers only during its time range") {
  Plan plan = PlanOf(1, 1);
  plan.routers = {"a", "b", "c"};
  plan.router_phases = {{seconds(10), seconds(20), {2}}};
  CHECK(RoutersAt(plan, seconds(9)).size() == 3);
  CHECK(RoutersAt(plan, seconds(10)) == std::vector<size_t>{2});
  CHECK(RoutersAt(plan, seconds(20)).size() == 3);
}

}  // namespace teaselhill::load
