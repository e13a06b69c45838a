/// \file
/// Guards the client's verdicts: a change told as failed that took effect,
/// appended twice with two effects, or told as accepted on a log that restarted
/// with less.

#include "teaselhill/ctl/config_session.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace teaselhill::ctl {

namespace {

using config::ChangeAction;
using config::ObjectKind;
using config::VerdictKind;
using services::LogPage;

/// How the log treats one append.
enum class Fate { kAnswered, kLostAfter, kLostBefore, kRefused };

class FakeLog : public services::LogClient {
 public:
  void Append(const std::string& stream,
              std::vector<std::string> records,
              services::AppendCallback callback) override {
    const Fate fate = fates.empty() ? Fate::kAnswered : fates.back();
    if (!fates.empty())
      fates.pop_back();
    auto& target = streams[stream];
    const LogOffset first = target.size() + 1;
    if (fate == Fate::kAnswered || fate == Fate::kLostAfter)
      target.insert(target.end(), records.begin(), records.end());
    if (fate == Fate::kAnswered)
      callback(first);
    else
      callback({fate == Fate::kRefused ? ResultCode::kLogRateLimited
                                       : ResultCode::kAppendUnknown,
                "no answer"});
  }

  void Read(const services::LogRead& read,
            services::ReadCallback callback) override {
    if (read.from < first_retained && read.stream == config::kConfigStream)
      return callback({ResultCode::kOffsetDropped, "dropped"});
    if (lost_reads > 0 && lost_reads-- > 0)
      return callback({ResultCode::kLogUnavailable, "no answer"});
    const auto& records = streams[read.stream];
    LogPage page;
    page.first_retained = 1;
    page.next_offset = records.size() + 1;
    for (LogOffset at = read.from; at <= records.size(); ++at)
      page.records.push_back({at, {}, records[at - 1]});
    callback(page);
  }

  std::map<std::string, std::vector<std::string>> streams;
  std::vector<Fate> fates;  ///< of the coming appends, the next one last
  LogOffset first_retained = 1;
  int lost_reads = 0;  ///< coming reads that get no answer
};

struct NoWait : public Waiter {
  void Until(const std::function<bool()>& done) override { REQUIRE(done()); }
  void Sleep(Duration) override {}
};

config::Change MakeChange(const std::string& id) {
  config::UpstreamAssignment assignment;
  assignment.name = "e1";
  assignment.url = "http://127.0.1.1:1";
  assignment.domain = "d";
  return {id,
          {ObjectKind::kAssignment, "e1"},
          ChangeAction::kPut,
          "operator",
          config::kNoRevision,
          assignment};
}

struct Fixture {
  Fixture() : session(log, waiter) {}

  std::vector<std::string>& records() {
    return log.streams[std::string(config::kConfigStream)];
  }

  FakeLog log;
  NoWait waiter;
  ConfigSession session;
};

}  // namespace

TEST_CASE("a change is settled by reading whatever answers are lost") {
  rc::prop("any fates of the appends", [] {
    Fixture f;
    f.log.fates = *rc::gen::container<std::vector<Fate>>(rc::gen::element(
        Fate::kAnswered, Fate::kLostAfter, Fate::kLostBefore, Fate::kRefused));
    RC_ASSERT(f.session.Load().ok());
    const auto verdict = f.session.Submit(MakeChange("a"));
    // An appended change is told as accepted, and it is on the log once.
    RC_ASSERT(verdict.ok() == !f.records().empty());
    RC_ASSERT(f.records().size() <= 1U);
    if (verdict)
      RC_ASSERT(verdict->kind == VerdictKind::kAccepted);
    // A sure refusal is only told when no append may have arrived.
    else
      RC_ASSERT(verdict.error().code == ResultCode::kAppendUnknown ||
                verdict.error().code == ResultCode::kLogRateLimited);
  });
}

TEST_CASE_METHOD(Fixture, "a lost read does not end a command") {
  const int lost = GENERATE(1, 3);
  log.lost_reads = lost;
  REQUIRE(session.Load().ok());
  log.lost_reads = lost;
  CHECK(session.Submit(MakeChange("a")).ok());
  log.lost_reads = 1000;  // an outage is told after a bounded number of reads
  CHECK(session.Load().error().code == ResultCode::kLogUnavailable);
  CHECK(log.lost_reads > 980);
}

TEST_CASE_METHOD(Fixture, "a change on a shortened log gets a valid offset") {
  config::ConfigState ahead;
  for (LogOffset at = 1; at <= 5; ++at)
    ahead.Apply(at, config::EncodePadding());
  log.streams[std::string(config::kSnapshotStream)] = {"{}", ahead.Export()};
  records() = {config::EncodePadding(), config::EncodePadding()};
  REQUIRE(session.Load().ok());
  CHECK(session.log_restarted_with_less());
  const auto verdict = session.Submit(MakeChange("a"));
  REQUIRE(verdict.ok());
  CHECK(verdict->kind == VerdictKind::kAccepted);
  CHECK(verdict->offset == 6);
}

TEST_CASE_METHOD(Fixture, "the loser is told whom it lost to") {
  records() = {config::EncodeChange(MakeChange("other"))};
  REQUIRE(session.Load().ok());
  const auto verdict = session.Submit(MakeChange("mine"));
  REQUIRE(verdict.ok());
  CHECK(verdict->kind == VerdictKind::kConflict);
  CHECK(verdict->current_revision == 1);
  CHECK(verdict->current_author == "operator");
}

TEST_CASE_METHOD(Fixture, "a gap that no snapshot covers is told") {
  log.first_retained = 3;
  const Status status = session.Load();
  REQUIRE_FALSE(status.ok());
  CHECK(status.error().code == ResultCode::kOffsetDropped);
}

}  // namespace teaselhill::ctl
