/// \file
/// Guards against wrong replay verdicts on conflicts, unsafe changes and
/// unreadable records, and against a wrong view of the configuration in force.

#include "teaselhill/config/config_state.h"

#include <catch2/catch.hpp>

#include "config_records.h"

namespace teaselhill::config {

namespace {

/// A state with engine e1 for model m1 (offset 1) and contract `a` on m1
/// (offset 2).
struct Fixture {
  Fixture() {
    REQUIRE(Add(PutAssignment(MakeEngine("e1", {"m1"}))).kind ==
            VerdictKind::kAccepted);
    REQUIRE(Add(PutContract(MakeContract("a", {"m1"}, 1))).kind ==
            VerdictKind::kAccepted);
  }

  Verdict Add(Change change) {
    change.change_id = "change-" + std::to_string(state.next_offset());
    return Append(EncodeChange(change));
  }

  Verdict Append(const std::string& record) {
    return state.Apply(state.next_offset(), record);
  }

  ConfigState state;
  const ObjectId contract_a{ObjectKind::kContract, "a"};
};

}  // namespace

TEST_CASE_METHOD(
    Fixture,
    "a conflicting change reports the current revision and its author") {
  Change accepted = PutContract(MakeContract("a", {"m1"}, 1), 2);
  accepted.author = "first";
  const Change conflicting = PutContract(MakeContract("a", {"m1"}, 2), 2);
  CHECK(Add(accepted).kind == VerdictKind::kAccepted);
  const Verdict verdict = Add(conflicting);
  CHECK(verdict.kind == VerdictKind::kConflict);
  CHECK(verdict.current_revision == 3);
  CHECK(verdict.current_author == "first");
  CHECK(state.History(contract_a).back().reason == verdict.reason);
}

TEST_CASE_METHOD(Fixture, "unsafe changes are rejected with the reason") {
  struct Row {
    Change change;
    const char* reason;
  };
  Contract large = MakeContract("b", {"m1"}, 2);
  large.limits.concurrency = 9;
  UpstreamAssignment drained = MakeEngine("e1", {"m1"});
  drained.draining = true;
  UpstreamAssignment same_url = MakeEngine("e2", {"m1"});
  same_url.url = MakeEngine("e1", {}).url;
  Change deletion = PutAssignment(MakeEngine("e1", {}), 1);
  deletion.action = ChangeAction::kDelete;
  deletion.body = {};
  Contract with_service = MakeContract("b", {"m1"}, 2);
  with_service.services = {"tag"};
  const std::vector<Row> rows = {
      {PutContract(MakeContract("b", {"m9"}, 2)), "unknown model 'm9'"},
      {PutContract(with_service), "unknown service 'tag'"},
      {PutContract(MakeContract("b", {"m1"}, 1)), "belongs to team"},
      {PutContract(large), "limits.concurrency of 9 is above the 8"},
      {PutAssignment(drained, 1), "would have no upstream left"},
      {PutAssignment(MakeEngine("e1", {"m2"}), 1), "no upstream left"},
      {deletion, "would have no upstream left"},
      {PutAssignment(MakeEngine("e1", {"m1"}, 3), 1), "promised to customer"},
      {PutAssignment(same_url), "belongs to upstream 'e1'"},
  };
  for (const Row& row : rows) {
    const Verdict verdict = Add(row.change);
    INFO(row.reason);
    CHECK(verdict.kind == VerdictKind::kUnsafe);
    CHECK_THAT(verdict.reason, Catch::Contains(row.reason));
  }
  // The first engine may be deleted once a second engine serves the model.
  CHECK(Add(PutAssignment(MakeEngine("e2", {"m1"}))).kind ==
        VerdictKind::kAccepted);
  CHECK(Add(deletion).kind == VerdictKind::kAccepted);
}

TEST_CASE_METHOD(Fixture,
                 "an unreadable record closes its own contract and no other") {
  const std::string record =
      GENERATE(as<std::string>(),
               R"({"format":2,"change_id":"x","object":"contract","name":"a",
          "author":"o","base_revision":2,"action":"put","body":{}})",
               R"({"object":"contract","name":"a"})",
               R"({"format":1,"change_id":"x","object":"contract","name":"a",
          "author":"o","base_revision":2,"action":"frobnicate"})");
  REQUIRE(Add(PutContract(MakeContract("b", {"m1"}, 2))).kind ==
          VerdictKind::kAccepted);
  CHECK(Append(record).kind == VerdictKind::kUnreadable);
  const auto closed = state.View();
  CHECK(closed->FindContract("a")->closed);
  CHECK(closed->FindKey(MakeKey(1))->closed);
  CHECK_FALSE(closed->FindKey(MakeKey(2))->closed);
  // Only a change based on the unreadable revision reopens the contract.
  CHECK(Add(PutContract(MakeContract("a", {"m1"}, 1), 2)).kind ==
        VerdictKind::kConflict);
  CHECK(Add(PutContract(MakeContract("a", {"m1"}, 1), 4)).kind ==
        VerdictKind::kAccepted);
  CHECK_FALSE(state.View()->FindContract("a")->closed);
}

TEST_CASE_METHOD(Fixture,
                 "an upstream whose latest record is unreadable is draining") {
  Append(R"({"object":"assignment","name":"e1"})");
  const auto view = state.View();
  CHECK(view->assignments.at("e1").assignment->draining);
  CHECK(view->assignments_by_domain.at("d1").at(0)->draining);
}

TEST_CASE_METHOD(Fixture,
                 "records that name no known object leave the view unchanged") {
  const auto before = state.View();
  for (const char* record : {"", "[]", "{", R"({"object":"quota","name":"a"})"})
    CHECK(Append(record).kind == VerdictKind::kUnreadable);
  CHECK(state.unattributed_records() == 4);
  CHECK(state.View() == before);
}

TEST_CASE_METHOD(
    Fixture,
    "a snapshot with a wrong checksum, format or field is rejected") {
  struct Row {
    const char* from;
    const char* to;
  };
  const auto row =
      GENERATE(values<Row>({{"\"through_offset\":2", "\"through_offset\":9"},
                            {"\"format\":1", "\"format\":2"},
                            {"brazos", "bravos"},
                            {"checksum", "chekcsum"}}));
  std::string snapshot = state.Export();
  const size_t at = snapshot.find(row.from);
  if (at == std::string::npos)
    snapshot[snapshot.size() / 2] ^= 1;
  else
    snapshot.replace(at, std::string(row.from).size(), row.to);
  ConfigState other;
  const auto outcome = other.Adopt(snapshot);
  REQUIRE_FALSE(outcome.ok());
  CHECK(outcome.error().code == ResultCode::kSnapshotInvalid);
  CHECK(other.next_offset() == kFirstOffset);
  CHECK(FindHighestSnapshot({state.Export(), snapshot}) == size_t{0});
}

TEST_CASE_METHOD(
    Fixture,
    "a gap and a log that restarted with fewer records are detected") {
  CHECK(state.ClassifyLog(1, 3) == LogCondition::kFollowing);
  CHECK(state.ClassifyLog(3, 9) == LogCondition::kFollowing);
  CHECK(state.ClassifyLog(4, 9) == LogCondition::kGap);
  CHECK(state.ClassifyLog(1, 2) == LogCondition::kRestartedWithFewerRecords);
}

}  // namespace teaselhill::config
