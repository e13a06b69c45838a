/// \file
/// Guards where work goes: engines that forget cached prompts because hosts
/// disagree, a hot prompt that queues at one engine, failing upstreams that
/// keep their share.

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

PlacementRequest Draft(uint64_t subject) {
  PlacementRequest request;
  request.service = "llm";
  request.engine = true;
  request.affinity = subject;
  request.shared_tokens = 6300;
  request.own_tokens = 2890;
  return request;
}

PlacementRequest Fetch() {
  PlacementRequest request;
  request.service = "llm";
  return request;
}

}  // namespace

TEST_CASE("hosts agree on the engine of a prompt without talking") {
  const UpstreamList list = MakeList(18);
  const UpstreamHealth health;
  std::set<std::string> used;
  for (uint64_t subject = 1; subject <= 200; ++subject) {
    AffinityPlacement first({"d0"});
    AffinityPlacement second({"d1"});
    const auto a = first.Choose(Draft(subject), list, health, TimePoint{});
    const auto b = second.Choose(Draft(subject), list, health, TimePoint{});
    REQUIRE(a->upstream.id == b->upstream.id);
    used.insert(a->upstream.id);
  }
  CHECK(used.size() == 18);
}

TEST_CASE("an engine that goes moves its own prompts only") {
  const UpstreamList before = MakeList(18);
  UpstreamList after = before;
  after.by_service["llm"].erase(after.by_service["llm"].begin() + 5);
  const UpstreamHealth health;
  AffinityPlacement placement({});
  for (uint64_t subject = 1; subject <= 200; ++subject) {
    const auto old =
        placement.Choose(Draft(subject), before, health, TimePoint{});
    const auto now =
        placement.Choose(Draft(subject), after, health, TimePoint{});
    if (old->upstream.id != "e5")
      CHECK(now->upstream.id == old->upstream.id);
  }
}

TEST_CASE(
    "a burst on one prompt spreads once waiting costs more than reading") {
  const UpstreamList list = MakeList(18);
  const UpstreamHealth health;
  AffinityPlacement placement({});
  std::map<std::string, int> sent;
  for (int i = 0; i < 24; ++i) {
    const auto placed = placement.Choose(Draft(7), list, health, TimePoint{});
    placement.OnSent(Draft(7), placed->upstream, TimePoint{});
    ++sent[placed->upstream.id];
  }
  // 2,890 own tokens a request against 6,300 shared ones: the second engine is
  // worth it from the third waiting request on.
  CHECK(sent.size() > 2);
  CHECK(sent.size() < 12);
  for (const auto& [engine, count] : sent)
    CHECK(count <= 6);
}

TEST_CASE("delay seen at an engine moves its prompts and is forgotten") {
  const UpstreamList list = MakeList(18);
  UpstreamHealth health;
  AffinityPlacement placement({});
  TimePoint now{};
  const std::string owner =
      placement.Choose(Draft(3), list, health, now)->upstream.id;
  for (int i = 0; i < 4; ++i)
    health.OnDelay(owner, milliseconds(900), now);
  CHECK(placement.Choose(Draft(3), list, health, now)->upstream.id != owner);
  now += std::chrono::seconds(5);
  CHECK(placement.Choose(Draft(3), list, health, now)->upstream.id == owner);
}

// Guards drafts in a burst: many hosts that each send little see no queue of
// their own, and meet behind one long prompt.
TEST_CASE("a report of queued requests decides between the part's engines") {
  const UpstreamList list = MakeList(18);
  UpstreamHealth health;
  AffinityPlacement placement({});
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  const auto contenders = placement.Contenders(Draft(3), list, health, now);
  REQUIRE(contenders.size() == 2);
  const std::string owner = contenders[0].id;
  CHECK(placement.Choose(Draft(3), list, health, now)->upstream.id == owner);
  const int queued = GENERATE(0, 2, 8);
  health.OnReport(owner, queued * milliseconds(60), 0, now);
  health.OnReport(contenders[1].id, milliseconds(0), 0, now);
  // Reading the shared part again would take 175 ms at the second engine.
  const bool moves = queued == 8;
  CHECK((placement.Choose(Draft(3), list, health, now)->upstream.id ==
         contenders[1].id) == moves);
  now += milliseconds(300);
  CHECK_FALSE(health.HasReport(owner, now));
  CHECK(placement.Choose(Draft(3), list, health, now)->upstream.id == owner);
}

TEST_CASE("a plain service has no contenders to ask") {
  AffinityPlacement placement({});
  CHECK(placement.Contenders(Fetch(), MakeList(3), {}, TimePoint{}).empty());
}

TEST_CASE("an upstream that fails is left out and comes back") {
  const UpstreamList list = MakeList(3);
  UpstreamHealth health;
  AffinityPlacement placement({"d1"});
  TimePoint now{};
  const int failures = GENERATE(1, 2, 5);
  CHECK(placement.Choose(Fetch(), list, health, now)->upstream.id == "e1");
  for (int i = 0; i < failures; ++i)
    health.OnFailed("e1", now);
  CHECK(placement.Choose(Fetch(), list, health, now)->upstream.id != "e1");
  now += std::chrono::seconds(60);
  CHECK(placement.Choose(Fetch(), list, health, now)->upstream.id == "e1");
}

TEST_CASE("when all are ejected the request still goes somewhere") {
  const UpstreamList list = MakeList(3);
  UpstreamHealth health;
  for (const char* id : {"e0", "e1", "e2"})
    health.OnConnectFailed(id, "d", TimePoint{});
  AffinityPlacement placement({});
  const auto placed = placement.Choose(Fetch(), list, health, TimePoint{});
  REQUIRE(placed);
  CHECK(placed->reason == PlacementReason::kAllEjected);
}

// Guards callers during a partition: each of a domain's engines found out by
// a connection that times out costs one of them its answer.
TEST_CASE("a domain whose upstreams cannot be connected to is left out") {
  const UpstreamList list = MakeList(18);
  UpstreamHealth health;
  AffinityPlacement placement({});
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  health.OnConnectFailed("e0", "d0", now);
  CHECK_FALSE(health.Ejected("e3", "d0", now));
  health.OnConnectFailed("e6", "d0", now);
  for (uint64_t subject = 1; subject <= 100; ++subject)
    CHECK(
        placement.Choose(Draft(subject), list, health, now)->upstream.domain !=
        "d0");
  CHECK_FALSE(health.Ejected("e1", "d1", now));
  now += std::chrono::seconds(1);
  CHECK_FALSE(health.Ejected("e3", "d0", now));
  const bool healed = GENERATE(false, true);
  if (healed)
    health.OnReached("d0");
  health.OnConnectFailed("e9", "d0", now);
  CHECK(health.Ejected("e3", "d0", now) == !healed);
}

TEST_CASE("failures of a domain far apart are no partition") {
  UpstreamHealth health;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  for (const char* id : {"e0", "e3", "e6"}) {
    health.OnConnectFailed(id, "d0", now);
    now += std::chrono::seconds(2);
  }
  CHECK_FALSE(health.Ejected("e9", "d0", now));
}

// Guards the comparison with the baselines: one that cannot be selected, leaves
// an upstream out or piles up.
TEST_CASE("baselines spread requests evenly") {
  const std::string name =
      GENERATE(as<std::string>(), "round-robin", "least-load");
  auto placement = PlacementRegistry::Instance().Create(name, {});
  REQUIRE(placement.ok());
  const UpstreamList list = MakeList(6);
  const UpstreamHealth health;
  std::map<std::string, int> sent;
  for (int i = 0; i < 60; ++i) {
    const auto placed =
        (*placement)->Choose(Draft(7), list, health, TimePoint{});
    (*placement)->OnSent(Draft(7), placed->upstream, TimePoint{});
    ++sent[placed->upstream.id];
  }
  REQUIRE(sent.size() == 6);
  for (const auto& [upstream, count] : sent)
    CHECK(count == 10);
}

TEST_CASE("an upstream that was tried is not chosen again") {
  const UpstreamList list = MakeList(2);
  const UpstreamHealth health;
  AffinityPlacement placement({});
  PlacementRequest request = Fetch();
  request.excluded = {"e0"};
  CHECK(placement.Choose(request, list, health, TimePoint{})->upstream.id ==
        "e1");
  request.excluded = {"e0", "e1"};
  CHECK_FALSE(placement.Choose(request, list, health, TimePoint{}));
}

TEST_CASE("a plain service is called in the own domain until it is busy") {
  const UpstreamList list = MakeList(3);
  const UpstreamHealth health;
  AffinityPlacement placement({"d2"});
  const auto near = placement.Choose(Fetch(), list, health, TimePoint{});
  CHECK(near->upstream.id == "e2");
  placement.OnSent(Fetch(), near->upstream, TimePoint{});
  CHECK(placement.Choose(Fetch(), list, health, TimePoint{})->upstream.id !=
        "e2");
  placement.OnEnded(Fetch(), "e2", /*begun=*/true);
  CHECK(placement.in_flight("e2") == 0);
}

}  // namespace teaselhill::gateway
