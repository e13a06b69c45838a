/// \file
/// Guards against running a keyed request twice and against telling its caller
/// a wrong outcome.

#include "teaselhill/claims/claim_table.h"

#include <catch2/catch.hpp>

#include "claims_fixture.h"

namespace teaselhill::claims {

TEST_CASE(
    "a retry to another host is forwarded to the holder and gets its answer") {
  Fleet fleet(2);
  REQUIRE(Is<WaitForAction>(fleet.Send(0, 1)));
  REQUIRE(fleet.SyncRuns(0) == 1);
  fleet.Sync(1);
  const ClaimDecision resend = fleet.Send(1, 2);
  REQUIRE(Is<ForwardToHolder>(resend));
  CHECK(std::get<ForwardToHolder>(resend).holder == fleet.id(0));
  fleet.table(0).OnDispatchDecided(1);
  REQUIRE(Is<WaitForAction>(fleet.Send(0, 3, kBody, true)));
  // The first caller may have disconnected; its answer still serves retries.
  const auto actions = fleet.table(0).OnFinished(1, FinishKind::kAnswered,
                                                 AnswerOf("whole"), fleet.now);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<ReplayAnswer>(actions[0].decision).answer.body == "whole");
  CHECK(Is<ReplayAnswer>(fleet.Send(0, 4)));
  fleet.now += ClaimOptions().answer_retention;
  fleet.table(0).OnTick(fleet.now);
  CHECK(CodeOf(fleet.Send(0, 5)) == ResultCode::kAnswerNotKept);
}

TEST_CASE("of two concurrent claims the one at the lower offset wins") {
  Fleet fleet(2);
  fleet.Send(0, 1);
  fleet.Send(1, 2);
  fleet.Append(1);
  fleet.Append(0);
  CHECK(fleet.SyncRuns(1) == 1);
  const auto actions = fleet.Sync(0);
  REQUIRE(actions.size() == 1);
  CHECK(Is<ForwardToHolder>(actions[0].decision));
}

TEST_CASE("a request whose answer was lost or not stored never runs again") {
  const bool lost = GENERATE(true, false);
  ClaimOptions options;
  options.max_answer_bytes = 3;
  Fleet fleet(1, options);
  fleet.Send(0, 1);
  fleet.SyncRuns(0);
  fleet.table(0).OnDispatchDecided(1);
  fleet.table(0).OnFinished(
      1, lost ? FinishKind::kOutcomeUnknown : FinishKind::kAnswered,
      AnswerOf("long"), fleet.now);
  CHECK(CodeOf(fleet.Send(0, 2)) ==
        (lost ? ResultCode::kUpstreamLost : ResultCode::kAnswerNotKept));
}

TEST_CASE(
    "stored answers stay within their memory bound; the oldest are evicted") {
  ClaimOptions options;
  options.max_answer_bytes = 10;
  Fleet fleet(1, options);
  for (uint64_t key = 1; key <= 3; ++key) {
    fleet.SendKey(0, key, key);
    fleet.SyncRuns(0);
    fleet.table(0).OnDispatchDecided(key);
    fleet.table(0).OnFinished(key, FinishKind::kAnswered, AnswerOf("1234"),
                              fleet.now);
  }
  CHECK(fleet.table(0).Stats().answer_bytes <= 10);
  CHECK(CodeOf(fleet.SendKey(0, 11, 1)) == ResultCode::kAnswerNotKept);
  CHECK(Is<ReplayAnswer>(fleet.SendKey(0, 13, 3)));
}

TEST_CASE("a key that is reused with another request body is refused") {
  Fleet fleet(2);
  fleet.Send(0, 1);
  CHECK(CodeOf(fleet.Send(0, 2, kBody + 1)) == ResultCode::kKeyReused);
  fleet.SyncRuns(0);
  fleet.Sync(1);
  CHECK(CodeOf(fleet.Send(1, 3, kBody + 1)) == ResultCode::kKeyReused);
}

TEST_CASE("\"not run\" is reported only if the holder sent nothing") {
  Fleet fleet(2);
  std::vector<ClaimAction> actions;
  fleet.Send(0, 1);
  SECTION("claim not on the log: another host may run the key") {
    CHECK(fleet.GiveUp(0, 1) == ResultCode::kClaimUnknown);
  }
  SECTION("claim may be on the log") {
    fleet.now += std::chrono::seconds(1);
    REQUIRE(fleet.table(0).NextBatchToAppend(fleet.now).has_value());
    CHECK(fleet.GiveUp(0, 1) == ResultCode::kClaimUnknown);
  }
  SECTION("claim won, nothing sent") {
    fleet.SyncRuns(0);
    CHECK(fleet.GiveUp(0, 1) == ResultCode::kQueueFull);
  }
  SECTION("bytes may have been sent") {
    fleet.SyncRuns(0);
    fleet.table(0).OnDispatchDecided(1);
    CHECK(fleet.GiveUp(0, 1) == ResultCode::kClaimUnknown);
  }
  SECTION("the upstream refused before running it") {
    fleet.SyncRuns(0);
    fleet.table(0).OnDispatchDecided(1);
    fleet.table(0).OnNotRun(1);
    CHECK(fleet.GiveUp(0, 1) == ResultCode::kQueueFull);
  }
}

TEST_CASE(
    "a later claim wins only if its host had read the release before it") {
  Fleet fleet(2);
  fleet.Send(0, 1);
  fleet.SyncRuns(0);
  fleet.GiveUp(0, 1);
  CHECK_FALSE(fleet.table(0).NextBatchToAppend(fleet.now).has_value());
  const bool crossing = GENERATE(true, false);
  if (crossing) {
    // Host 1 has not read the first claim when the second attempt arrives.
    REQUIRE(Is<WaitForAction>(fleet.Send(1, 2)));
  }
  fleet.now += ClaimOptions().release_delay;
  fleet.Append(0);
  if (!crossing) {
    fleet.Sync(1);
    REQUIRE(Is<WaitForAction>(fleet.Send(1, 2)));
  }
  fleet.Append(1);
  const auto actions = fleet.Sync(1);
  REQUIRE(actions.size() == 1);
  if (crossing)
    CHECK(CodeOf(actions[0].decision) == ResultCode::kClaimUnknown);
  else
    CHECK(Is<RunRequest>(actions[0].decision));
}

TEST_CASE("a delayed duplicate of a release does not release the next claim") {
  Fleet fleet(2);
  fleet.Send(0, 1);
  fleet.SyncRuns(0);
  fleet.GiveUp(0, 1);
  fleet.now += ClaimOptions().release_delay;
  const auto release = fleet.table(0).NextBatchToAppend(fleet.now);
  REQUIRE(release.has_value());
  fleet.Land(*release);
  fleet.Sync(0);
  fleet.Send(0, 2);
  REQUIRE(fleet.SyncRuns(0) == 1);
  fleet.Land(*release);
  fleet.Sync(1);
  CHECK(Is<ForwardToHolder>(fleet.Send(1, 3)));
}

TEST_CASE(
    "while its release may be on the log, a key neither runs nor is reported "
    "as not run") {
  Fleet fleet(2);
  fleet.Send(0, 1);
  fleet.SyncRuns(0);
  fleet.GiveUp(0, 1);
  // This attempt may have been sent before the caller received "not run".
  CHECK(CodeOf(fleet.Send(0, 2)) == ResultCode::kClaimReleased);
  fleet.now += ClaimOptions().release_delay;
  const bool taken = GENERATE(true, false);
  if (taken) {
    REQUIRE(fleet.table(0).NextBatchToAppend(fleet.now).has_value());
    CHECK(CodeOf(fleet.Send(0, 3)) == ResultCode::kClaimUnknown);
  } else {
    CHECK(Is<RunRequest>(fleet.Send(0, 3)));
  }
}

TEST_CASE("a restarted host does not run a key that it claimed before") {
  Fleet fleet(1);
  ClaimTable restarted({"host0", 2}, ClaimOptions());
  restarted.OnReadStart(kFirstOffset, fleet.end());
  restarted.OnRecords({fleet.record(kFirstOffset)}, {});
  const UuidKey key{{0, 1}, kStart};
  REQUIRE(Is<WaitForAction>(restarted.OnRequest(1, key, kBody, false, {})));
  const auto batch = restarted.NextBatchToAppend(TimePoint());
  REQUIRE(batch.has_value());
  ClaimBatch earlier = *batch;
  earlier.holder.incarnation = 1;
  CHECK(restarted.OnRecords({{2, kStart, earlier}}, {}).empty());
  const auto actions = restarted.OnRecords({{3, kStart, *batch}}, {});
  REQUIRE(actions.size() == 1);
  CHECK(CodeOf(actions[0].decision) == ResultCode::kHolderUnreachable);
}

TEST_CASE(
    "a claim whose append result was lost wins when it is read, and is not "
    "appended again") {
  Fleet fleet(1);
  fleet.Send(0, 1);
  fleet.now += std::chrono::seconds(1);
  const auto batch = fleet.table(0).NextBatchToAppend(fleet.now);
  REQUIRE(batch.has_value());
  fleet.Land(*batch);
  fleet.table(0).OnAppendResult(batch->number, AppendOutcome::kUnknown,
                                fleet.now);
  const auto actions = fleet.Sync(0);
  REQUIRE(actions.size() == 1);
  CHECK(Is<RunRequest>(actions[0].decision));
  fleet.now += std::chrono::seconds(1);
  CHECK_FALSE(fleet.table(0).NextBatchToAppend(fleet.now).has_value());
}

TEST_CASE(
    "a claim that wins after its caller disconnected is released for others") {
  Fleet fleet(2);
  fleet.Send(0, 1);
  fleet.Append(0);
  fleet.GiveUp(0, 1);
  CHECK(fleet.Sync(0).empty());
  fleet.now += ClaimOptions().release_delay;
  fleet.Append(0);
  fleet.Sync(1);
  fleet.Send(1, 2);
  CHECK(fleet.SyncRuns(1) == 1);
}

TEST_CASE(
    "a key older than the retained log is refused, never reported as not run") {
  const auto [age_seconds, code] = GENERATE(table<int, ResultCode>({
      {59, ResultCode::kOk},
      {60, ResultCode::kKeyTooOld},
      {3600, ResultCode::kKeyTooOld},
      {-3600, ResultCode::kClaimUnknown},  // the caller's clock is far ahead
  }));
  Fleet fleet(1);
  // The first retained record has the time kStart; max_clock_skew is one
  // minute.
  fleet.LoseBefore(kStart);
  fleet.wall = kStart + std::chrono::seconds(120);
  const WallTime key_time =
      kStart + std::chrono::seconds(120) - std::chrono::seconds(age_seconds);
  ClaimDecision decision = fleet.SendUuid(0, 1, {{0, 77}, key_time}, kBody);
  if (Is<WaitForAction>(decision)) {
    fleet.Append(0);
    const auto actions = fleet.Sync(0);
    REQUIRE(actions.size() == 1);
    decision = actions[0].decision;
  }
  if (code == ResultCode::kOk)
    CHECK(Is<RunRequest>(decision));
  else
    CHECK(CodeOf(decision) == code);
}

TEST_CASE(
    "until a host has caught up with the log, the outcome of any key is "
    "unknown") {
  ClaimTable table({"a", 1}, ClaimOptions());
  const UuidKey key{{0, 1}, kStart + std::chrono::hours(1)};
  CHECK(CodeOf(table.OnRequest(1, key, kBody, false, {})) ==
        ResultCode::kClaimUnknown);
  table.OnReadStart(5, 7);
  table.OnRecords({{5, kStart, ClaimBatch()}}, {});
  CHECK(CodeOf(table.OnRequest(2, key, kBody, false, {})) ==
        ResultCode::kClaimUnknown);
  table.OnRecords({{6, kStart, ClaimBatch()}}, {});
  CHECK(Is<WaitForAction>(table.OnRequest(3, key, kBody, false, {})));
}

TEST_CASE(
    "after a gap or an unreadable record, the outcome of older keys is "
    "unknown") {
  const bool unreadable = GENERATE(true, false);
  Fleet fleet(1);
  fleet.Send(0, 1);
  fleet.Append(0);
  std::vector<ClaimRecord> records = {{fleet.end() + 5, kStart, ClaimBatch()}};
  if (unreadable) {
    // A record that this version cannot decode may contain the winning claim.
    records = {{2, kStart, std::nullopt}};
    records.push_back({3, kStart, fleet.record(2).batch});
  }
  const auto actions = fleet.table(0).OnRecords(records, fleet.now);
  REQUIRE(actions.size() == 1);
  CHECK(CodeOf(actions[0].decision) == ResultCode::kClaimUnknown);
  CHECK(CodeOf(fleet.Send(0, 2)) == ResultCode::kKeyTooOld);
}

TEST_CASE(
    "a token runs once, without the log and only on the incarnation that "
    "issued it") {
  ClaimOptions options;
  options.max_used_tokens = 2;
  ClaimTable table({"a", 2}, options);
  const auto token = [](uint64_t incarnation, uint64_t number) {
    return TokenKey{{incarnation, number}, {"a", incarnation}, number};
  };
  for (int i = 0; i < 4; ++i)
    table.IssueToken();
  CHECK(Is<RunRequest>(table.OnRequest(1, token(2, 1), kBody, false, {})));
  CHECK(CodeOf(table.OnRequest(2, token(1, 1), kBody, false, {})) ==
        ResultCode::kHolderUnreachable);
  CHECK(CodeOf(table.OnRequest(3, token(1, 1), kBody, true, {})) ==
        ResultCode::kClaimUnknown);
  const TokenKey elsewhere{{9, 9}, {"b", 1}, 1};
  CHECK(Is<ForwardToHolder>(table.OnRequest(4, elsewhere, kBody, false, {})));
  // A forwarded request may be the one that runs.
  CHECK(Is<RunRequest>(table.OnRequest(5, token(2, 2), kBody, true, {})));
  CHECK(Is<RunRequest>(table.OnRequest(6, token(2, 3), kBody, false, {})));
  for (RequestId request : {1, 5, 6}) {
    table.OnDispatchDecided(request);
    table.OnFinished(request, FinishKind::kAnswered, AnswerOf("x"), {});
  }
  table.OnTick(TimePoint() + options.answer_retention);
  // The entry of token 1 is evicted to bound memory; the token must not run a
  // second time.
  CHECK(CodeOf(table.OnRequest(7, token(2, 1), kBody, false, {})) ==
        ResultCode::kKeyTooOld);
  CHECK(CodeOf(table.OnRequest(8, token(2, 2), kBody, false, {})) ==
        ResultCode::kAnswerNotKept);
  CHECK(CodeOf(table.OnRequest(9, token(2, 99), kBody, false, {})) ==
        ResultCode::kKeyTooOld);
}

TEST_CASE("with a log that was never truncated, keys of any age may run") {
  ClaimTable table({"a", 1}, ClaimOptions());
  table.OnReadStart(kFirstOffset, kFirstOffset + 1);
  table.OnRecords({{kFirstOffset, kStart, ClaimBatch()}}, {});
  const UuidKey key{{0, 1}, kStart - std::chrono::hours(1)};
  CHECK(Is<WaitForAction>(table.OnRequest(1, key, kBody, false, {})));
}

TEST_CASE(
    "the index expires old claims, evicts beyond its bound, and no longer "
    "covers their keys") {
  ClaimIndexOptions options;
  options.max_entries = 10;
  ClaimIndex index(options);
  index.StartReading(kFirstOffset, kFirstOffset);
  for (uint64_t i = 0; i < 20; ++i) {
    ClaimBatch batch;
    batch.holder = {"h" + std::to_string(i), 1};
    batch.claims = {{{0, i}, 0, kStart + std::chrono::seconds(i), i}};
    index.ApplyRecord(kFirstOffset + i, kStart + std::chrono::seconds(i),
                      batch);
  }
  CHECK(index.size() == 10);
  CHECK_FALSE(index.FindClaim({0, 9}).has_value());
  CHECK(index.FindClaim({0, 10}).has_value());
  CHECK_FALSE(index.CoversKeyTime(kStart + std::chrono::seconds(9) +
                                  options.max_clock_skew));
  CHECK(index.CoversKeyTime(kStart + std::chrono::seconds(10) +
                            options.max_clock_skew));
  index.ApplyRecord(kFirstOffset + 20,
                    kStart + options.claim_window + std::chrono::minutes(1),
                    ClaimBatch());
  CHECK(index.size() == 0);
}

}  // namespace teaselhill::claims
