/// \file
/// Guards against fleets in which each host withdraws each record of a crash,
/// and against records that come back after their withdrawal.

#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "crash_history_fixture.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CrashKey kPart = PromptPartKey(7);

CrashKeys WithPart(const Hash128& request) {
  return {request, {kPart}, "team"};
}

/// Hosts that hear each other after a delay, as through the hosts between them.
class Fleet {
 public:
  explicit Fleet(size_t size) : hosts_(size) {}

  Host& host(size_t index) { return hosts_[index]; }

  /// Each host has answered requests with the part, so that it trusts it.
  void AnswerEverywhere() {
    for (Host& host : hosts_) {
      for (uint64_t i = 0; i < 6; ++i)
        host.history.OnAnswerCompleted(WithPart({9, 100 + i}));
    }
  }

  void Run(Duration span) {
    const TimePoint end = now_ + span;
    for (; now_ < end; now_ += kStep) {
      while (!sent_.empty() && sent_.front().arrives_at <= now_) {
        Deliver(sent_.front());
        sent_.pop_front();
      }
      for (size_t i = 0; i < hosts_.size(); ++i)
        Share(i);
    }
  }

  int withdrawals() const { return withdrawals_; }
  TimePoint now() const { return now_; }

 private:
  static constexpr milliseconds kStep{5};
  static constexpr milliseconds kDelay{30};
  struct Sent {
    size_t from;
    TimePoint arrives_at;
    std::vector<CrashRecord> records;
  };

  void Deliver(const Sent& sent) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (i != sent.from)
        hosts_[i].history.OnRecords(sent.records, now_);
    }
  }

  void Share(size_t index) {
    std::vector<CrashRecord> records = hosts_[index].history.TakeRecords(now_);
    if (records.empty())
      return;
    for (const CrashRecord& record : records)
      withdrawals_ += record.withdrawn ? 1 : 0;
    sent_.push_back({index, now_ + kDelay, std::move(records)});
  }

  TimePoint now_ = Host().now;
  std::vector<Host> hosts_;
  std::deque<Sent> sent_;
  int withdrawals_ = 0;
};

}  // namespace

TEST_CASE("few hosts withdraw the record of a part that all of them trust") {
  struct Row {
    size_t hosts;
    int max_withdrawals;
  };
  // Hosts that choose the same moment do not hear of each other in time.
  const Row row = GENERATE(values<Row>({{7, 4}, {88, 15}, {195, 25}}));
  CAPTURE(row.hosts);
  Fleet fleet(row.hosts);
  fleet.AnswerEverywhere();
  // A host that has just started does not know the part yet.
  Host& started = fleet.host(0);
  started = Host();
  started.now = fleet.now();
  started.history.OnConnectionLost(WithPart(kCrashing), Engine(1), {},
                                   started.now - milliseconds(6),
                                   started.now - milliseconds(5), started.now);
  started.history.OnVerdict(Verdict(Engine(1), true, started.now));
  fleet.Run(seconds(3));
  CHECK(fleet.withdrawals() >= 1);
  CHECK(fleet.withdrawals() <= row.max_withdrawals);
  CHECK(started.history.AssessKey(kPart, fleet.now()).crashes == 0);
}

TEST_CASE("a record that arrives after its withdrawal does not count") {
  Host seen;
  seen.Crash(Engine(1), {kCrashing});
  const std::vector<CrashRecord> records = seen.history.TakeRecords(seen.now);
  REQUIRE(records.size() == 1);
  std::vector<CrashRecord> withdrawals = records;
  withdrawals[0].withdrawn = true;
  Host host;
  host.history.OnRecords(withdrawals, host.now);
  // The store brings the record later than another host its withdrawal.
  host.history.OnRecords(records, host.now);
  CHECK(host.history.empty());
  CHECK(host.history.TakeRecords(host.now).empty());
}

TEST_CASE("a crash whose verdict is revised twice is shared again") {
  Host seen;
  Host other;
  seen.Crash(Engine(1), {kCrashing});
  other.history.OnRecords(seen.history.TakeRecords(seen.now), seen.now);
  REQUIRE_FALSE(other.history.empty());
  seen.history.OnVerdict(Verdict(Engine(1), false, seen.now));
  other.history.OnRecords(seen.history.TakeRecords(seen.now), seen.now);
  CHECK(other.history.empty());
  seen.history.OnVerdict(Verdict(Engine(1), true, seen.now));
  other.history.OnRecords(seen.history.TakeRecords(seen.now), seen.now);
  CHECK(other.history.Assess(kCrashing, seen.now).crashes == 1);
}

}  // namespace teaselhill::gateway
