/// \file
/// Checks invariant I8 under random interleavings. Guards against replicas that
/// disagree on a verdict, two accepted changes for one base revision, and a
/// host that reverts to an older state.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "config_records.h"
#include "teaselhill/config/config_state.h"

namespace teaselhill::config {

namespace {

/// Small limits, so that the removal of change ids and deleted objects is
/// exercised.
constexpr ConfigLimits kSmallLimits{4, 2, 3, 2};

/// One record of a writer that may use a stale revision or reuse a change id.
struct Step {
  int kind = 0;  ///< 0 to 5: change; 6: unreadable; 7: note; 8: garbage
  int object = 0;
  int id = 0;   ///< 0: a new change id; 1 to 4: a reused one
  int lag = 0;  ///< number of revisions by which the base is stale
  int key = 0;
  int model = 0;
};

void showValue(const Step& step, std::ostream& os) {
  os << "{kind " << step.kind << ", object " << step.object << ", id "
     << step.id << ", lag " << step.lag << ", key " << step.key << ", model "
     << step.model << "}";
}

rc::Gen<std::vector<Step>> Steps() {
  using rc::gen::inRange;
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::kind, inRange(0, 9)),
      rc::gen::set(&Step::object, inRange(0, 6)),
      rc::gen::set(&Step::id, inRange(0, 5)),
      rc::gen::set(&Step::lag,
                   rc::gen::weightedElement<int>({{6, 0}, {2, 1}, {1, 2}})),
      rc::gen::set(&Step::key, inRange(0, 3)),
      rc::gen::set(&Step::model, inRange(0, 2))));
}

/// Converts steps into records; `revisions` has the past revisions of each
/// object.
std::vector<std::string> MakeLog(const std::vector<Step>& steps) {
  std::vector<std::string> log;
  ConfigState writer_view(kSmallLimits);
  std::map<ObjectId, std::vector<LogOffset>> revisions;
  for (const Step& step : steps) {
    const std::string number = std::to_string(step.object % 3);
    const std::string model = "m" + std::to_string(step.model);
    Change change =
        step.object < 3
            ? PutContract(MakeContract("c" + number, {model}, step.key))
            : PutAssignment(MakeEngine("e" + number, {model}));
    change.change_id = step.id == 0 ? "new-" + std::to_string(log.size())
                                    : "id-" + std::to_string(step.id);
    if (step.kind == 5) {
      change.action = ChangeAction::kDelete;
      change.body = {};
    }
    auto& past = revisions[change.object];
    const auto lag = static_cast<size_t>(step.lag);
    change.base_revision =
        lag < past.size() ? past[past.size() - 1 - lag] : kNoRevision;
    std::string record = EncodeChange(change);
    if (step.kind == 6)
      record.replace(record.find("\"format\":1"), 10, "\"format\":2");
    if (step.kind == 7)
      record = EncodeSnapshotNote(static_cast<LogOffset>(step.key) + 1);
    if (step.kind == 8)
      record = R"({"object":"contract"})";
    writer_view.Apply(log.size() + kFirstOffset, record);
    const LogOffset revision = writer_view.Revision(change.object);
    if (revision != kNoRevision && (past.empty() || past.back() != revision))
      past.push_back(revision);
    log.push_back(record);
  }
  return log;
}

std::string Describe(const Verdict& verdict) {
  return std::to_string(verdict.offset) + " " +
         std::string(VerdictName(verdict.kind)) + " " + verdict.change_id +
         " " + verdict.reason + " " + std::to_string(verdict.current_revision) +
         " " + verdict.current_author + " " +
         std::to_string(verdict.first_offset) + " " +
         std::string(VerdictName(verdict.first_kind));
}

}  // namespace

TEST_CASE(
    "replicas agree on verdicts and state whether they replay or adopt "
    "snapshots") {
  rc::prop("replay equals any mix of replay and snapshots", [] {
    const auto log = MakeLog(*Steps());
    // A slow host may append the snapshot of any offset, so the test makes a
    // snapshot for each offset.
    ConfigState replica(kSmallLimits);
    std::vector<std::string> verdicts;
    std::vector<std::string> snapshots;
    for (size_t i = 0; i < log.size(); ++i) {
      verdicts.push_back(Describe(replica.Apply(i + kFirstOffset, log[i])));
      snapshots.push_back(replica.Export());
    }
    ConfigState host(kSmallLimits);
    // An action of 0 or more adopts the snapshot at that index modulo the log's
    // length; a negative action applies the next record. After the last action
    // the remaining records are applied.
    const auto actions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(-20, 60));
    for (size_t at = 0; host.next_offset() <= log.size(); ++at) {
      const LogOffset before = host.next_offset();
      const int action = at < actions.size() ? actions[at] : -1;
      const size_t pick =
          action < 0 ? 0 : static_cast<size_t>(action) % log.size();
      if (action >= 0) {
        const auto outcome = host.Adopt(snapshots[pick]);
        RC_ASSERT(outcome.ok());
        RC_ASSERT((*outcome == SnapshotOutcome::kAdopted) ==
                  (pick + kFirstOffset >= before));
        RC_ASSERT(host.next_offset() >= before);
      } else {
        RC_ASSERT(Describe(host.Apply(before, log[before - kFirstOffset])) ==
                  verdicts[before - kFirstOffset]);
      }
      RC_ASSERT(host.Export() ==
                snapshots[host.next_offset() - 1 - kFirstOffset]);
    }
  });
}

TEST_CASE(
    "at most one change per base revision is accepted, and reused ids are "
    "duplicates") {
  rc::prop("winners and duplicates", [] {
    const auto log = MakeLog(*Steps());
    // The default limits exceed the generated logs, so no change id or object
    // is removed and the property holds without exception.
    ConfigState state;
    std::set<std::pair<ObjectId, LogOffset>> accepted_bases;
    std::map<std::string, VerdictKind> first;
    for (size_t i = 0; i < log.size(); ++i) {
      const Verdict verdict = state.Apply(i + kFirstOffset, log[i]);
      if (!verdict.object)
        continue;
      const bool accepted = verdict.kind == VerdictKind::kAccepted ||
                            verdict.kind == VerdictKind::kUnreadable;
      const std::pair<ObjectId, LogOffset> base{*verdict.object,
                                                verdict.base_revision};
      const bool repeated = first.count(verdict.change_id) != 0;
      RC_ASSERT((verdict.kind == VerdictKind::kDuplicate) == repeated);
      if (repeated)
        RC_ASSERT(verdict.first_kind == first[verdict.change_id]);
      first.emplace(verdict.change_id, verdict.kind);
      if (accepted) {
        RC_ASSERT(accepted_bases.insert(base).second);
        RC_ASSERT(state.Revision(*verdict.object) == verdict.offset);
      }
      // A change conflicts only with a current revision other than its base.
      if (verdict.kind == VerdictKind::kConflict)
        RC_ASSERT(verdict.current_revision != verdict.base_revision);
      if (verdict.kind == VerdictKind::kConflict &&
          accepted_bases.count(base) == 0)
        RC_ASSERT(verdict.current_revision == kNoRevision ||
                  verdict.base_revision != kNoRevision);
    }
  });
}

TEST_CASE(
    "a log that restarts with fewer records never reverts a host's state") {
  rc::prop("covered records and older snapshots change nothing", [] {
    const auto log = MakeLog(*Steps());
    const auto other_log = MakeLog(*Steps());
    ConfigState host(kSmallLimits);
    for (size_t i = 0; i < log.size(); ++i)
      host.Apply(i + kFirstOffset, log[i]);
    const std::string before = host.Export();
    ConfigState fresh(kSmallLimits);
    for (size_t i = 0; i < other_log.size(); ++i) {
      fresh.Apply(i + kFirstOffset, other_log[i]);
      if (i >= log.size())
        continue;
      RC_ASSERT(host.Apply(i + kFirstOffset, other_log[i]).kind ==
                VerdictKind::kCovered);
      RC_ASSERT(*host.Adopt(fresh.Export()) == SnapshotOutcome::kOlder);
      RC_ASSERT(host.Export() == before);
    }
    // A record after a gap is not applied either.
    RC_ASSERT(host.Apply(log.size() + 1 + kFirstOffset, EncodePadding()).kind ==
              VerdictKind::kGap);
    RC_ASSERT(host.Export() == before);
  });
}

TEST_CASE(
    "the best snapshot is the valid one with the highest offset, not the "
    "last") {
  rc::prop("any order of snapshots", [] {
    const auto log = MakeLog(*Steps());
    ConfigState state;
    std::vector<std::string> snapshots;
    size_t highest = 0;
    for (size_t i = 0; i < log.size(); ++i) {
      state.Apply(i + kFirstOffset, log[i]);
      // Hosts append in any order; some records are corrupted.
      const bool damaged = *rc::gen::inRange(0, 4) == 0;
      std::string record = state.Export();
      if (damaged)
        record[record.size() / 2] ^= 1;
      else
        highest = i + 1;
      const auto at = *rc::gen::inRange<size_t>(0, snapshots.size() + 1);
      snapshots.insert(snapshots.begin() + static_cast<std::ptrdiff_t>(at),
                       record);
    }
    const auto best = FindHighestSnapshot(snapshots);
    RC_ASSERT(best.has_value() == (highest > 0));
    if (!best)
      return;
    ConfigState host;
    RC_ASSERT(host.Adopt(snapshots[*best]).ok());
    RC_ASSERT(host.next_offset() == highest + kFirstOffset);
  });
}

}  // namespace teaselhill::config
