/// \file
/// Guards against slow engines that get as many prompts as the others, so that
/// these wait there while other engines are half idle.

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "teaselhill/gateway/affinity_placement.h"
#include "teaselhill/gateway/engine_reserve.h"

namespace teaselhill::gateway {

using std::chrono::milliseconds;

namespace {

constexpr int kEngines = 96;
constexpr uint64_t kPrompts = 8000;

UpstreamList MakeList() {
  UpstreamList list;
  for (int i = 0; i < kEngines; ++i) {
    UpstreamEntry entry;
    entry.id = "e" + std::to_string(i);
    entry.service = "llm";
    entry.domain = "d" + std::to_string(i % 3);
    entry.incarnation = 1;
    list.by_service["llm"].push_back(entry);
  }
  return list;
}

PlacementRequest Request(uint64_t prefix_hash) {
  PlacementRequest request;
  request.service = "llm";
  request.is_engine = true;
  request.engine_spec.slots = 12;
  request.has_urgent_streams = true;
  request.prefix_hash = prefix_hash;
  request.shared_prefix_tokens = 6300;
  request.unique_tokens = 2890;
  return request;
}

bool IsSlow(const std::string& id) {
  return std::stoi(id.substr(1)) % 4 == 0;
}

engines::EngineSpeeds QuarterAt(double speed) {
  engines::EngineSpeeds speeds;
  for (int i = 0; i < kEngines; i += 4)
    speeds.OnTold({{"llm", {"e" + std::to_string(i), 1}, speed}});
  return speeds;
}

/// Ids of the engines that no urgent stream has for itself at first.
std::set<std::string> SharedIds(const UpstreamList& list) {
  const std::vector<UpstreamEntry>& engines = list.OfService("llm");
  std::vector<const UpstreamEntry*> all;
  for (const UpstreamEntry& engine : engines)
    all.push_back(&engine);
  std::set<std::string> ids;
  for (const UpstreamEntry* engine :
       DivideEngines(engines, all,
                     ReserveSize{EngineReserveOptions{}}.fraction())
           .shared)
    ids.insert(engine->id);
  return ids;
}

AffinityPlacement PlacementWith(const engines::EngineSpeeds& speeds) {
  PlacementOptions options;
  options.engine_speeds = &speeds;
  return AffinityPlacement(options);
}

}  // namespace

TEST_CASE("engines get prompts in proportion to their speeds") {
  const double speed = GENERATE(1.0, 0.5, 0.25);
  INFO("a quarter of the engines at " << speed);
  const UpstreamList list = MakeList();
  const std::set<std::string> shared = SharedIds(list);
  double slow_speed = 0;
  double all_speed = 0;
  for (const std::string& id : shared) {
    slow_speed += IsSlow(id) ? speed : 0;
    all_speed += IsSlow(id) ? speed : 1;
  }
  const UpstreamHealth health;
  const engines::EngineSpeeds speeds = QuarterAt(speed);
  AffinityPlacement placement = PlacementWith(speeds);
  double slow = 0;
  std::map<std::string, int> prompts;
  for (uint64_t prompt = 1; prompt <= kPrompts; ++prompt) {
    const auto choice =
        placement.ChooseUpstream(Request(prompt), list, health, TimePoint{});
    slow += IsSlow(choice->upstream.id) ? 1 : 0;
    ++prompts[choice->upstream.id];
    CHECK(choice->engine_speed == (IsSlow(choice->upstream.id) ? speed : 1));
  }
  CHECK(slow / kPrompts == Approx(slow_speed / all_speed).margin(0.02));
  // A slow engine gets its share, not nothing.
  CHECK(prompts.size() == shared.size());
}

// Guards prompts that are read anew because another engine has become slow.
TEST_CASE("an engine that turns slow gives away prompts of its own only") {
  const UpstreamList list = MakeList();
  const UpstreamHealth health;
  const engines::EngineSpeeds usual;
  const std::string engine = *SharedIds(list).begin();
  engines::EngineSpeeds changed;
  changed.OnTold({{"llm", {engine, 1}, 0.5}});
  AffinityPlacement before = PlacementWith(usual);
  AffinityPlacement after = PlacementWith(changed);
  int kept = 0;
  int given_away = 0;
  for (uint64_t prompt = 1; prompt <= kPrompts; ++prompt) {
    const std::string first =
        before.ChooseUpstream(Request(prompt), list, health, TimePoint{})
            ->upstream.id;
    const std::string second =
        after.ChooseUpstream(Request(prompt), list, health, TimePoint{})
            ->upstream.id;
    if (first != engine)
      CHECK(second == first);
    else
      ++(second == engine ? kept : given_away);
  }
  CHECK(kept > 0);
  CHECK(given_away > 0);
}

// Guards prompts that wait at a slow engine since its queue looks as short as
// that of a fast one.
TEST_CASE("the time to read a prompt and a backlog follow the speed") {
  const UpstreamList list = MakeList();
  UpstreamHealth health;
  const double speed = GENERATE(1.0, 0.5);
  engines::EngineSpeeds speeds;
  for (int i = 0; i < kEngines; ++i)
    speeds.OnTold({{"llm", {"e" + std::to_string(i), 1}, speed}});
  AffinityPlacement placement = PlacementWith(speeds);
  const TimePoint now{std::chrono::hours(1)};
  const UpstreamEntry& engine = list.OfService("llm").front();
  const PlacementRequest request = Request(1);
  const auto idle = placement.ChooseUpstream(request, list, health, now);
  CHECK(ToMilliseconds(placement.ExpectedPrefill(request, engine, now)) ==
        Approx((6300 + 2890) / 36.0 / speed));
  for (const UpstreamEntry& entry : list.OfService("llm"))
    health.OnLoadReport(entry.id, milliseconds(60), 1, now);
  const auto busy = placement.ChooseUpstream(request, list, health, now);
  CHECK(ToMilliseconds(busy->expected_delay - idle->expected_delay) ==
        Approx(60 / speed));
}

// Guards sites without such engines: their streams show load, not speed, and
// what another host tells must not change their placement.
TEST_CASE("speeds are learned and used only where engines run few requests") {
  struct Row {
    const char* service;
    int64_t slots;
    bool has_urgent_streams;
    bool uses;
  };
  const Row row =
      GENERATE(values<Row>({{"12 slots, streams with tiers", 12, true, true},
                            {"64 slots", 64, true, false},
                            {"one kind of stream", 12, false, false}}));
  INFO(row.service);
  engines::EngineSpeeds speeds;
  for (int i = 0; i < kEngines; ++i)
    speeds.OnTold({{"llm", {"e" + std::to_string(i), 1}, 0.25}});
  AffinityPlacement placement = PlacementWith(speeds);
  PlacementRequest request = Request(1);
  request.engine_spec.slots = row.slots;
  request.has_urgent_streams = row.has_urgent_streams;
  const UpstreamHealth health;
  const auto choice =
      placement.ChooseUpstream(request, MakeList(), health, TimePoint{});
  CHECK(choice->engine_speed == (row.uses ? 0.25 : 1));
  CHECK(placement.UsesEngineSpeeds(request, MakeList()) == row.uses);
  CHECK_FALSE(AffinityPlacement({}).UsesEngineSpeeds(request, MakeList()));
  // The service has lost most of its engines.
  UpstreamList few = MakeList();
  few.by_service["llm"].resize(23);
  CHECK(placement.ChooseUpstream(request, few, health, TimePoint{})
            ->engine_speed == 1);
}

}  // namespace teaselhill::gateway
