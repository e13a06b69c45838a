/// \file
/// Guards the placement rules of the routing policies.

#include "teaselhill/routing/routing_policy.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <chrono>

#include "testing.h"

namespace teaselhill::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LoadReport Load(int requests, int max_batch = 8) {
  LoadReport report;
  report.running = std::min(requests, max_batch);
  report.waiting = requests - report.running;
  report.max_batch = max_batch;
  return report;
}

RouteRequest Request(Tier tier) {
  RouteRequest request;
  request.target = "m";
  request.tier = tier;
  request.prompt_tokens = 1000;
  request.predicted_output_tokens = 100;
  request.idempotent = false;  // not idempotent, so never a straggler probe
  return request;
}

enum class ResultKind { kChoice, kNoCapacity, kNoUpstream };

ResultKind KindOf(const RouteResult& result) {
  return static_cast<ResultKind>(result.index());
}

void FailConnection(UpstreamTable& table,
                    const std::string& name,
                    TimePoint now) {
  const AttemptId id = 1000000 + table.Find(name)->index;
  table.OnAttemptSent(Attempt(id, name), now);
  table.OnAttemptEnded(id, EndKind::kConnectFailed, now);
}

}  // namespace

// Guards against lower tiers that queue requests on engines, urgent requests
// without headroom, and a wrong kind of result when no upstream is suitable.
TEST_CASE(
    "the adaptive policy fills the batch and keeps headroom for urgent "
    "requests") {
  struct Row {
    std::string name;
    std::vector<int> loads;  // of engines with a batch of 8; -1: leaving
    Tier tier;
    ResultKind expected;
  };
  const auto row = GENERATE(values<Row>({
      {"none configured", {}, 5, ResultKind::kNoUpstream},
      {"only leaving", {-1, -1}, 0, ResultKind::kNoUpstream},
      {"room in the batch", {7}, 5, ResultKind::kChoice},
      {"batch full", {8, 8}, 5, ResultKind::kNoCapacity},
      {"urgent above a full batch", {8, 9}, 0, ResultKind::kChoice},
      {"headroom used up", {10, 11}, 0, ResultKind::kNoCapacity},
      {"room only on a leaving engine", {-1, 8}, 5, ResultKind::kNoCapacity},
  }));
  INFO(row.name);
  UpstreamTable table({"h0", 1});
  const auto specs = Engines(static_cast<int>(row.loads.size()));
  table.SetUpstreams(specs, kStart);
  for (size_t i = 0; i < row.loads.size(); ++i) {
    if (row.loads[i] < 0)
      table.MarkLeaving(specs[i].name, LeavingSource::kHostList, kStart);
    table.OnLoadReport(specs[i].name, Load(std::max(0, row.loads[i])), kStart);
  }
  Rng rng(1);
  CHECK(KindOf(MakePolicy("adaptive")
                   ->Choose(Request(row.tier), table, rng, kStart)) ==
        row.expected);
}

// Guards against a cost term that is missing or outweighs the other terms.
TEST_CASE(
    "load, cached prefix, pace and domain all count in the expected time") {
  struct Row {
    std::string name;
    int load[2];
    std::string domain[2];
    int prefix_holder;  // -1: none
    int time_per_token_ms[2];
    int chosen;
  };
  const auto row = GENERATE(values<Row>({
      {"less load", {6, 1}, {"a", "a"}, -1, {20, 20}, 1},
      {"own domain at equal load", {2, 2}, {"b", "a"}, -1, {20, 20}, 1},
      {"other domain when the own one is busy",
       {7, 0},
       {"a", "b"},
       -1,
       {20, 20},
       1},
      {"own domain at slightly more load", {1, 0}, {"a", "b"}, -1, {20, 20}, 0},
      {"cached prefix over slightly less load",
       {2, 1},
       {"a", "a"},
       0,
       {20, 20},
       0},
      {"much less load over cached prefix", {7, 0}, {"a", "a"}, 0, {20, 20}, 1},
      {"faster engine", {0, 0}, {"a", "a"}, -1, {30, 20}, 1},
  }));
  INFO(row.name);
  UpstreamTable table({"h0", 1});
  table.SetUpstreams({Engine("e0", row.domain[0]), Engine("e1", row.domain[1])},
                     kStart);
  RouteRequest request = Request(5);
  request.prefix_blocks = PrefixBlocks("m", std::string(4096, 'p'));
  for (int i = 0; i < 2; ++i) {
    SentAttempt sent =
        Attempt(static_cast<AttemptId>(i), "e" + std::to_string(i));
    if (row.prefix_holder == i)
      sent.prefix_blocks = request.prefix_blocks;
    table.OnAttemptSent(sent, kStart);
    table.OnFirstToken(sent.attempt, kStart);
    table.OnProgress(sent.attempt, 101,
                     kStart + milliseconds(row.time_per_token_ms[i]) * 100);
    table.OnAttemptEnded(sent.attempt, EndKind::kCompleted,
                         kStart + seconds(4));
    table.OnLoadReport(sent.upstream, Load(row.load[i]), kStart + seconds(4));
  }
  Rng rng(1);
  int chosen[2] = {0, 0};
  const auto policy = MakePolicy("adaptive");
  for (int i = 0; i < 200; ++i) {
    const auto result =
        policy->Choose(request, table, rng, kStart + seconds(4));
    ++chosen[std::get<Choice>(result).upstream == "e1"];
  }
  // Candidates are drawn at random, weighted by free slots, so the worse engine
  // is chosen when the better engine is not drawn.
  CHECK(chosen[row.chosen] > 140);
}

// Guards the rules for every choice in any state of the table: no request goes
// to a leaving, excluded, full or unsuitable upstream, and ejections alone
// never leave a request without an upstream.
TEST_CASE("the adaptive policy never breaks a placement rule") {
  rc::prop("any state of up to six engines", [] {
    const auto policy = MakePolicy("adaptive");
    UpstreamTable table({"h0", 1});
    const int count = *rc::gen::inRange(1, 7);
    const auto specs = Engines(count);
    table.SetUpstreams(specs, kStart);
    RouteRequest request = Request(*rc::gen::inRange(0, 3));
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.isolated = *rc::gen::arbitrary<bool>();
    UpstreamSends peer{{"h1", 1}, 1, {}};
    int not_leaving = 0;
    int ejected = 0;
    int suitable = 0;
    for (int i = 0; i < count; ++i) {
      const std::string& name = specs[static_cast<size_t>(i)].name;
      const auto state = *rc::gen::inRange(0, 8);
      const int load = *rc::gen::inRange(0, 12);
      table.OnLoadReport(name, Load(load), kStart);
      not_leaving += state == 0 ? 0 : 1;
      if (state == 0)
        table.MarkLeaving(name, LeavingSource::kOperator, kStart);
      if (state == 1)
        request.excluded.push_back(name);
      if (state == 2)
        peer.entries.push_back({HashUpstreamName(name), 0, 0, 1, 1, 0});
      if (state == 3)
        peer.entries.push_back({HashUpstreamName(name), 0, 0, 1, 0, 1});
      if (state == 4) {
        FailConnection(table, name, kStart);
        ++ejected;
      }
      // The last two slots may be left to peers that use the same engine.
      const bool maybe_left_to_peers = request.tier > 0 && !request.isolated &&
                                       load >= 6 && (state == 2 || state == 3);
      const bool fits =
          load < (request.tier == 0 ? 10 : 8) && !maybe_left_to_peers;
      suitable +=
          fits && (state > 3 || (state == 2 && !request.isolated) ||
                   (state == 3 && !request.isolated && request.idempotent));
    }
    table.OnPeerSends(peer, kStart);
    Rng rng(*rc::gen::arbitrary<uint64_t>());
    const auto result = policy->Choose(request, table, rng, kStart);
    RC_ASSERT((KindOf(result) == ResultKind::kNoUpstream) ==
              (not_leaving == 0));
    if (KindOf(result) != ResultKind::kChoice) {
      RC_ASSERT(suitable == 0 || not_leaving == 0 ||
                2 * ejected <= not_leaving);
      return;
    }
    const Upstream& chosen = *table.Find(std::get<Choice>(result).upstream);
    RC_ASSERT(!table.IsLeaving(chosen, kStart));
    for (const std::string& excluded : request.excluded)
      RC_ASSERT(chosen.spec.name != excluded);
    RC_ASSERT(table.CorrectedLoad(chosen, kStart) <
              (request.tier == 0 ? 10 : 8));
    if (request.isolated)
      RC_ASSERT(table.Suspects(chosen, kStart) +
                    table.NonResumable(chosen, kStart) ==
                0);
    if (!request.idempotent)
      RC_ASSERT(table.Suspects(chosen, kStart) == 0);
    if (table.HealthOf(chosen, kStart) != Health::kHealthy)
      RC_ASSERT(2 * ejected > not_leaving);
  });
}

// Guards against hosts that all use the last slot of a batch at once, and
// against a slot that no host uses.
TEST_CASE("the last slots of a batch are divided among the hosts") {
  const auto tier = GENERATE(0, 5);
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(1), kStart);
  table.OnLoadReport("e0", Load(7), kStart);
  UpstreamSends peer{{"", 1}, 1, {{HashUpstreamName("e0"), 0, 0, 1, 0, 0, {}}}};
  for (const char* host : {"h1", "h2", "h3"}) {
    peer.sender.host = host;
    table.OnPeerSends(peer, kStart);
  }
  const auto policy = MakePolicy("adaptive");
  Rng rng(1);
  int placed = 0;
  for (int period = 0; period < 40; ++period) {
    const TimePoint now = kStart + milliseconds(100) * period;
    placed += KindOf(policy->Choose(Request(tier), table, rng, now)) ==
              ResultKind::kChoice;
  }
  CHECK(placed >= (tier == 0 ? 40 : 4));
  CHECK(placed <= (tier == 0 ? 40 : 18));
}

// Guards against an ejected upstream that is never probed, or is probed by
// requests that must not fail or be late.
TEST_CASE("an ejected upstream is probed by one suitable request") {
  struct Row {
    std::string name;
    Tier tier;
    bool idempotent;
    Duration after;  // time since the failure of e0
    bool probes;
  };
  const auto row = GENERATE(values<Row>({
      {"still ejected", 5, true, seconds(3), false},
      {"low tier", 5, true, seconds(5), true},
      {"non-idempotent", 5, false, seconds(5), false},
      {"urgent", 0, true, seconds(5), false},
      {"urgent when no other request has probed", 0, true, seconds(10), true},
      {"non-idempotent when no other request has probed", 5, false, seconds(20),
       true},
  }));
  INFO(row.name);
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(3), kStart);
  FailConnection(table, "e0", kStart);
  RouteRequest request = Request(row.tier);
  request.idempotent = row.idempotent;
  const auto policy = MakePolicy("adaptive");
  Rng rng(1);
  int probes = 0;
  for (int i = 0; i < 100; ++i) {
    const auto result = policy->Choose(request, table, rng, kStart + row.after);
    const Choice& choice = std::get<Choice>(result);
    CHECK((choice.upstream == "e0") == (choice.reason == ChoiceReason::kProbe));
    if (choice.upstream != "e0")
      continue;
    ++probes;
    table.OnAttemptSent(Attempt(1, "e0"),
                        kStart + row.after);  // the probe stays in flight
  }
  CHECK(probes == (row.probes ? 1 : 0));
}

// Guards against urgent requests on a straggler, a straggler that is never
// probed, and urgent requests without an upstream when only a straggler
// remains.
TEST_CASE("a straggler receives only probes unless no other upstream remains") {
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(4), kStart);
  TimePoint now = kStart + seconds(4);
  for (AttemptId id = 0; id < 4; ++id) {
    table.OnAttemptSent(Attempt(id, "e" + std::to_string(id)), kStart);
    table.OnFirstToken(id, kStart);
    table.OnProgress(id, id == 0 ? 51 : 201, now);
  }
  table.Tick(now);
  REQUIRE(table.Find("e0")->straggler);
  const auto policy = MakePolicy("adaptive");
  Rng rng(1);
  const auto chosen = [&](Tier tier, bool idempotent) {
    RouteRequest request = Request(tier);
    request.idempotent = idempotent;
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto result = policy->Choose(request, table, rng, now);
      count += std::get<Choice>(result).upstream == "e0";
    }
    return count;
  };
  CHECK(chosen(0, true) == 0);
  const int probes = chosen(5, true) - chosen(5, false);
  CHECK(probes >= 5);
  CHECK(probes <= 40);
  for (const char* name : {"e1", "e2", "e3"})
    table.MarkLeaving(name, LeavingSource::kOperator, now);
  CHECK(chosen(0, true) == 1000);
}

// Guards against a choice of plain services that ignores their requests in
// flight, and against acceptance of an unknown plug-in name.
TEST_CASE("plain services are chosen by name and requests in flight") {
  UpstreamTable table({"h0", 1});
  std::vector<UpstreamSpec> specs;
  for (int i = 0; i < 3; ++i) {
    UpstreamSpec spec;
    spec.name = "s" + std::to_string(i);
    spec.kind = UpstreamKind::kService;
    spec.domain = "a";
    spec.service = i == 2 ? "other" : "tags";
    spec.max_concurrency = 4;
    specs.push_back(spec);
  }
  table.SetUpstreams(specs, kStart);
  RouteRequest request = Request(5);
  request.kind = UpstreamKind::kService;
  request.target = "tags";
  const auto name =
      GENERATE(as<std::string>(), "adaptive", "round-robin", "least-load");
  const auto policy = MakePolicy(name);
  Rng rng(1);
  for (AttemptId id = 0; id < 8; ++id) {
    const auto result = policy->Choose(request, table, rng, kStart);
    REQUIRE(KindOf(result) == ResultKind::kChoice);
    table.OnAttemptSent(Attempt(id, std::get<Choice>(result).upstream), kStart);
  }
  CHECK(table.Find("s0")->own_in_flight == 4);
  CHECK(table.Find("s1")->own_in_flight == 4);
  CHECK(KindOf(policy->Choose(request, table, rng, kStart)) ==
        ResultKind::kNoCapacity);
  request.target = "none";
  CHECK(KindOf(policy->Choose(request, table, rng, kStart)) ==
        ResultKind::kNoUpstream);
  CHECK(!RoutingPolicyRegistry::Instance().Create("nearest", {}).ok());
}

// Measures the cost stated in docs/decisions/routing.md. Hidden, because it
// depends on the clock.
TEST_CASE("cost of a choice among 300 candidates", "[.measure]") {
  UpstreamTable table({"h0", 1});
  std::vector<UpstreamSpec> specs;
  for (int i = 0; i < 300; ++i)
    specs.push_back(Engine("engine" + std::to_string(i), i % 3 ? "a" : "b"));
  table.SetUpstreams(specs, kStart);
  RouteRequest request = Request(5);
  request.idempotent = true;
  request.prefix_blocks = PrefixBlocks("m", std::string(16384, 'p'));
  for (int i = 0; i < 300; ++i) {
    const std::string& name = specs[static_cast<size_t>(i)].name;
    table.OnLoadReport(name, Load(i % 9), kStart);
    UpstreamSends peer{{"h" + std::to_string(1 + i % 30), 1}, 1, {}};
    for (const UpstreamSpec& spec : specs)
      peer.entries.push_back({HashUpstreamName(spec.name), 1, 1, 1, 0, 0});
    table.OnPeerSends(peer, kStart);
    SentAttempt sent = Attempt(static_cast<AttemptId>(i), name);
    sent.prefix_blocks = request.prefix_blocks;
    table.OnAttemptSent(sent, kStart);
    table.OnAttemptEnded(sent.attempt, EndKind::kCompleted, kStart);
  }
  const auto policy = MakePolicy("adaptive");
  Rng rng(1);
  constexpr int kRounds = 20000;
  const TimePoint begin = SteadyNow();
  int chosen = 0;
  for (int i = 0; i < kRounds; ++i)
    chosen += KindOf(policy->Choose(request, table, rng, kStart)) ==
              ResultKind::kChoice;
  const double each = ToSeconds(SteadyNow() - begin) * 1e6 / kRounds;
  WARN("microseconds per choice: " << each);
  CHECK(chosen == kRounds);
  CHECK(each < 50);
}

}  // namespace teaselhill::routing
