/// \file
/// Guards the corrected load, health and leaving marks of upstreams against any
/// order in which observations arrive.

#include "teaselhill/routing/upstream_table.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>

#include "testing.h"

namespace teaselhill::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Operation {
  int kind;
  uint32_t argument;
};

std::ostream& operator<<(std::ostream& out, const Operation& operation) {
  return out << "{" << operation.kind << "," << operation.argument << "}";
}

rc::Gen<std::vector<Operation>> Operations(int kinds) {
  return rc::gen::container<std::vector<Operation>>(
      rc::gen::construct<Operation>(rc::gen::inRange(0, kinds),
                                    rc::gen::inRange<uint32_t>(0, 1000)));
}

}  // namespace

// Guards against attempts that are counted twice or not at all when a report is
// corrected, which overloads an engine or leaves it idle.
TEST_CASE("a delayed report is corrected to the true load") {
  rc::prop("any interleaving of sends, ends, peer sends and reports", [] {
    UpstreamTable table({"h0", 1});
    table.SetUpstreams(Engines(1), kStart);
    TimePoint now = kStart;
    std::map<AttemptId, uint32_t> own;  // tokens so far by attempt
    int peer = 0;
    uint64_t sequence = 0;
    AttemptId next = 0;
    int snapshot = -1;
    TimePoint snapshot_at;
    const auto operations = *Operations(7);
    for (const Operation& operation : operations) {
      now += milliseconds(1);
      const auto pick = [&] {
        return std::next(own.begin(), operation.argument % own.size());
      };
      if (operation.kind == 0) {
        own[++next] = 0;
        table.OnAttemptSent(Attempt(next, "e0"), now);
      } else if (operation.kind == 1 && !own.empty()) {
        const auto it = pick();
        const EndKind kinds[] = {EndKind::kCompleted, EndKind::kCancelled,
                                 EndKind::kStreamBroken, EndKind::kTimeout};
        const EndKind kind = kinds[operation.argument % 4];
        table.OnAttemptEnded(it->first, kind, now);
        table.OnAttemptEnded(it->first, kind, now);  // repeated: counts once
        own.erase(it);
      } else if (operation.kind == 2 && !own.empty()) {
        const auto it = pick();
        it->second += operation.argument % 5 + 1;
        table.OnProgress(it->first, it->second, now);
      } else if (operation.kind == 3) {
        const uint32_t sent = operation.argument % 4;
        peer += static_cast<int>(sent);
        const UpstreamSends message{{"h1", 1},
                                    ++sequence,
                                    {{HashUpstreamName("e0"), sent, 0,
                                      static_cast<uint32_t>(peer), 0, 0}}};
        table.OnPeerSends(message, now);
        table.OnPeerSends(message, now);  // repeated: counts once
      } else if (operation.kind == 4 && peer > 0) {
        --peer;
        table.OnPeerSends({{"h1", 1},
                           ++sequence,
                           {{HashUpstreamName("e0"), 0, 1,
                             static_cast<uint32_t>(peer), 0, 0}}},
                          now);
      } else if (operation.kind == 5) {
        snapshot = static_cast<int>(own.size()) + peer;
        snapshot_at = now;
      } else if (operation.kind == 6 && snapshot >= 0) {
        table.OnLoadReport("e0", {snapshot, 0, 8, 0, now - snapshot_at}, now);
      }
      const Upstream& upstream = *table.Find("e0");
      int64_t remaining_tokens = 0;
      for (const auto& [id, tokens] : own)
        remaining_tokens += 10 - std::min<int64_t>(10, tokens);
      RC_ASSERT(table.CorrectedLoad(upstream, now) ==
                static_cast<int>(own.size()) + peer);
      RC_ASSERT(upstream.own_in_flight == own.size());
      RC_ASSERT(upstream.own_tokens_remaining == remaining_tokens);
    }
  });
}

// Guards against new requests on a leaving upstream, and against a mark that
// remains after its source was cleared, for any order, loss and repetition of
// messages.
TEST_CASE("an upstream is leaving exactly while one of its marks is set") {
  rc::prop("any interleaving of marks and peer messages", [] {
    UpstreamTable table({"h0", 1});
    table.SetUpstreams(Engines(2), kStart);
    TimePoint now = kStart;
    bool host_list = false;
    bool operator_mark = false;
    bool refused = false;
    TimePoint refused_at = kStart;
    uint64_t sequence = 0;
    bool peer_marked = false;
    TimePoint peer_marked_at = kStart;
    AttemptId next = 0;
    const auto operations = *Operations(7);
    for (const Operation& operation : operations) {
      now += milliseconds(operation.argument * 5);
      if (operation.kind == 0) {
        host_list = operation.argument % 2 == 0;
        host_list ? (void)table.MarkLeaving("e0", LeavingSource::kHostList, now)
                  : table.ClearLeaving("e0", LeavingSource::kHostList, now);
      } else if (operation.kind == 1) {
        operator_mark = operation.argument % 2 == 0;
        auto specs = Engines(2);
        specs[0].draining = operator_mark;
        table.SetUpstreams(specs, now);
      } else if (operation.kind == 2) {
        table.OnAttemptSent(Attempt(++next, "e0"), now);
        table.OnAttemptEnded(next, EndKind::kRefused, now);
        refused = true;
        refused_at = now;
      } else if (operation.kind == 3) {
        table.OnPeerLeaving({{"h1", 1}, ++sequence, {"e0", "unknown"}}, now);
        peer_marked = true;
        peer_marked_at = now;
      } else if (operation.kind == 4) {
        table.OnPeerLeaving({{"h1", 1}, ++sequence, {}}, now);
        peer_marked = false;
      } else if (operation.kind == 5 && sequence > 0) {
        // An outdated message that arrives late has no effect.
        table.OnPeerLeaving({{"h1", 1}, sequence, {"e0"}}, now);
        table.OnPeerLeaving({{"h1", 0}, sequence + 9, {"e0"}}, now);
      }
      table.Tick(now);
      const bool refusing = refused && now - refused_at < kRefusalMarkLifetime;
      const bool by_peer =
          peer_marked && now - peer_marked_at < kPeerMarkLifetime;
      const bool own_mark = host_list || operator_mark || refusing;
      RC_ASSERT(table.IsLeaving(*table.Find("e0"), now) ==
                (own_mark || by_peer));
      RC_ASSERT(!table.IsLeaving(*table.Find("e1"), now));
      // Marks received from peers are not forwarded, or hosts would keep
      // renewing each other's marks.
      RC_ASSERT(table.MakeLeavingMessage(now).upstreams.size() ==
                (own_mark ? 1u : 0u));
    }
  });
}

// Guards against an upstream that stays ejected forever, is readmitted without
// a probe, or is ejected longer because one crash broke many streams.
TEST_CASE("repeated ejections last longer and end by a successful probe") {
  struct Row {
    std::string name;
    EndKind kind;
    int simultaneous;
    int rounds;  // failed probes after the first failure
    Duration ejected_for;
  };
  const auto row = GENERATE(values<Row>({
      {"connect", EndKind::kConnectFailed, 1, 0, seconds(4)},
      {"one crash of many streams", EndKind::kStreamBroken, 16, 0, seconds(4)},
      {"second failure", EndKind::kConnectFailed, 1, 1, seconds(8)},
      {"fourth failure", EndKind::kStreamBroken, 4, 3, seconds(32)},
      {"maximum", EndKind::kStreamBroken, 1, 8, seconds(60)},
  }));
  INFO(row.name);
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(1), kStart);
  TimePoint now = kStart;
  AttemptId next = 100;
  for (AttemptId id = 0; id < static_cast<AttemptId>(row.simultaneous); ++id)
    table.OnAttemptSent(Attempt(id, "e0"), now);
  for (AttemptId id = 0; id < static_cast<AttemptId>(row.simultaneous); ++id)
    table.OnAttemptEnded(id, row.kind, now += milliseconds(1));
  const Upstream& upstream = *table.Find("e0");
  for (int round = 0; round < row.rounds; ++round) {
    now = upstream.ejected_until;
    table.OnAttemptSent(Attempt(++next, "e0"), now);
    table.OnAttemptEnded(next, row.kind, now);
  }
  const TimePoint until = upstream.ejected_until;
  CHECK(until - upstream.failed_at == row.ejected_for);
  CHECK(table.HealthOf(upstream, until - milliseconds(1)) == Health::kEjected);
  CHECK(table.HealthOf(upstream, until) == Health::kProbing);
  table.OnAttemptSent(Attempt(++next, "e0"), until);
  CHECK(upstream.probe_attempt == next);
  table.OnFirstToken(next, until + seconds(1));
  CHECK(table.HealthOf(upstream, until + seconds(1)) == Health::kHealthy);
}

// Guards against an upstream that returns with the failures, load or cached
// prefixes of its previous process, and against counts that the return
// corrupts.
TEST_CASE("an upstream returns with reset state after it was leaving") {
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(1), kStart);
  SentAttempt sent = Attempt(1, "e0");
  sent.prefix_blocks = PrefixBlocks("m", std::string(1024, 'x'));
  table.OnAttemptSent(sent, kStart);
  table.OnAttemptSent(Attempt(2, "e0"), kStart);
  table.OnLoadReport("e0", {8, 3, 8, 0, Duration{}}, kStart);
  table.OnAttemptEnded(2, EndKind::kStreamBroken, kStart);
  const auto source =
      GENERATE(LeavingSource::kHostList, LeavingSource::kOperator);
  CHECK(table.MarkLeaving("e0", source, kStart));
  CHECK(!table.MarkLeaving("e0", source, kStart));
  table.ClearLeaving("e0", source, kStart + seconds(1));
  const Upstream& upstream = *table.Find("e0");
  CHECK(!table.IsLeaving(upstream, kStart + seconds(1)));
  CHECK(table.HealthOf(upstream, kStart + seconds(1)) == Health::kHealthy);
  CHECK(table.CorrectedLoad(upstream, kStart + seconds(1)) == 1);
  CHECK(table.prefixes().Find(sent.prefix_blocks, kStart).empty());
  table.OnAttemptEnded(1, EndKind::kCancelled, kStart + seconds(1));
  CHECK(table.CorrectedLoad(upstream, kStart + seconds(1)) == 0);
}

// Guards against a slow engine that is never marked as a straggler, and against
// a mark that is derived from load reports or is never removed.
TEST_CASE(
    "stragglers are detected by the pace of this host's streams and can "
    "recover") {
  struct Row {
    std::string name;
    int slow_ms;   // time per token on e0; 20 ms on the others
    int later_ms;  // time per token on e0 in the second phase
    bool straggles;
    bool straggles_later;
  };
  const auto row = GENERATE(values<Row>({
      {"as fast as the others", 20, 20, false, false},
      {"somewhat slow", 30, 30, false, false},
      {"slow and stays so", 60, 60, true, true},
      {"slow and recovers", 60, 20, true, false},
      {"stalls without a token", 100000, 100000, true, true},
  }));
  INFO(row.name);
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(4), kStart);
  std::map<AttemptId, double> tokens;
  for (AttemptId id = 0; id < 4; ++id) {
    table.OnAttemptSent(Attempt(id, "e" + std::to_string(id)), kStart);
    table.OnFirstToken(id, kStart);
  }
  const auto run = [&](TimePoint from, int slow_ms) {
    for (int step = 1; step <= 200; ++step) {
      const TimePoint now = from + milliseconds(100) * step;
      for (AttemptId id = 0; id < 4; ++id) {
        tokens[id] += 100.0 / (id == 0 ? slow_ms : 20);
        table.OnProgress(id, 1 + static_cast<uint32_t>(tokens[id]), now);
      }
      table.Tick(now);
    }
    return from + seconds(20);
  };
  const TimePoint later = run(kStart, row.slow_ms);
  CHECK(table.Find("e0")->straggler == row.straggles);
  run(later, row.later_ms);
  CHECK(table.Find("e0")->straggler == row.straggles_later);
  CHECK(!table.Find("e1")->straggler);
  // A host without own streams receives the pace from its peers.
  UpstreamTable other({"h1", 1});
  other.SetUpstreams(Engines(4), kStart);
  other.OnPeerSends(table.MakeSendsMessage(later + seconds(20)), kStart);
  CHECK(other.Find("e1")->peer_seconds_per_token == Approx(0.02).margin(0.001));
  CHECK(!other.Find("e0")->straggler);
}

// Guards against affinity to an upstream that has evicted the prefix, and
// against hints whose confidence does not decay.
TEST_CASE("known prefixes follow cache events and their confidence decays") {
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(2), kStart);
  const auto blocks = PrefixBlocks("m", std::string(1024, 'x'));
  REQUIRE(blocks.size() == 4);
  SentAttempt sent = Attempt(1, "e0");
  sent.prefix_blocks = blocks;
  table.OnAttemptSent(sent, kStart);
  const auto confident_blocks = [&](TimePoint now) {
    const auto matches = table.prefixes().Find(blocks, now);
    return matches.empty() ? 0
                           : matches[0].cached_blocks * matches[0].confidence;
  };
  CHECK(confident_blocks(kStart) == 4);
  CHECK(confident_blocks(kStart + seconds(240)) == Approx(1));
  table.OnCacheEvents("e0", {{CacheEventKind::kRemoved, blocks[3]}}, false,
                      kStart);
  CHECK(confident_blocks(kStart) == 3);
  table.OnCacheEvents("e0", {{CacheEventKind::kStored, blocks[0]}}, true,
                      kStart);
  CHECK(confident_blocks(kStart) == 1);
  table.SetUpstreams({Engines(2)[1]}, kStart);
  CHECK(confident_blocks(kStart) == 0);
  CHECK(PrefixBlocks("n", std::string(1024, 'x')) != blocks);
}

// Guards against messages that grow with the attempts in flight instead of the
// changes, and against a limit that omits a crash suspect.
TEST_CASE("a limited message contains all suspects and the largest changes") {
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(4), kStart);
  TimePoint now = kStart;
  AttemptId id = 0;
  for (int engine = 0; engine < 3; ++engine) {
    for (int i = 0; i <= engine; ++i)
      table.OnAttemptSent(Attempt(++id, "e" + std::to_string(engine)), now);
  }
  SentAttempt suspect = Attempt(++id, "e3");
  suspect.suspect = true;
  table.OnAttemptSent(suspect, now);
  const UpstreamSends urgent = table.MakeSendsMessage(now, 0);
  REQUIRE(urgent.entries.size() == 1);
  CHECK(urgent.entries[0].upstream == HashUpstreamName("e3"));
  CHECK(urgent.entries[0].suspects == 1);
  const UpstreamSends limited = table.MakeSendsMessage(now, 1);
  REQUIRE(limited.entries.size() == 1);
  CHECK(limited.entries[0].upstream == HashUpstreamName("e2"));
  CHECK(limited.entries[0].sent == 3);
  CHECK(table.MakeSendsMessage(now).entries.size() == 2);
  now += milliseconds(900);
  CHECK(table.MakeSendsMessage(now).entries.empty());
  now += milliseconds(200);
  CHECK(table.MakeSendsMessage(now).entries.size() == 4);
}

// Guards against load that is counted twice: by a report, and by a later
// message about attempts that the report already contains.
TEST_CASE("counts that were not published in time are discarded") {
  UpstreamTable table({"h0", 1});
  table.SetUpstreams(Engines(1), kStart);
  table.OnAttemptSent(Attempt(1, "e0"), kStart);
  const UpstreamSends late = table.MakeSendsMessage(kStart + seconds(2));
  REQUIRE(late.entries.size() == 1);
  CHECK(late.entries[0].sent == 0);
  CHECK(late.entries[0].in_flight == 1);
}

// Guards the memory bound of docs/decisions/routing.md.
TEST_CASE("4100 upstreams fit in 16 MB") {
  UpstreamTable table({"h0", 1});
  auto specs = Engines(4100);
  for (UpstreamSpec& spec : specs)
    spec.models = {"model-a", "model-b"};
  table.SetUpstreams(specs, kStart);
  for (int peer = 1; peer <= 30; ++peer) {
    UpstreamSends message{{"host" + std::to_string(peer), 1}, 1, {}};
    for (const UpstreamSpec& spec : specs)
      message.entries.push_back({HashUpstreamName(spec.name), 1, 0, 1, 0, 0});
    table.OnPeerSends(message, kStart);
  }
  WARN("4100 upstreams with 30 peers: " << table.MemoryBytes() << " bytes");
  CHECK(table.MemoryBytes() < 16u << 20);
}

}  // namespace teaselhill::routing
