/// \file
/// Guards against crashes that go uncounted because the crashed upstream's
/// address does not refuse connections, and against plain resets, cuts and slow
/// upstreams that are taken for crashes.

#include "teaselhill/gateway/loss_reviewer.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = ProbeReport::Outcome;

constexpr const char* kId = "e";
constexpr const char* kOtherId = "f";
constexpr uint64_t kWallStartMs = 1'700'000'000'000;

/// One event after a loss at time 0.
struct Step {
  enum class Kind {
    kProbe,      ///< with `outcome` and the identity
    kData,       ///< on a connection that is older than the loss
    kNewData,    ///< on a connection that is younger
    kRestart,    ///< the entry names a process that started at `at`
    kReplace,    ///< another id registers at the address
    kDrain,      ///< the entry says that the upstream leaves
    kLapse,      ///< the entry is removed
    kUnchanged,  ///< the entry is still there
  };
  milliseconds at;
  Kind kind;
  Outcome outcome = Outcome::kSilent;
  UpstreamIdentity identity = {};
};

enum class Expected { kUndecided, kCrashed, kAlive };

struct Fixture {
  explicit Fixture(uint64_t incarnation) {
    entry.id = kId;
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.incarnation = incarnation;
    list.by_service["s"].push_back(entry);
  }

  TimePoint At(milliseconds at) const { return start + at; }
  static WallTime WallAt(milliseconds at) {
    return WallTime(milliseconds(kWallStartMs) + at);
  }

  void Apply(const Step& step) {
    const TimePoint now = At(step.at);
    switch (step.kind) {
      case Step::Kind::kProbe: {
        reviewer.TakeDueProbes(now);
        const UpstreamProcess process{kId, entry.incarnation};
        Keep(reviewer.OnProbe(process, {step.outcome, step.identity, now},
                              reaches_others, now, WallAt(step.at)));
        return;
      }
      case Step::Kind::kData:
        return Keep(reviewer.OnData(kId, start - seconds(1), now));
      case Step::Kind::kNewData:
        return Keep(reviewer.OnData(kId, now - milliseconds(1), now));
      case Step::Kind::kRestart:
        list.by_service["s"][0].incarnation =
            kWallStartMs + static_cast<uint64_t>(step.at.count());
        break;
      case Step::Kind::kReplace:
        list.by_service["s"].push_back(entry);
        list.by_service["s"].back().id = kOtherId;
        break;
      case Step::Kind::kDrain:
        list.by_service["s"].clear();
        list.draining_ids.insert(kId);
        break;
      case Step::Kind::kLapse:
        list.by_service["s"].clear();
        break;
      case Step::Kind::kUnchanged:
        break;
    }
    Keep(reviewer.OnDirectory(list, now, now));
  }

  void Keep(const std::vector<LossVerdict>& verdicts) {
    for (const LossVerdict& verdict : verdicts) {
      if (verdict.after < start && verdict.until >= start)
        result = verdict.crashed ? Expected::kCrashed : Expected::kAlive;
      ever_crashed |= verdict.crashed;
    }
  }

  TimePoint start = TimePoint(std::chrono::hours(5));
  UpstreamEntry entry;
  UpstreamList list;
  LossReviewer reviewer;
  bool ever_crashed = false;
  bool reaches_others = true;  ///< the host has reached an upstream since
  Expected result = Expected::kUndecided;
};

}  // namespace

TEST_CASE("a loss is a crash until its process is seen alive") {
  using Kind = Step::Kind;
  const UpstreamIdentity own{kId, {}};
  const UpstreamIdentity other{kOtherId, {}};
  const UpstreamIdentity unknown;
  const UpstreamIdentity older{kId, 1};
  const UpstreamIdentity newer{kId, kWallStartMs + 15};
  const milliseconds probe_at(30);
  struct Row {
    const char* name;
    /// 0: each start of the upstream has a new id.
    uint64_t incarnation;
    std::vector<Step> steps;
    Expected expected;
  };
  const Row row = GENERATE_COPY(values<Row>({
      {"nothing is known", 0, {}, Expected::kUndecided},
      {"the port refuses",
       0,
       {{probe_at, Kind::kProbe, Outcome::kRefused}},
       Expected::kCrashed},
      {"a forwarder accepts and resets",
       0,
       {{probe_at, Kind::kProbe, Outcome::kClosed}},
       Expected::kCrashed},
      {"another id answers at once",
       0,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, other}},
       Expected::kCrashed},
      {"a later start of the same id answers at once",
       1,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, newer}},
       Expected::kCrashed},
      {"the same id answers at once, and its entry names a new start",
       1,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, own},
        {milliseconds(20), Kind::kRestart}},
       Expected::kCrashed},
      {"the same id answers, and restarts long after that",
       1,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, own},
        {milliseconds(2000), Kind::kRestart}},
       Expected::kAlive},
      {"another id registers at the address",
       0,
       {{milliseconds(400), Kind::kReplace}},
       Expected::kCrashed},
      {"silent once", 0, {{probe_at, Kind::kProbe}}, Expected::kUndecided},
      {"silent twice",
       0,
       {{probe_at, Kind::kProbe}, {milliseconds(450), Kind::kProbe}},
       Expected::kUndecided},
      {"silent for longer than a sound process may be",
       0,
       {{probe_at, Kind::kProbe}, {milliseconds(1600), Kind::kProbe}},
       Expected::kCrashed},
      {"the entry lapses",
       0,
       {{milliseconds(3000), Kind::kLapse}},
       Expected::kCrashed},
      {"a plain reset: the same id answers",
       0,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, own}},
       Expected::kAlive},
      {"a plain reset: the same start answers",
       1,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, older}},
       Expected::kAlive},
      {"a plain reset: another stream goes on",
       1,
       {{milliseconds(120), Kind::kData}},
       Expected::kAlive},
      {"data that may have been sent before the crash",
       0,
       {{milliseconds(10), Kind::kData}},
       Expected::kUndecided},
      {"data on a connection that is younger than the loss",
       0,
       {{milliseconds(200), Kind::kNewData}},
       Expected::kUndecided},
      {"something that gives no id answers",
       0,
       {{probe_at, Kind::kProbe, Outcome::kAnswered, unknown}},
       Expected::kUndecided},
      {"a cut that refuses and heals",
       0,
       {{probe_at, Kind::kProbe, Outcome::kRefused},
        {milliseconds(900), Kind::kProbe, Outcome::kAnswered, own}},
       Expected::kAlive},
      {"refuses, and then the same id answers under a new start",
       1,
       {{probe_at, Kind::kProbe, Outcome::kRefused},
        {milliseconds(900), Kind::kProbe, Outcome::kAnswered, own},
        {milliseconds(880), Kind::kRestart}},
       Expected::kCrashed},
      {"a cut heals, and the entry of the id does not change",
       1,
       {{probe_at, Kind::kProbe, Outcome::kClosed},
        {milliseconds(900), Kind::kProbe, Outcome::kAnswered, own},
        {milliseconds(2901), Kind::kUnchanged}},
       Expected::kAlive},
      {"a long cut: the entry is renewed all the while",
       0,
       {{probe_at, Kind::kProbe, Outcome::kClosed},
        {milliseconds(6001), Kind::kUnchanged}},
       Expected::kAlive},
      {"the upstream says that it leaves",
       0,
       {{milliseconds(300), Kind::kDrain}},
       Expected::kAlive},
  }));
  INFO(row.name);
  Fixture fixture(row.incarnation);
  REQUIRE(fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list,
                                            fixture.start - milliseconds(5),
                                            fixture.start));
  for (const Step& step : row.steps)
    fixture.Apply(step);
  CHECK(fixture.result == row.expected);
}

TEST_CASE("a process that is lost cannot crash again until it is seen alive") {
  Fixture fixture(0);
  const auto lose = [&](milliseconds sent_at, milliseconds lost_at) {
    return fixture.reviewer.OnConnectionLost(
        fixture.entry, fixture.list, fixture.At(sent_at), fixture.At(lost_at));
  };
  CHECK(lose(milliseconds(-5), milliseconds(0)));
  // In flight at the same crash.
  CHECK(lose(milliseconds(-100), milliseconds(2)));
  // A forwarder accepts the next request and resets it.
  CHECK_FALSE(lose(milliseconds(40), milliseconds(41)));
  fixture.Apply({milliseconds(50), Step::Kind::kProbe, Outcome::kClosed});
  CHECK_FALSE(lose(milliseconds(60), milliseconds(61)));
  fixture.Apply({milliseconds(900),
                 Step::Kind::kProbe,
                 Outcome::kAnswered,
                 {kId, std::nullopt}});
  CHECK(lose(milliseconds(950), milliseconds(951)));
}

// Guards against crashes that do not count because a caller left the upstream
// shortly before: nobody knows whether it had crashed by then.
TEST_CASE("an attempt that was given up hides no crash after it") {
  Fixture fixture(0);
  const auto lose = [&](milliseconds sent_at, milliseconds lost_at,
                        LossKind kind) {
    return fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list,
                                             fixture.At(sent_at),
                                             fixture.At(lost_at), kind);
  };
  CHECK(lose(milliseconds(-300), milliseconds(0), LossKind::kGivenUp));
  CHECK(lose(milliseconds(26), milliseconds(27), LossKind::kConnectionLost));
  CHECK_FALSE(
      lose(milliseconds(60), milliseconds(61), LossKind::kConnectionLost));
}

// Guards against innocent requests that are refused for a cut that had healed
// long before the process crashed.
TEST_CASE("a crash says nothing of a loss that the process had outlived") {
  Fixture fixture(0);
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list, fixture.start,
                                    fixture.start);
  fixture.Apply({milliseconds(30), Step::Kind::kProbe, Outcome::kClosed});
  CHECK(fixture.result == Expected::kCrashed);
  fixture.Apply({milliseconds(2000),
                 Step::Kind::kProbe,
                 Outcome::kAnswered,
                 {kId, std::nullopt}});
  CHECK(fixture.result == Expected::kAlive);
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list,
                                    fixture.At(milliseconds(2900)),
                                    fixture.At(seconds(3)));
  fixture.Apply({milliseconds(3030), Step::Kind::kProbe, Outcome::kClosed});
  CHECK(fixture.result == Expected::kAlive);
}

// Guards against crashes that are taken back because the next process answers
// under the same id, while the store is away and cannot name its start.
TEST_CASE("a sign of life says nothing of a loss before an earlier review") {
  const bool by_response = GENERATE(true, false);
  Fixture fixture(kWallStartMs - 1000);
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list, fixture.start,
                                    fixture.start);
  fixture.Apply({milliseconds(30), Step::Kind::kProbe, Outcome::kRefused});
  CHECK(fixture.result == Expected::kCrashed);
  fixture.Keep(fixture.reviewer.OnDirectory(fixture.list, fixture.start,
                                            fixture.At(seconds(7))));
  CHECK(fixture.reviewer.empty());
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list,
                                    fixture.At(milliseconds(7900)),
                                    fixture.At(seconds(8)));
  if (by_response)
    fixture.Apply({milliseconds(8050),
                   Step::Kind::kProbe,
                   Outcome::kAnswered,
                   {kId, std::nullopt}});
  else
    fixture.Keep(fixture.reviewer.OnData(kId, fixture.At(milliseconds(7950)),
                                         fixture.At(milliseconds(8200))));
  CHECK(fixture.result == Expected::kCrashed);
}

TEST_CASE("a predecessor whose entry has not lapsed is no successor") {
  Fixture fixture(0);
  fixture.list.by_service["s"].push_back(fixture.entry);
  fixture.list.by_service["s"].back().id = kOtherId;
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list, fixture.start,
                                    fixture.start);
  fixture.Keep(
      fixture.reviewer.OnDirectory(fixture.list, fixture.start, fixture.start));
  CHECK(fixture.result == Expected::kUndecided);
}

TEST_CASE("probes go on until the process is seen alive, and then end") {
  Fixture fixture(0);
  CHECK_FALSE(fixture.reviewer.NextDue());
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list, fixture.start,
                                    fixture.start);
  CHECK(fixture.reviewer.NextDue() == fixture.At(milliseconds(30)));
  CHECK(fixture.reviewer.TakeDueProbes(fixture.At(milliseconds(29))).empty());
  CHECK(fixture.reviewer.TakeDueProbes(fixture.At(milliseconds(30))).size() ==
        1);
  CHECK(fixture.reviewer.TakeDueProbes(fixture.At(milliseconds(31))).empty());
  fixture.Apply({milliseconds(40), Step::Kind::kProbe, Outcome::kRefused});
  CHECK(fixture.reviewer.TakeDueProbes(fixture.At(milliseconds(2000))).size() ==
        1);
  fixture.Apply({milliseconds(2001),
                 Step::Kind::kProbe,
                 Outcome::kAnswered,
                 {kId, std::nullopt}});
  CHECK(fixture.reviewer.empty());
}

TEST_CASE("a host that reaches no upstream takes none for crashed") {
  using Kind = Step::Kind;
  struct Row {
    const char* name;
    Outcome outcome;
    bool reaches_others;
    Expected expected;
  };
  const Row row = GENERATE(values<Row>({
      {"refused, cut off", Outcome::kRefused, false, Expected::kUndecided},
      {"closed, cut off", Outcome::kClosed, false, Expected::kUndecided},
      {"silent, cut off", Outcome::kSilent, false, Expected::kUndecided},
      {"refused", Outcome::kRefused, true, Expected::kCrashed},
      {"closed", Outcome::kClosed, true, Expected::kCrashed},
      {"silent", Outcome::kSilent, true, Expected::kCrashed},
  }));
  INFO(row.name);
  Fixture fixture(kWallStartMs - 60000);
  fixture.reaches_others = row.reaches_others;
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list,
                                    fixture.start - milliseconds(50),
                                    fixture.start);
  for (int i = 1; i <= 4; ++i)
    fixture.Apply({milliseconds(400 * i), Kind::kProbe, row.outcome});
  CHECK(fixture.result == row.expected);
}

TEST_CASE("a sound upstream that is silent for a second has not crashed") {
  using Kind = Step::Kind;
  const LossKind kind = GENERATE(LossKind::kGivenUp, LossKind::kConnectionLost);
  const bool answers = GENERATE(true, false);
  CAPTURE(kind == LossKind::kGivenUp, answers);
  Fixture fixture(kWallStartMs - 60000);
  fixture.reviewer.OnConnectionLost(fixture.entry, fixture.list,
                                    fixture.start - milliseconds(500),
                                    fixture.start, kind);
  for (const int at : {330, 450, 700, 1000, 1300})
    fixture.Apply({milliseconds(at), Kind::kProbe, Outcome::kSilent});
  CHECK_FALSE(fixture.ever_crashed);
  // One that stays silent has.
  for (const int at : {1600, 1900, 2600})
    fixture.Apply({milliseconds(at),
                   Kind::kProbe,
                   answers ? Outcome::kAnswered : Outcome::kSilent,
                   {kId, {}}});
  CHECK(fixture.ever_crashed != answers);
}

}  // namespace teaselhill::gateway
