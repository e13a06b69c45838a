/// \file
/// Guards the lease on the duties against what the log may do to one host.

#include "teaselhill/duties/duty_lease.h"

#include <catch2/catch.hpp>

namespace teaselhill::duties {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kOwn = 1;
constexpr uint64_t kOther = 2;
const LeaseOptions kOptions;
const Duration kWholeWait = kOptions.length + kOptions.pause;
const TimePoint kStart{seconds(100)};

LeaseRecord Record(RecordKind kind, uint64_t writer) {
  static uint64_t number = 1000;
  LeaseRecord record;
  record.kind = kind;
  record.holder = "host-" + std::to_string(writer);
  record.writer = writer;
  record.number = ++number;
  record.length = kOptions.length;
  return record;
}

LogPage Page(uint64_t from,
             std::vector<LeaseRecord> records,
             uint64_t era = 1) {
  LogPage page;
  page.from = from;
  page.end = from + records.size();
  page.era = era;
  page.records = std::move(records);
  return page;
}

AppendAnswer Accepted(uint64_t offset, uint64_t era = 1) {
  return {AppendOutcome::kAccepted, offset, era};
}

/// A lease of the first candidate that has read an empty log at kStart.
DutyLease MakeLease() {
  DutyLease lease("host-1", kOwn);
  lease.SetRank(0);
  lease.OnPage(Page(0, {}), kStart);
  return lease;
}

/// The same, which holds the lease at offset 0 from kStart + kWholeWait on.
DutyLease MakeHolder() {
  DutyLease lease = MakeLease();
  REQUIRE(lease.NextAppend(nullptr, kStart + kWholeWait));
  lease.OnAppended(Accepted(0), kStart + kWholeWait);
  REQUIRE(lease.TakeEvents(kStart + kWholeWait).size() == 1);
  return lease;
}

const TimePoint kHeldAt = kStart + kWholeWait;

}  // namespace

TEST_CASE("a host that starts waits until an unseen lease is over") {
  DutyLease lease = MakeLease();
  CHECK_FALSE(lease.NextAppend(nullptr, kStart + kWholeWait - milliseconds(1)));
  const auto append = lease.NextAppend(nullptr, kStart + kWholeWait);
  REQUIRE(append);
  CHECK(append->record.kind == RecordKind::kTake);
  CHECK(append->at == 0);
}

TEST_CASE("the lease counts from before the append was sent") {
  // It guards against a holder that counts a slow answer's time twice.
  DutyLease lease = MakeLease();
  REQUIRE(lease.NextAppend(nullptr, kHeldAt));
  lease.OnAppended(Accepted(0), kHeldAt + seconds(3));
  CHECK(lease.IsHeld(kHeldAt + seconds(4) - milliseconds(1)));
  CHECK_FALSE(lease.IsHeld(kHeldAt + seconds(4)));
  CHECK_FALSE(lease.IsHeld(kHeldAt + seconds(3), seconds(1)));
}

TEST_CASE("an append whose answer comes after the lease gives none") {
  DutyLease lease = MakeLease();
  REQUIRE(lease.NextAppend(nullptr, kHeldAt));
  lease.OnAppended(Accepted(0), kHeldAt + seconds(4));
  CHECK_FALSE(lease.IsHeld(kHeldAt + seconds(4)));
  CHECK(lease.TakeEvents(kHeldAt + seconds(4)).empty());
}

TEST_CASE("a renewal without an answer counts once it is read") {
  DutyLease lease = MakeHolder();
  const TimePoint renewed_at = kHeldAt + kOptions.renew_after;
  const auto renewal = lease.NextAppend(nullptr, renewed_at);
  REQUIRE(renewal);
  CHECK(renewal->record.kind == RecordKind::kRenew);
  lease.OnAppended({}, renewed_at + milliseconds(900));
  CHECK(lease.needs_read());
  CHECK_FALSE(lease.NextAppend(nullptr, renewed_at + seconds(1)));
  CHECK_FALSE(lease.IsHeld(kHeldAt + seconds(4)));
  lease.OnPage(Page(1, {renewal->record}), renewed_at + seconds(1));
  CHECK(lease.IsHeld(kHeldAt + seconds(4)));
  CHECK_FALSE(lease.IsHeld(renewed_at + seconds(4)));
}

TEST_CASE("another host's record ends the lease") {
  const RecordKind kind =
      GENERATE(RecordKind::kTake, RecordKind::kRenew, RecordKind::kRelease,
               RecordKind::kText, RecordKind::kUnreadable);
  DutyLease lease = MakeHolder();
  const TimePoint now = kHeldAt + seconds(2);
  REQUIRE(lease.NextAppend(nullptr, now));
  lease.OnAppended({AppendOutcome::kRejected, 0, 1}, now);
  CHECK(lease.IsHeld(now));
  lease.OnPage(Page(1, {Record(kind, kOther)}), now);
  CHECK_FALSE(lease.IsHeld(now));
  const auto events = lease.TakeEvents(now);
  REQUIRE(events.size() == 1);
  CHECK(events[0].cause == LossCause::kTaken);
  CHECK_FALSE(lease.NextAppend(nullptr, now + kWholeWait - milliseconds(1)));
  CHECK(lease.NextAppend(nullptr, now + kWholeWait));
}

TEST_CASE("only a release of the last writer frees the lease at once") {
  // It guards against a release that is executed late, after the log came back
  // from an older copy, while another host holds the lease.
  struct Row {
    uint64_t taker;
    uint64_t releaser;
    bool at_once;
  };
  const Row row = GENERATE(Row{2, 2, true}, Row{2, 3, false});
  DutyLease lease = MakeLease();
  lease.OnPage(Page(0, {Record(RecordKind::kTake, row.taker)}), kStart);
  const TimePoint now = kStart + seconds(60);
  lease.OnPage(Page(1, {Record(RecordKind::kRelease, row.releaser)}), now);
  CHECK(lease.NextAppend(nullptr, now).has_value() == row.at_once);
}

TEST_CASE("a host waits before it takes the lease back") {
  // It guards against holders A, B, A within the bound of the deployment when B
  // releases at once.
  DutyLease lease = MakeHolder();
  const TimePoint now = kHeldAt + seconds(6);
  REQUIRE(lease.TakeEvents(now).size() == 1);
  lease.SetRank(std::nullopt);
  lease.OnPage(Page(1, {Record(RecordKind::kTake, kOther)}), now);
  lease.SetRank(0);
  lease.OnPage(Page(2, {Record(RecordKind::kRelease, kOther)}), now);
  CHECK_FALSE(
      lease.NextAppend(nullptr, now + kOptions.min_return - milliseconds(1)));
  CHECK(lease.NextAppend(nullptr, now + kOptions.min_return));
}

TEST_CASE("an era that is new ends the lease, whatever tells of it") {
  DutyLease lease = MakeHolder();
  const TimePoint now = kHeldAt + seconds(2);
  SECTION("the answer to a renewal") {
    REQUIRE(lease.NextAppend(nullptr, now));
    lease.OnAppended(Accepted(1, /*era=*/2), now);
  }
  SECTION("a rejection") {
    REQUIRE(lease.NextAppend(nullptr, now));
    lease.OnAppended({AppendOutcome::kRejected, 0, 2}, now);
  }
  SECTION("a page") {
    lease.OnPage(Page(1, {}, /*era=*/2), now);
  }
  SECTION("an end before the own record, without an era") {
    LogPage page = Page(1, {});
    page.end = 0;
    lease.OnPage(page, now);
  }
  CHECK_FALSE(lease.IsHeld(now));
  const auto events = lease.TakeEvents(now);
  REQUIRE(events.size() == 1);
  CHECK(events[0].cause == LossCause::kOlderCopy);
  CHECK(lease.next_offset() == 0);
}

TEST_CASE("an own record of an earlier era gives no lease") {
  // It guards against an append that is executed again at the same offset after
  // the log came back from an older copy.
  DutyLease lease = MakeLease();
  const auto take = lease.NextAppend(nullptr, kHeldAt);
  REQUIRE(take);
  lease.OnAppended({}, kHeldAt + milliseconds(900));
  lease.OnPage(Page(0, {}, /*era=*/2), kHeldAt + seconds(1));
  lease.OnPage(Page(0, {take->record}, /*era=*/2), kHeldAt + seconds(1));
  CHECK_FALSE(lease.IsHeld(kHeldAt + seconds(1)));
}

TEST_CASE("an own record of an earlier era does not free the lease") {
  // It guards against a renewal that is executed late, after the log came back
  // from an older copy, behind the record of a host that holds the lease.
  DutyLease lease = MakeHolder();
  const TimePoint now = kHeldAt + seconds(2);
  const auto renewal = lease.NextAppend(nullptr, now);
  REQUIRE(renewal);
  lease.OnAppended({}, now + milliseconds(900));
  lease.OnPage(Page(1, {}, /*era=*/2), now + seconds(1));
  const TimePoint read_at = now + seconds(8);
  lease.OnPage(
      Page(0, {Record(RecordKind::kTake, kOther), renewal->record}, /*era=*/2),
      read_at);
  CHECK_FALSE(
      lease.NextAppend(nullptr, read_at + kWholeWait - milliseconds(1)));
  CHECK(lease.NextAppend(nullptr, read_at + kWholeWait));
}

TEST_CASE("an answer that does not tell its era gives no lease") {
  DutyLease lease = MakeLease();
  REQUIRE(lease.NextAppend(nullptr, kHeldAt));
  lease.OnAppended(Accepted(0, /*era=*/0), kHeldAt);
  CHECK_FALSE(lease.IsHeld(kHeldAt));
  CHECK(lease.needs_read());
}

TEST_CASE("no lease is taken whose epoch would not be the highest") {
  // It guards against epochs that fall when a log that tells no era comes back
  // from an older copy.
  DutyLease lease("host-1", kOwn);
  lease.SetRank(0);
  lease.OnPage(Page(0,
                    {Record(RecordKind::kTake, kOther),
                     Record(RecordKind::kTake, kOther)},
                    /*era=*/0),
               kStart);
  LogPage page = Page(2, {}, /*era=*/0);
  page.end = 0;
  lease.OnPage(page, kStart + seconds(1));
  lease.OnPage(Page(0, {}, /*era=*/0), kStart + seconds(1));
  CHECK_FALSE(lease.needs_read());
  CHECK_FALSE(lease.NextAppend(nullptr, kStart + seconds(600)));
  CHECK_FALSE(lease.NextWake());
}

TEST_CASE("records that were dropped unread may hide another's lease") {
  DutyLease lease = MakeLease();
  const TimePoint now = kStart + seconds(60);
  LogPage page = Page(0, {});
  page.dropped = true;
  page.first = 7;
  lease.OnPage(page, now);
  CHECK(lease.next_offset() == 7);
  lease.OnPage(Page(7, {}), now);
  CHECK_FALSE(lease.NextAppend(nullptr, now + kWholeWait - milliseconds(1)));
  CHECK(lease.NextAppend(nullptr, now + kWholeWait));
}

TEST_CASE("a page that began before an append was accepted changes nothing") {
  // It guards against an end that seems to move back.
  DutyLease lease = MakeHolder();
  LogPage page = Page(0, {});
  lease.OnPage(page, kHeldAt);
  CHECK(lease.IsHeld(kHeldAt));
  CHECK(lease.next_offset() == 1);
}

TEST_CASE("a host that stops releases the lease after its calls") {
  DutyLease lease = MakeHolder();
  lease.SetOpenCalls(true);
  lease.Drain();
  CHECK_FALSE(lease.NextAppend(nullptr, kHeldAt + seconds(1)));
  lease.SetOpenCalls(false);
  const auto release = lease.NextAppend(nullptr, kHeldAt + seconds(1));
  REQUIRE(release);
  CHECK(release->record.kind == RecordKind::kRelease);
  CHECK_FALSE(lease.IsHeld(kHeldAt + seconds(1)));
  lease.OnAppended(Accepted(1), kHeldAt + seconds(1));
  const auto events = lease.TakeEvents(kHeldAt + seconds(1));
  REQUIRE(events.size() == 1);
  CHECK(events[0].cause == LossCause::kReleased);
  CHECK_FALSE(lease.NextAppend(nullptr, kHeldAt + seconds(600)));
}

TEST_CASE("a store that refuses appends is not asked without pause") {
  // It guards against a loop of reads that are answered and appends that fail.
  DutyLease lease = MakeLease();
  TimePoint now = kHeldAt;
  int appends = 0;
  while (now < kHeldAt + seconds(20)) {
    if (lease.NextAppend(nullptr, now)) {
      ++appends;
      lease.OnAppended({}, now);
      lease.OnPage(Page(0, {}), now);
    }
    now += milliseconds(10);
  }
  CHECK(appends < 20);
}

}  // namespace teaselhill::duties
