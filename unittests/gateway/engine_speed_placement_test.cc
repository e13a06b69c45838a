/// \file
/// Guards against slow engines that get as many prompts as the others, so that
/// these wait there while other engines are half idle.

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "teaselhill/gateway/affinity_placement.h"

namespace teaselhill::gateway {

using std::chrono::milliseconds;

namespace {

constexpr int kEngines = 24;
constexpr uint64_t kPrompts = 4000;

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

/// Of a service whose streams are all alike, so that no engine is reserved.
PlacementRequest Request(uint64_t prefix_hash) {
  PlacementRequest request;
  request.service = "llm";
  request.is_engine = true;
  request.engine_spec.slots = 12;
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

AffinityPlacement PlacementWith(const engines::EngineSpeeds& speeds) {
  PlacementOptions options;
  options.engine_speeds = &speeds;
  return AffinityPlacement(options);
}

}  // namespace

TEST_CASE("engines get prompts in proportion to their speeds") {
  struct Row {
    const char* load;
    double speed;      ///< of a quarter of the engines
    double slow_part;  ///< of the prompts
  };
  const Row row = GENERATE(values<Row>({{"all alike", 1, 0.25},
                                        {"half as fast", 0.5, 0.143},
                                        {"a quarter as fast", 0.25, 0.077}}));
  INFO(row.load);
  const UpstreamList list = MakeList();
  const UpstreamHealth health;
  const engines::EngineSpeeds speeds = QuarterAt(row.speed);
  AffinityPlacement placement = PlacementWith(speeds);
  double slow = 0;
  std::map<std::string, int> prompts;
  for (uint64_t prompt = 1; prompt <= kPrompts; ++prompt) {
    const auto choice =
        placement.ChooseUpstream(Request(prompt), list, health, TimePoint{});
    slow += IsSlow(choice->upstream.id) ? 1 : 0;
    ++prompts[choice->upstream.id];
    CHECK(choice->engine_speed ==
          (IsSlow(choice->upstream.id) ? row.speed : 1));
  }
  CHECK(slow / kPrompts == Approx(row.slow_part).margin(0.02));
  // A slow engine gets its share, not nothing.
  CHECK(prompts.size() == kEngines);
}

// Guards prompts that are read anew because another engine has become slow.
TEST_CASE("an engine that turns slow gives away prompts of its own only") {
  const UpstreamList list = MakeList();
  const UpstreamHealth health;
  const engines::EngineSpeeds usual;
  engines::EngineSpeeds changed;
  changed.OnTold({{"llm", {"e5", 1}, 0.5}});
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
    if (first != "e5")
      CHECK(second == first);
    else
      ++(second == "e5" ? kept : given_away);
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
  CHECK(ToMilliseconds(placement.ExpectedPrefill(request, engine, now)) ==
        Approx((6300 + 2890) / 36.0 / speed));
  const auto idle = placement.ChooseUpstream(request, list, health, now);
  for (const UpstreamEntry& entry : list.OfService("llm"))
    health.OnLoadReport(entry.id, milliseconds(60), 1, now);
  const auto busy = placement.ChooseUpstream(request, list, health, now);
  CHECK(ToMilliseconds(busy->expected_delay - idle->expected_delay) ==
        Approx(60 / speed));
}

// Guards sites without such engines: their streams show load, not speed.
TEST_CASE("speeds are learned only where engines run few requests") {
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
  const engines::EngineSpeeds speeds;
  const AffinityPlacement placement = PlacementWith(speeds);
  PlacementRequest request = Request(1);
  request.engine_spec.slots = row.slots;
  request.has_urgent_streams = row.has_urgent_streams;
  CHECK(placement.UsesEngineSpeeds(request, MakeList()) == row.uses);
  CHECK_FALSE(AffinityPlacement({}).UsesEngineSpeeds(request, MakeList()));
}

}  // namespace teaselhill::gateway
