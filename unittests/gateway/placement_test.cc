/// \file
/// Guards against engines that lose cached prompts because hosts place them
/// differently, a hot prompt that queues at one engine, and failing upstreams
/// that keep receiving requests.

#include "teaselhill/gateway/affinity_placement.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace teaselhill::gateway {

using std::chrono::milliseconds;

namespace {

UpstreamList MakeList(int engines) {
  UpstreamList list;
  for (int i = 0; i < engines; ++i) {
    UpstreamEntry entry;
    entry.id = "e" + std::to_string(i);
    entry.service = "llm";
    entry.domain = "d" + std::to_string(i % 3);
    list.by_service["llm"].push_back(entry);
  }
  return list;
}

PlacementRequest EngineRequest(uint64_t prefix_hash) {
  PlacementRequest request;
  request.service = "llm";
  request.is_engine = true;
  request.prefix_hash = prefix_hash;
  request.shared_prefix_tokens = 6300;
  request.unique_tokens = 2890;
  return request;
}

PlacementRequest ServiceRequest() {
  PlacementRequest request;
  request.service = "llm";
  return request;
}

}  // namespace

TEST_CASE("hosts choose the same engine for a prompt without communication") {
  const UpstreamList list = MakeList(18);
  const UpstreamHealth health;
  std::set<std::string> used;
  for (uint64_t prefix_hash = 1; prefix_hash <= 200; ++prefix_hash) {
    AffinityPlacement first({"d0"});
    AffinityPlacement second({"d1"});
    const auto first_choice = first.ChooseUpstream(EngineRequest(prefix_hash),
                                                   list, health, TimePoint{});
    const auto second_choice = second.ChooseUpstream(EngineRequest(prefix_hash),
                                                     list, health, TimePoint{});
    REQUIRE(first_choice->upstream.id == second_choice->upstream.id);
    used.insert(first_choice->upstream.id);
  }
  CHECK(used.size() == 18);
}

TEST_CASE("removing an engine moves only the prompts that it served") {
  const UpstreamList before = MakeList(18);
  UpstreamList after = before;
  after.by_service["llm"].erase(after.by_service["llm"].begin() + 5);
  const UpstreamHealth health;
  AffinityPlacement placement({});
  for (uint64_t prefix_hash = 1; prefix_hash <= 200; ++prefix_hash) {
    const auto choice_before = placement.ChooseUpstream(
        EngineRequest(prefix_hash), before, health, TimePoint{});
    const auto choice_after = placement.ChooseUpstream(
        EngineRequest(prefix_hash), after, health, TimePoint{});
    if (choice_before->upstream.id != "e5")
      CHECK(choice_after->upstream.id == choice_before->upstream.id);
  }
}

TEST_CASE(
    "a burst on one prompt spreads once queueing costs more than a new "
    "prefill") {
  const UpstreamList list = MakeList(18);
  const UpstreamHealth health;
  AffinityPlacement placement({});
  std::map<std::string, int> sent;
  for (int i = 0; i < 24; ++i) {
    const auto choice =
        placement.ChooseUpstream(EngineRequest(7), list, health, TimePoint{});
    placement.OnRequestSent(EngineRequest(7), choice->upstream, TimePoint{});
    ++sent[choice->upstream.id];
  }
  // Each request has 2,890 tokens of its own and 6,300 shared ones: the second
  // engine is cheaper from the third waiting request on.
  CHECK(sent.size() > 2);
  CHECK(sent.size() < 12);
  for (const auto& [engine, count] : sent)
    CHECK(count <= 6);
}

TEST_CASE(
    "an observed delay moves prompts to other engines until the delay "
    "estimate has decayed") {
  const UpstreamList list = MakeList(18);
  UpstreamHealth health;
  AffinityPlacement placement({});
  TimePoint now{};
  const std::string owner =
      placement.ChooseUpstream(EngineRequest(3), list, health, now)
          ->upstream.id;
  for (int i = 0; i < 4; ++i)
    health.OnStartDelay(owner, milliseconds(900), now);
  CHECK(placement.ChooseUpstream(EngineRequest(3), list, health, now)
            ->upstream.id != owner);
  now += std::chrono::seconds(5);
  CHECK(placement.ChooseUpstream(EngineRequest(3), list, health, now)
            ->upstream.id == owner);
}

// Guards drafts in a burst: many hosts with little traffic each have no queued
// request of their own, so all hosts choose an engine that is busy with a long
// prompt.
TEST_CASE("reported queues decide between the engines of a prompt prefix") {
  const UpstreamList list = MakeList(18);
  UpstreamHealth health;
  AffinityPlacement placement({});
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  const auto report_candidates =
      placement.ReportCandidates(EngineRequest(3), list, health, now);
  REQUIRE(report_candidates.size() == 2);
  const std::string owner = report_candidates[0].id;
  CHECK(placement.ChooseUpstream(EngineRequest(3), list, health, now)
            ->upstream.id == owner);
  const int queued = GENERATE(0, 2, 8);
  health.OnLoadReport(owner, queued * milliseconds(60), 0, now);
  health.OnLoadReport(report_candidates[1].id, milliseconds(0), 0, now);
  // A new prefill of the shared prefix would take 175 ms at the second engine.
  const bool moves = queued == 8;
  CHECK((placement.ChooseUpstream(EngineRequest(3), list, health, now)
             ->upstream.id == report_candidates[1].id) == moves);
  now += milliseconds(300);
  CHECK_FALSE(health.HasRecentReport(owner, now));
  CHECK(placement.ChooseUpstream(EngineRequest(3), list, health, now)
            ->upstream.id == owner);
}

TEST_CASE("no load reports are fetched for a plain service") {
  AffinityPlacement placement({});
  CHECK(
      placement.ReportCandidates(ServiceRequest(), MakeList(3), {}, TimePoint{})
          .empty());
}

TEST_CASE("a failing upstream is avoided and used again later") {
  const UpstreamList list = MakeList(3);
  UpstreamHealth health;
  AffinityPlacement placement({"d1"});
  TimePoint now{};
  const int failures = GENERATE(1, 2, 5);
  CHECK(placement.ChooseUpstream(ServiceRequest(), list, health, now)
            ->upstream.id == "e1");
  for (int i = 0; i < failures; ++i)
    health.OnAnswerFailed("e1", now);
  CHECK(placement.ChooseUpstream(ServiceRequest(), list, health, now)
            ->upstream.id != "e1");
  now += std::chrono::seconds(60);
  CHECK(placement.ChooseUpstream(ServiceRequest(), list, health, now)
            ->upstream.id == "e1");
}

TEST_CASE("an avoided upstream is used only if no other one is left") {
  const std::string policy = GENERATE("affinity", "round-robin", "least-load");
  const std::unique_ptr<PlacementPolicy> placement = std::move(
      *PlacementRegistry::Instance().Create(policy, PlacementOptions{}));
  PlacementRequest request = ServiceRequest();
  request.avoided_upstreams = {"e0", "e2"};
  const UpstreamHealth health;
  const UpstreamList list = MakeList(3);
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto chosen =
        placement->ChooseUpstream(request, list, health, TimePoint{});
    REQUIRE(chosen);
    CHECK((chosen->upstream.id == "e1") == (attempt == 0));
    request.excluded_upstreams.push_back(chosen->upstream.id);
  }
  CHECK_FALSE(placement->ChooseUpstream(request, list, health, TimePoint{}));
}

TEST_CASE("a request is still placed if every upstream is ejected") {
  const UpstreamList list = MakeList(3);
  UpstreamHealth health;
  for (const char* id : {"e0", "e1", "e2"})
    health.OnConnectFailed(id, "d", TimePoint{});
  AffinityPlacement placement({});
  const auto choice =
      placement.ChooseUpstream(ServiceRequest(), list, health, TimePoint{});
  REQUIRE(choice);
  CHECK(choice->reason == PlacementReason::kAllEjected);
}

// Guards callers during a network partition: detecting each unreachable engine
// of a domain by a connection timeout of its own would fail one request per
// engine.
TEST_CASE(
    "no request is placed in a domain after failed connections to two of its "
    "upstreams") {
  const UpstreamList list = MakeList(18);
  UpstreamHealth health;
  AffinityPlacement placement({});
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  health.OnConnectFailed("e0", "d0", now);
  CHECK_FALSE(health.IsEjected("e3", "d0", now));
  health.OnConnectFailed("e6", "d0", now);
  for (uint64_t prefix_hash = 1; prefix_hash <= 100; ++prefix_hash)
    CHECK(
        placement.ChooseUpstream(EngineRequest(prefix_hash), list, health, now)
            ->upstream.domain != "d0");
  CHECK_FALSE(health.IsEjected("e1", "d1", now));
  now += std::chrono::seconds(1);
  CHECK_FALSE(health.IsEjected("e3", "d0", now));
  const bool domain_reached = GENERATE(false, true);
  if (domain_reached)
    health.OnDomainReached("d0");
  health.OnConnectFailed("e9", "d0", now);
  CHECK(health.IsEjected("e3", "d0", now) == !domain_reached);
}

TEST_CASE(
    "failed connections that are far apart in time do not eject the domain") {
  UpstreamHealth health;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  for (const char* id : {"e0", "e3", "e6"}) {
    health.OnConnectFailed(id, "d0", now);
    now += std::chrono::seconds(2);
  }
  CHECK_FALSE(health.IsEjected("e9", "d0", now));
}

// Guards against a baseline policy that is not registered, skips an upstream or
// prefers one upstream.
TEST_CASE("baseline policies spread requests evenly") {
  const std::string name =
      GENERATE(as<std::string>(), "round-robin", "least-load");
  auto placement = PlacementRegistry::Instance().Create(name, {});
  REQUIRE(placement.ok());
  const UpstreamList list = MakeList(6);
  const UpstreamHealth health;
  std::map<std::string, int> sent;
  for (int i = 0; i < 60; ++i) {
    const auto choice =
        (*placement)
            ->ChooseUpstream(EngineRequest(7), list, health, TimePoint{});
    (*placement)
        ->OnRequestSent(EngineRequest(7), choice->upstream, TimePoint{});
    ++sent[choice->upstream.id];
  }
  REQUIRE(sent.size() == 6);
  for (const auto& [upstream, count] : sent)
    CHECK(count == 10);
}

TEST_CASE("an upstream that was tried already is not chosen again") {
  const UpstreamList list = MakeList(2);
  const UpstreamHealth health;
  AffinityPlacement placement({});
  PlacementRequest request = ServiceRequest();
  request.excluded_upstreams = {"e0"};
  CHECK(placement.ChooseUpstream(request, list, health, TimePoint{})
            ->upstream.id == "e1");
  request.excluded_upstreams = {"e0", "e1"};
  CHECK_FALSE(placement.ChooseUpstream(request, list, health, TimePoint{}));
}

TEST_CASE(
    "a plain service is called in the failure domain of the host until the "
    "upstream there is busy") {
  const UpstreamList list = MakeList(3);
  const UpstreamHealth health;
  AffinityPlacement placement({"d2"});
  const auto nearest =
      placement.ChooseUpstream(ServiceRequest(), list, health, TimePoint{});
  CHECK(nearest->upstream.id == "e2");
  placement.OnRequestSent(ServiceRequest(), nearest->upstream, TimePoint{});
  CHECK(placement.ChooseUpstream(ServiceRequest(), list, health, TimePoint{})
            ->upstream.id != "e2");
  placement.OnAttemptEnded(ServiceRequest(), "e2", /*answer_started=*/true);
  CHECK(placement.in_flight("e2") == 0);
}

TEST_CASE("a stream is placed only at the version that began it") {
  struct Row {
    const char* policy;
    const char* version;
    int placements;  ///< until no upstream is left
  };
  const Row row = GENERATE(values<Row>({
      {"affinity", "v1", 2},
      {"affinity", "v2", 4},
      {"affinity", "v3", 0},
      {"round-robin", "v1", 2},
      {"least-load", "v3", 0},
  }));
  CAPTURE(row.policy, row.version);
  UpstreamList list = MakeList(6);
  for (size_t i = 0; i < 6; ++i)
    list.by_service["llm"][i].version = i < 2 ? "v1" : "v2";
  // An ejected upstream of another version is no way out either.
  UpstreamHealth health;
  health.OnMisdirected("e0", TimePoint{});
  const std::unique_ptr<PlacementPolicy> policy = std::move(
      *PlacementRegistry::Instance().Create(row.policy, PlacementOptions{}));
  PlacementRequest request = EngineRequest(7);
  request.required_version = row.version;
  int placements = 0;
  while (const auto placement =
             policy->ChooseUpstream(request, list, health, TimePoint{})) {
    CHECK(placement->upstream.version == row.version);
    request.excluded_upstreams.push_back(placement->upstream.id);
    ++placements;
  }
  CHECK(placements == row.placements);
}

}  // namespace teaselhill::gateway
