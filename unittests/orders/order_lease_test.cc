/// \file
/// Guards against two hosts that give orders to the same domain at the same
/// time, and against a domain to which no host gives orders.

#include "teaselhill/orders/order_lease.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>

namespace teaselhill::orders {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kStepsPerSize = 60;  // up to 6000 steps per run

struct Step {
  unsigned kind;
  unsigned host;
  unsigned choice;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << "," << step.host << "," << step.choice
             << "}";
}

/// Hosts that share one log. Each order is in flight for less than the takeover
/// delay of the lease.
class LeaseSimulation {
 public:
  static constexpr unsigned kHosts = 2;

  LeaseSimulation() {
    for (unsigned i = 0; i < kHosts; ++i)
      Restart(i);
  }

  void Restart(unsigned i) {
    hosts_[i] = std::make_unique<OrderLease>(
        HostIncarnation{"h" + std::to_string(i), ++incarnation_}, "zone",
        LeaseOptions());
    next_offsets_[i] = first_retained_;
  }

  void ReadLog(unsigned i) {
    if (next_offsets_[i] < first_retained_) {
      hosts_[i]->OnGap(now);
      next_offsets_[i] = first_retained_;
    }
    for (; next_offsets_[i] < log_.size(); ++next_offsets_[i])
      hosts_[i]->OnRecord(next_offsets_[i], log_[next_offsets_[i]], now);
    hosts_[i]->OnCaughtUp(now);
  }

  void AppendRecord(unsigned i, unsigned choice) {
    const auto record = hosts_[i]->NextRecordToAppend(true, now);
    if (!record || choice == 5)  // the append failed
      return;
    if (choice == 4)  // the record is appended later
      delayed_records_.push_back(*record);
    else
      log_.push_back(*record);
  }

  /// Sends an order if the host holds the lease. The order reaches the engine
  /// within the takeover delay.
  void SendOrder(unsigned i) {
    const auto fencing = hosts_[i]->FencingNumber(now);
    if (!fencing.ok())
      return;
    RC_ASSERT(*fencing >= last_fencing_);
    if (last_sender_ != static_cast<int>(i) && last_sender_ >= 0)
      RC_ASSERT(now - last_order_at_ >= LeaseOptions().takeover_delay);
    last_fencing_ = *fencing;
    last_sender_ = static_cast<int>(i);
    last_order_at_ = now;
  }

  void RunStep(const Step& step) {
    switch (step.kind) {
      case 0:
        return ReadLog(step.host);
      case 1:
        return AppendRecord(step.host, step.choice);
      case 2:
      case 3:
        return SendOrder(step.host);
      case 4:
      case 5:
        now += milliseconds(100) * (1 << step.choice % 6);
        return;
      case 6:
        if (!delayed_records_.empty()) {
          log_.push_back(delayed_records_.front());
          delayed_records_.pop_front();
        }
        return;
      case 7:
        if (step.choice == 0 && now - last_restart_at_ > minutes(5)) {
          Restart(step.host);
          last_restart_at_ = now;
        }
        if (step.choice == 1 && log_.size() > 2)
          first_retained_ = log_.size() - 2;
        return;
    }
  }

  TimePoint now;

 private:
  std::unique_ptr<OrderLease> hosts_[kHosts];
  size_t next_offsets_[kHosts] = {};
  std::vector<LeaseRecord> log_;
  std::deque<LeaseRecord> delayed_records_;
  size_t first_retained_ = 0;
  uint64_t incarnation_ = 0;
  LogOffset last_fencing_ = 0;
  int last_sender_ = -1;
  TimePoint last_order_at_;
  TimePoint last_restart_at_;
};

}  // namespace

TEST_CASE("orders of two hosts are at least the takeover delay apart") {
  rc::prop("under pauses, races, lost appends and truncation", [] {
    const auto below = [](unsigned bound) {
      return rc::gen::resize(100, rc::gen::inRange(0u, bound));
    };
    const auto step = rc::gen::construct<Step>(
        below(8), below(LeaseSimulation::kHosts), below(6));
    const auto steps = *rc::gen::scale(
        kStepsPerSize, rc::gen::container<std::vector<Step>>(step));
    LeaseSimulation simulation;
    for (const Step& next : steps)
      simulation.RunStep(next);
  });
}

TEST_CASE(
    "a host acquires and renews the lease; another host acquires the lease "
    "after the holder stops") {
  LeaseOptions options;
  options.max_stagger = {};
  OrderLease a({"a", 1}, "z", options);
  OrderLease b({"b", 1}, "z", options);
  std::vector<LeaseRecord> log;
  TimePoint now;
  a.OnCaughtUp(now);
  b.OnCaughtUp(now);
  const auto run_hosts = [&](OrderLease* only) {
    now += milliseconds(500);
    for (OrderLease* lease : {&a, &b}) {
      if (only != nullptr && lease != only)
        continue;
      if (const auto record = lease->NextRecordToAppend(true, now)) {
        log.push_back(*record);
        a.OnRecord(log.size() - 1, *record, now);
        b.OnRecord(log.size() - 1, *record, now);
      }
    }
  };
  while (!a.IsHeldAt(now) && log.size() < 10)
    run_hosts(nullptr);
  REQUIRE(a.IsHeldAt(now));
  CHECK(now.time_since_epoch() <= seconds(17));
  const LogOffset first = *a.FencingNumber(now);
  for (int i = 0; i < 60; ++i) {
    run_hosts(nullptr);
    REQUIRE(a.IsHeldAt(now));
    REQUIRE_FALSE(b.IsHeldAt(now));
  }
  CHECK(*a.FencingNumber(now) > first);
  const TimePoint stopped = now;
  while (!b.IsHeldAt(now) && now - stopped < seconds(60)) {
    run_hosts(&b);
    CHECK_FALSE((a.IsHeldAt(now) && b.IsHeldAt(now)));
  }
  CHECK(b.IsHeldAt(now));
  CHECK(now - stopped <= seconds(16));
  CHECK(b.holder() == HostIncarnation{"b", 1});
}

TEST_CASE(
    "a host that missed records waits until a lease in these records would "
    "have expired") {
  LeaseOptions options;
  options.max_stagger = {};
  const TimePoint available_at =
      TimePoint() + options.duration + options.takeover_delay;
  OrderLease lease({"a", 1}, "z", options);
  lease.OnCaughtUp({});
  CHECK_FALSE(lease.NextRecordToAppend(true, available_at - milliseconds(1))
                  .has_value());
  TimePoint now = available_at;
  if (GENERATE(true, false)) {
    // The records that were missed in the gap may include another host's lease.
    lease.OnRecord(3, {"z", {"b", 1}, kNoRecord, seconds(1)}, now);
    lease.OnGap(now);
    lease.OnCaughtUp(now);
    now += options.duration + options.takeover_delay;
    CHECK_FALSE(
        lease.NextRecordToAppend(true, now - milliseconds(1)).has_value());
  }
  const auto record = lease.NextRecordToAppend(true, now);
  REQUIRE(record.has_value());
  lease.OnRecord(9, *record, now);
  CHECK_FALSE(lease.IsHeldAt(now));
}

TEST_CASE("of two concurrent lease records only the first is valid") {
  LeaseOptions options;
  options.max_stagger = {};
  OrderLease a({"a", 1}, "z", options);
  OrderLease b({"b", 1}, "z", options);
  TimePoint now;
  const LeaseRecord old{"z", {"c", 1}, kNoRecord, options.duration};
  const auto apply_on_both = [&](LogOffset offset, const LeaseRecord& record) {
    a.OnRecord(offset, record, now);
    b.OnRecord(offset, record, now);
  };
  apply_on_both(4, old);
  a.OnCaughtUp(now);
  b.OnCaughtUp(now);
  now += options.duration + options.takeover_delay;
  const auto record_of_a = a.NextRecordToAppend(true, now);
  const auto record_of_b = b.NextRecordToAppend(true, now);
  REQUIRE((record_of_a && record_of_b));
  // If an append is retried, the lease counts from the first append.
  now += options.append_timeout;
  REQUIRE(a.NextRecordToAppend(true, now).has_value());
  apply_on_both(5, *record_of_a);
  apply_on_both(6, *record_of_b);
  apply_on_both(7, *record_of_a);
  CHECK_FALSE(b.IsHeldAt(now));
  REQUIRE(a.IsHeldAt(now));
  CHECK(*a.FencingNumber(now) == 5);
  now += options.duration - options.append_timeout;
  CHECK_FALSE(a.IsHeldAt(now));
}

TEST_CASE("a leaving host does not acquire the lease") {
  OrderLease lease({"a", 1}, "z", LeaseOptions());
  lease.OnCaughtUp({});
  CHECK_FALSE(
      lease.NextRecordToAppend(false, TimePoint(seconds(60))).has_value());
  CHECK(lease.NextRecordToAppend(true, TimePoint(seconds(60))).has_value());
}

TEST_CASE(
    "a lease record round-trips through JSON; a damaged record fails to "
    "decode") {
  const auto previous = GENERATE(LogOffset{7}, kNoRecord);
  const LeaseRecord record{"z", {"a", 3}, previous, seconds(10)};
  const auto read = DecodeLease(EncodeLease(record));
  REQUIRE(read.ok());
  CHECK(read->previous == previous);
  CHECK(read->holder == record.holder);
  CHECK(read->duration == record.duration);
  CHECK_FALSE(DecodeLease("{\"domain\":1}").ok());
}

}  // namespace teaselhill::orders
