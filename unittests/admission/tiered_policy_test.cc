/// \file
/// Tests of the order, bounds and guarantees of the policy `tiered`.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <set>

#include "simulation.h"

namespace teaselhill::admission {
namespace {

template <typename T>
const T& RequireResult(const OfferResult& result) {
  REQUIRE(std::holds_alternative<T>(result));
  return std::get<T>(result);
}

TEST_CASE("both policies are registered") {
  CHECK(AdmissionRegistry::Instance().Names() ==
        std::vector<std::string>{"fifo", "tiered"});
}

// Guards against a less urgent class whose requests never start, and against
// guaranteed starts that use more of the urgent requests' slots than the
// options allow.
TEST_CASE(
    "every class starts within 10 s under an overload of urgent requests") {
  const double urgent_load = GENERATE(0.5, 0.95, 1.5, 3.0);
  const int slots = GENERATE(4, 20);
  const double capacity = slots / (0.029 * 60);  // 60-token requests/s
  const std::vector<RequestSource> sources = {
      {"a", 0, urgent_load * capacity, 60, seconds(8)},
      {"a", 2, 0.5 * capacity, 60, seconds(60)},
      {"b", 4, 0.5 * capacity, 60, seconds(0)},
      {"b", 9, 0.5 * capacity, 60, seconds(0)}};
  AdmissionOptions options;
  const double guaranteed_fraction =
      3 / ToSeconds(options.forced_start_after) / (urgent_load * capacity);
  const auto policy = CreatePolicy("tiered", options);
  const auto results =
      Simulate(policy.get(), sources, slots, seconds(120), 20261203);
  options.guaranteed_start_after = options.forced_start_after =
      std::chrono::hours(1);
  const auto no_guarantee_policy = CreatePolicy("tiered", options);
  const auto no_guarantee_results = Simulate(no_guarantee_policy.get(), sources,
                                             slots, seconds(120), 20261203);
  for (const RequestSourceResult& result : results) {
    CHECK(ToSeconds(result.longest_gap) <= 10);
    CHECK(result.answered + result.late > 0);
  }
  // The random difference between two runs of some 500 requests is about 3%.
  const double offered = results[0].offered;
  CHECK(results[0].answered / offered >=
        no_guarantee_results[0].answered / offered - guaranteed_fraction -
            0.03);
}

// Guards against a burst of one customer that uses another customer's share.
TEST_CASE("customers of a class share by weight under a burst") {
  const double weight = GENERATE(1.0, 2.0, 4.0);
  const auto policy = CreatePolicy("tiered");
  const std::vector<RequestSource> sources = {
      {"burst", 1, 90, 60, seconds(0), 1},
      {"steady", 1, 50, 60, seconds(0), weight}};
  const auto results = Simulate(policy.get(), sources, 20, seconds(1000), 7);
  const double ratio = results[1].answered_tokens / results[0].answered_tokens;
  CHECK(ratio == Approx(weight).epsilon(0.15));
}

// Guards against charging only the predicted tokens: a customer whose answers
// are longer than predicted would get more than its share.
TEST_CASE("shares follow the produced tokens and not the predicted ones") {
  const auto policy = CreatePolicy("tiered");
  ModelProbe probe;
  TimePoint now{};
  std::map<std::string, uint64_t> produced;
  for (RequestId id = 1; id <= 400; ++id)
    policy->Offer(MakeRequest(id, id % 2 ? "long" : "short", 1, now), now);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    const PickedRequest picked = *policy->PickNext(probe, now);
    const std::string& customer = picked.request.customer;
    const uint64_t tokens = customer == "long" ? 400 : 100;
    policy->OnProgress(picked.request.id, tokens / 2, now);
    policy->OnFinished(picked.request.id, tokens, true, now);
    produced[customer] += tokens;
  }
  CHECK(produced["long"] == Approx(produced["short"]).epsilon(0.1));
}

// Guards against a model without free capacity that blocks the requests of
// other models, or that is probed once for each of its queued requests.
TEST_CASE("a model without capacity is skipped after one probe") {
  const auto policy = CreatePolicy(GENERATE("tiered", "fifo"));
  ModelProbe probe;
  for (RequestId id = 1; id <= 100; ++id) {
    QueuedRequest request = MakeRequest(id, "a", id < 100 ? 0 : 5, {});
    request.model = id < 100 ? "busy" : "free";
    policy->Offer(request, {});
  }
  probe.blocked_models["busy"] = true;
  const auto picked = policy->PickNext(probe, {});
  REQUIRE(picked);
  CHECK(picked->request.id == 100);
  CHECK_FALSE(policy->PickNext(probe, {}));
  CHECK(probe.probe_count <= 4);
}

// Guards against starting requests whose answers would come too late, and
// against a Retry-After delay that ignores the backlog.
TEST_CASE(
    "a request that would miss its deadline is rejected with a Retry-After "
    "delay that follows the backlog") {
  const auto policy = CreatePolicy("tiered");
  const ModelProbe probe;
  TimePoint now{};
  RequestId id = 1;
  while (id <= 400)
    policy->Offer(MakeRequest(id++, "a", 0, now), now);
  for (int i = 0; i < 200; ++i) {  // 10 requests/s of 100 tokens
    now += milliseconds(100);
    const auto picked = policy->PickNext(probe, now);
    policy->OnFinished(picked->request.id, 100, true, now);
  }
  const auto row = GENERATE(
      table<int, bool, int>({{30, true, 0}, {15, false, 5}, {5, false, 15}}));
  const auto offered = policy->Offer(
      MakeRequest(id, "a", 0, now, seconds(std::get<0>(row))), now);
  if (std::get<1>(row)) {
    RequireResult<AdmittedOffer>(offered);
    CHECK(policy->RemoveExpired(now + seconds(31)).size() == 1);
    return;
  }
  const RejectedOffer& refused = RequireResult<RejectedOffer>(offered);
  CHECK(refused.error.code == ResultCode::kDeadlineUnreachable);
  CHECK(refused.decision.reason == DecisionReason::kDeadlineUnreachable);
  CHECK(ToSeconds(refused.retry_after) == Approx(std::get<2>(row)).margin(1.5));
  // The backlog belongs to one customer and does not delay another customer.
  RequireResult<AdmittedOffer>(
      policy->Offer(MakeRequest(++id, "b", 0, now, seconds(5)), now));
}

// Guards against a customer or team that gets a larger share by using more
// classes or sending more requests.
TEST_CASE("teams split their customer's share by weight") {
  const auto policy = CreatePolicy("tiered");
  const ModelProbe probe;
  std::map<std::string, int> starts;
  for (RequestId id = 1; id <= 900; ++id) {
    QueuedRequest request = MakeRequest(id, id % 3 ? "a" : "b", 1, {});
    request.team = id % 3 == 1 ? "small" : "large";
    request.team_weight = id % 3 == 1 ? 1 : 3;
    if (id % 3 == 0)
      request.class_name = "other class of the tier";
    policy->Offer(request, {});
  }
  for (int i = 0; i < 320; ++i) {
    const PickedRequest picked = *policy->PickNext(probe, {});
    ++starts[picked.request.customer + " " + picked.request.team];
  }
  CHECK(starts["a small"] == Approx(40).margin(2));
  CHECK(starts["a large"] == Approx(120).margin(2));
  CHECK(starts["b large"] == Approx(160).margin(2));
}

// Guards against rejecting an urgent request because of the backlog of less
// urgent tiers, and against shedding a request of the customer with less queued
// work.
TEST_CASE("less urgent requests are shed to admit an urgent request") {
  AdmissionOptions options;
  options.max_queued_requests = 300;
  const auto policy = CreatePolicy("tiered", options);
  const ModelProbe probe;
  TimePoint now{};
  RequestId id = 1;
  for (; id <= 300; ++id)
    policy->Offer(MakeRequest(id, id % 3 ? "over" : "under", 5, now), now);
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(100);
    policy->OnFinished(policy->PickNext(probe, now)->request.id, 100, true,
                       now);
  }
  for (int i = 0; i < 50; ++i)
    policy->Offer(MakeRequest(id++, "over", 5, now), now);
  const auto offered =
      policy->Offer(MakeRequest(id, "a", 0, now, seconds(1)), now);
  const AdmittedOffer& admitted = RequireResult<AdmittedOffer>(offered);
  REQUIRE(admitted.shed_requests.size() == 1);
  CHECK(admitted.shed_requests[0].request.id == id - 1);
  CHECK(admitted.shed_requests[0].error.code == ResultCode::kQueueFull);
  CHECK(policy->PickNext(probe, now)->request.id == id);
}

// Guards against requests that are lost or returned twice, against queues that
// exceed their bounds, and against urgent requests that are shed for less
// urgent requests.
TEST_CASE("any order of calls keeps the bounds and loses no request") {
  rc::prop("each request leaves once", [](const std::vector<uint8_t>& calls) {
    AdmissionOptions options;
    options.max_queued_requests = 6;
    options.max_unmeasured_work_tokens = 5000;
    const auto policy = CreatePolicy("tiered", options);
    ModelProbe probe;
    TimePoint now{};
    std::set<RequestId> waiting;
    std::set<RequestId> running;
    RequestId id = 0;
    size_t requeued = 0;  // requeued requests may exceed the bound
    for (uint8_t call : calls) {
      now += milliseconds(call * 3);
      const int argument = call / 8;
      switch (call % 8) {
        case 0:
        case 1:
        case 2: {
          QueuedRequest request =
              MakeRequest(++id, argument % 2 ? "a" : "b", argument % 3, now,
                          argument % 5 ? seconds(argument % 5) : seconds(0));
          request.model = argument % 7 ? "model" : "other";
          request.prompt_tokens = argument * 100;
          const OfferResult result = policy->Offer(request, now);
          if (const auto* admitted = std::get_if<AdmittedOffer>(&result)) {
            waiting.insert(id);
            for (const RemovedRequest& shed : admitted->shed_requests) {
              RC_ASSERT(shed.request.tier >= request.tier);
              RC_ASSERT(waiting.erase(shed.request.id) == 1u);
            }
          }
          break;
        }
        case 3:
        case 4:
          probe.blocked_models.clear();
          if (argument % 2)
            probe.blocked_models["other"] = true;
          if (const auto picked = policy->PickNext(probe, now)) {
            RC_ASSERT(picked->request.deadline >= now);
            RC_ASSERT(waiting.erase(picked->request.id) == 1u);
            running.insert(picked->request.id);
          }
          break;
        case 5:
          if (!running.empty()) {
            const RequestId running_id = *running.begin();
            policy->OnProgress(running_id, argument * 10, now);
            if (argument % 4 == 0) {
              policy->Requeue(running_id, now);
              waiting.insert(running_id);
              ++requeued;
            } else {
              policy->OnFinished(running_id, argument * 10, argument % 2, now);
            }
            running.erase(running_id);
          }
          break;
        case 6:
          if (!waiting.empty()) {
            policy->RemoveQueued(*waiting.rbegin());
            waiting.erase(*waiting.rbegin());
          }
          break;
        default:
          for (const RemovedRequest& removed : policy->RemoveExpired(now))
            RC_ASSERT(waiting.erase(removed.request.id) == 1u);
      }
      const QueueStats stats = policy->Stats(now);
      RC_ASSERT(stats.queued_count <= 6u + requeued);
      RC_ASSERT(stats.queued_count <= waiting.size());
      RC_ASSERT(stats.running_count == running.size());
    }
    // Requests that other calls removed as expired or shed are still
    // returned.
    for (const RemovedRequest& removed : policy->RemoveExpired(now))
      RC_ASSERT(waiting.erase(removed.request.id) == 1u);
    RC_ASSERT(policy->Stats(now).queued_count == waiting.size());
  });
}

// Guards against a pick whose cost grows with the length of the queue. Run with
// "[bench]".
TEST_CASE("a pick takes under 20 us with 20,000 queued requests",
          "[.][bench]") {
  const auto policy = CreatePolicy("tiered");
  const ModelProbe probe;
  for (RequestId id = 1; id <= 20000; ++id) {
    QueuedRequest request =
        MakeRequest(id, "customer" + std::to_string(id % 60), id % 5, {},
                    seconds(60 + id % 600));
    request.team = "team" + std::to_string(id % 770);
    request.model = "model" + std::to_string(id % 4);
    RequireResult<AdmittedOffer>(policy->Offer(request, {}));
  }
  const auto started_at = std::chrono::steady_clock::now();
  constexpr int kPicks = 10000;
  for (int i = 0; i < kPicks; ++i)
    policy->PickNext(probe, {});
  const Duration elapsed = std::chrono::steady_clock::now() - started_at;
  WARN("microseconds per pick: " << ToSeconds(elapsed) * 1e6 / kPicks);
  CHECK(ToSeconds(elapsed) / kPicks < 20e-6);
}

// Prints the measurements in docs/decisions/admission.md. Run with "[measure]".
TEST_CASE("answers and start gaps of the policies under overload",
          "[.][measure]") {
  struct PolicyVariant {
    const char* policy;
    Duration guaranteed_start_after;
    Duration forced_start_after;
    double reserved_time_quantile;
  };
  constexpr Duration kNever = std::chrono::hours(9);
  const int slots = GENERATE(4, 20);
  const double load = GENERATE(0.8, 2.0);
  for (const PolicyVariant& variant :
       {PolicyVariant{"fifo", kNever, kNever, 0.5},
        PolicyVariant{"tiered", kNever, kNever, 0.75},
        PolicyVariant{"tiered", seconds(1), seconds(1), 0.75},
        PolicyVariant{"tiered", seconds(4), seconds(8), 0.75},
        PolicyVariant{"tiered", seconds(6), seconds(6), 0.75},
        PolicyVariant{"tiered", seconds(4), seconds(6), 0.1},
        PolicyVariant{"tiered", seconds(4), seconds(6), 0.5},
        PolicyVariant{"tiered", seconds(4), seconds(6), 0.75},
        PolicyVariant{"tiered", seconds(4), seconds(6), 0.9}}) {
    AdmissionOptions options;
    options.guaranteed_start_after = variant.guaranteed_start_after;
    options.forced_start_after = variant.forced_start_after;
    options.reserved_time_quantile = variant.reserved_time_quantile;
    const auto policy = CreatePolicy(variant.policy, options);
    const double capacity = slots / (0.029 * 60);
    const auto results = Simulate(policy.get(),
                                  {{"a", 0, load * capacity, 60, seconds(6)},
                                   {"a", 2, capacity, 60, seconds(60)},
                                   {"b", 4, capacity, 60, seconds(0)}},
                                  slots, seconds(600), 20261203);
    std::printf(
        "%2d slots load %.1f %s guarantee %5.0f/%5.0f s quantile %.2f:", slots,
        load, variant.policy, ToSeconds(variant.guaranteed_start_after),
        ToSeconds(variant.forced_start_after), variant.reserved_time_quantile);
    for (const RequestSourceResult& result : results) {
      std::printf(" [%d of %d, %d late, gap %.1f s]", result.answered,
                  result.offered, result.late, ToSeconds(result.longest_gap));
    }
    std::printf("\n");
  }
}

}  // namespace
}  // namespace teaselhill::admission
