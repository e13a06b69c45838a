/// \file
/// Guards against a request that keeps crashing upstreams, and against refusal
/// of other requests that were in flight on the crashed upstreams.

#include "teaselhill/retry/crash_tracker.h"

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <sstream>

#include "teaselhill/support/rng.h"

namespace teaselhill::retry {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(2)};

Hash128 FingerprintOf(uint64_t number) {
  return Hash128{0, number};
}

CrashTracker MakeTracker(const std::string& host) {
  return CrashTracker(HostIncarnation{host, 1});
}

/// Which part of the tracker's advice a simulated fleet follows.
enum class Mode {
  kFull,
  kNoIsolation,  ///< suspects run anywhere; only refusals apply
  kIgnored,
};

struct FleetResult {
  int crashes = 0;
  int harmless_refusals = 0;
  int harmless_finished = 0;
  int lost_non_idempotent = 0;
  double max_harmless_duration_ms = 0;
};

/// Simulates hosts that share engines. The callers of one crashing request
/// retry it after each failure, each time on a random host.
class Fleet {
 public:
  Fleet(uint64_t seed, int hosts, int engines, Mode mode)
      : rng_(seed), mode_(mode), engines_(static_cast<size_t>(engines)) {
    for (int i = 0; i < hosts; ++i)
      trackers_.push_back(MakeTracker("h" + std::to_string(i)));
  }

  FleetResult Run(Duration length) {
    Submit({kCrashingRequest, true, now_});
    for (; now_ - kStart < length; now_ += milliseconds(5)) {
      if (rng_.Below(4) == 0)
        Submit({++last_request_number_, rng_.Below(10) != 0, now_});
      DeliverMessages();
      const size_t pending = pending_.size();
      for (size_t i = 0; i < pending; ++i) {
        Request request = pending_.front();
        pending_.pop_front();
        TryToStart(request);
      }
      RunEngines();
    }
    return result_;
  }

 private:
  static constexpr uint64_t kCrashingRequest = 1;
  static constexpr size_t kBatch = 8;

  struct Request {
    uint64_t request_number = 0;
    bool idempotent = true;
    TimePoint arrived;
    size_t host = 0;
    TimePoint retry_at{};
  };
  struct Stream {
    Request request;
    AttemptId attempt = 0;
    bool suspect = false;
    TimePoint started_at;
    TimePoint visible_at{};  ///< when other hosts know of the stream
    TimePoint ends_at{};
  };
  struct Engine {
    TimePoint restarted_at;
    std::vector<Stream> streams;
  };
  struct Delivery {
    TimePoint due;
    size_t to = 0;
    CrashSuspicion message;
  };

  void Submit(Request request) {
    request.host = rng_.Below(trackers_.size());
    pending_.push_back(request);
  }

  void ApplyActions(size_t host, const CrashActions& actions) {
    if (mode_ == Mode::kIgnored)
      return;
    for (const AttemptId id : actions.attempts_to_cancel)
      cancelled_.insert(id);
    if (actions.message.empty())
      return;
    for (size_t to = 0; to < trackers_.size(); ++to) {
      if (to != host)
        deliveries_.push_back(
            {now_ + milliseconds(rng_.Below(50)), to, actions.message});
    }
  }

  void DeliverMessages() {
    for (size_t i = 0; i < deliveries_.size();) {
      if (deliveries_[i].due > now_) {
        ++i;
        continue;
      }
      const Delivery delivery = deliveries_[i];
      deliveries_.erase(deliveries_.begin() + static_cast<std::ptrdiff_t>(i));
      ApplyActions(delivery.to,
                   trackers_[delivery.to].OnMessage(delivery.message, now_));
    }
  }

  void HandleFailure(const Request& request, bool refused) {
    if (request.request_number == kCrashingRequest) {
      // The caller retries, even after a refusal.
      Request retry{kCrashingRequest, true, now_};
      retry.retry_at = now_ + milliseconds(500 + rng_.Below(2000));
      Submit(retry);
    } else if (refused) {
      ++result_.harmless_refusals;
    }
  }

  void TryToStart(Request& request) {
    if (now_ < request.retry_at) {
      pending_.push_back(request);
      return;
    }
    CrashAdvice advice;
    if (mode_ != Mode::kIgnored)
      advice = trackers_[request.host].Advise(
          FingerprintOf(request.request_number), now_);
    if (mode_ == Mode::kNoIsolation &&
        advice.precaution != CrashPrecaution::kRefuse)
      advice = {};
    if (advice.precaution == CrashPrecaution::kRefuse) {
      HandleFailure(request, true);
      return;
    }
    const bool isolate = advice.precaution == CrashPrecaution::kIsolate;
    std::vector<size_t> suitable;
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (now_ >= engines_[i].restarted_at &&
          engines_[i].streams.size() < kBatch &&
          IsSuitable(engines_[i], request, isolate))
        suitable.push_back(i);
    }
    if (advice.precaution == CrashPrecaution::kSuspend || suitable.empty()) {
      pending_.push_back(request);
      return;
    }
    const size_t chosen = suitable[rng_.Below(suitable.size())];
    Stream stream{request, ++last_attempt_, isolate, now_};
    stream.visible_at = now_ + milliseconds(rng_.Below(150));
    stream.ends_at =
        now_ +
        milliseconds(50 + rng_.Below(request.request_number == kCrashingRequest
                                         ? 500
                                         : 2000));
    engines_[chosen].streams.push_back(stream);
    ApplyActions(request.host,
                 trackers_[request.host].OnAttemptStarted(
                     stream.attempt, FingerprintOf(request.request_number),
                     "e" + std::to_string(chosen), now_));
  }

  bool IsSuitable(const Engine& engine,
                  const Request& request,
                  bool isolate) const {
    for (const Stream& stream : engine.streams) {
      if (stream.request.host != request.host && now_ < stream.visible_at)
        continue;
      if (isolate && (stream.suspect || !stream.request.idempotent))
        return false;
      if (!request.idempotent && stream.suspect)
        return false;
    }
    return true;
  }

  void RunEngines() {
    for (Engine& engine : engines_) {
      bool crashed = false;
      std::vector<Stream> remaining;
      for (const Stream& stream : engine.streams) {
        CrashTracker& tracker = trackers_[stream.request.host];
        if (cancelled_.erase(stream.attempt) != 0) {
          ApplyActions(stream.request.host,
                       tracker.OnAttemptEnded(stream.attempt, now_));
          HandleFailure(stream.request, true);
        } else if (stream.ends_at > now_) {
          remaining.push_back(stream);
        } else if (stream.request.request_number == kCrashingRequest) {
          crashed = true;
          remaining.push_back(stream);
        } else {
          ApplyActions(stream.request.host,
                       tracker.OnAttemptCompleted(stream.attempt, now_));
          ++result_.harmless_finished;
          result_.max_harmless_duration_ms =
              std::max(result_.max_harmless_duration_ms,
                       ToMilliseconds(now_ - stream.request.arrived));
        }
      }
      engine.streams = std::move(remaining);
      if (crashed)
        CrashEngine(engine);
    }
  }

  void CrashEngine(Engine& engine) {
    ++result_.crashes;
    engine.restarted_at = now_ + seconds(4);
    std::vector<Stream> broken;
    broken.swap(engine.streams);
    for (const Stream& stream : broken) {
      Request request = stream.request;
      ApplyActions(request.host, trackers_[request.host].OnStreamBroken(
                                     stream.attempt, now_));
      if (!request.idempotent)
        ++result_.lost_non_idempotent;
      else if (request.request_number == kCrashingRequest && rng_.Below(2) == 0)
        HandleFailure(request, false);
      else
        pending_.push_back(request);
    }
  }

  Rng rng_;
  Mode mode_;
  TimePoint now_ = kStart;
  uint64_t last_request_number_ = kCrashingRequest;
  AttemptId last_attempt_ = 0;
  std::vector<CrashTracker> trackers_;
  std::vector<Engine> engines_;
  std::deque<Request> pending_;
  std::vector<Delivery> deliveries_;
  std::set<AttemptId> cancelled_;
  FleetResult result_;
};

}  // namespace

TEST_CASE("a crashing request crashes at most two upstreams of the fleet") {
  rc::prop("any fleet and any order of sends", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const int hosts = *rc::gen::inRange(1, 8);
    const int engines = *rc::gen::inRange(3, 20);
    const FleetResult result =
        Fleet(seed, hosts, engines, Mode::kFull).Run(seconds(25));
    RC_ASSERT(result.crashes == 2);
    RC_ASSERT(result.harmless_refusals == 0);
    RC_ASSERT(result.harmless_finished > 400);
  });
}

// Guards against hosts that refuse different requests because messages arrived
// in another order, repeatedly or from an earlier snapshot.
TEST_CASE("hosts with the same reports give the same advice") {
  rc::prop("any crashes, cleared suspects and order of messages", [] {
    CrashTracker source = MakeTracker("h0");
    CrashTracker in_order = MakeTracker("h1");
    CrashTracker shuffled = MakeTracker("h2");
    TimePoint now = kStart;
    AttemptId next = 0;
    std::vector<AttemptId> open;
    const auto operations =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int operation : operations) {
      now += milliseconds(700);
      if (operation < 50 || open.empty()) {
        open.push_back(++next);
        source.OnAttemptStarted(next, FingerprintOf(operation % 5),
                                "e" + std::to_string(operation / 5 % 3), now);
      } else {
        const size_t index = static_cast<size_t>(operation) % open.size();
        const AttemptId id = open[index];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        operation < 60   ? source.OnAttemptCompleted(id, now)
        : operation < 65 ? source.OnAttemptEnded(id, now)
                         : source.OnStreamBroken(id, now);
      }
    }
    // The ages are relative to the end of the events, as in a snapshot. The
    // messages omit the runs in flight, so only the source waits for these
    // runs.
    const CrashSuspicion all = source.Snapshot(now);
    std::vector<CrashSuspicion> messages;
    for (const CrashReport& crash : all.crashes)
      messages.push_back({all.sender, 1, {crash}, {}, {}});
    for (const ClearedSuspect& cleared : all.cleared_suspects)
      messages.push_back({all.sender, 1, {}, {cleared}, {}});
    for (const CrashSuspicion& message : messages)
      in_order.OnMessage(message, now);
    for (const int pick :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
      if (!messages.empty())
        shuffled.OnMessage(
            messages[static_cast<size_t>(pick) % messages.size()], now);
    }
    std::reverse(messages.begin(), messages.end());
    for (const CrashSuspicion& message : messages)
      shuffled.OnMessage(message, now);
    for (uint64_t request_number = 0; request_number < 5; ++request_number) {
      const CrashAdvice a = in_order.Advise(FingerprintOf(request_number), now);
      const CrashAdvice b = shuffled.Advise(FingerprintOf(request_number), now);
      const CrashAdvice own = source.Advise(FingerprintOf(request_number), now);
      RC_ASSERT(a.precaution == b.precaution);
      RC_ASSERT(a.crashes == b.crashes);
      RC_ASSERT(a.retry_after == b.retry_after);
      RC_ASSERT((own.precaution == CrashPrecaution::kRefuse) ==
                (a.precaution == CrashPrecaution::kRefuse));
      RC_ASSERT((own.precaution == CrashPrecaution::kNone) ==
                (a.precaution == CrashPrecaution::kNone));
    }
  });
}

TEST_CASE("crash reports lead to the mildest sufficient precaution") {
  struct Row {
    std::string name;
    /// "upstream time_ms request...; ...": crashes with the requests in flight;
    /// "ok" in place of an upstream: the requests complete.
    std::string events;
    int asked_ms;
    CrashPrecaution precaution;  // of request 1
  };
  const auto row = GENERATE(values<Row>({
      {"not a suspect", "a 1000 2 3", 9000, CrashPrecaution::kNone},
      {"one crash", "a 1000 1 2", 9000, CrashPrecaution::kIsolate},
      {"its slot has not come", "a 1000 0 1", 1200, CrashPrecaution::kSuspend},
      {"one crash long ago", "a 1000 1 2", 660000, CrashPrecaution::kNone},
      {"only common suspect of two", "a 1000 1 2; b 6000 1 3", 9000,
       CrashPrecaution::kRefuse},
      {"in flight with the only common suspect", "a 1000 1 2; b 6000 2 3", 9000,
       CrashPrecaution::kNone},
      {"not distinguished", "a 1000 1 2; b 6000 1 2", 9000,
       CrashPrecaution::kRefuse},
      {"not distinguished, later", "a 1000 1 2; b 6000 1 2", 67000,
       CrashPrecaution::kIsolate},
      {"distinguished by a third crash", "a 1000 1 2; b 6000 1 2; c 70000 2 4",
       71000, CrashPrecaution::kNone},
      {"refusal ends", "a 1000 1 2; b 6000 1 3", 660000,
       CrashPrecaution::kIsolate},
      {"completed between the crashes", "a 1000 1 2; ok 3000 1; b 6000 1 3",
       9000, CrashPrecaution::kIsolate},
      {"network fault",
       "a 1000 1; b 1100 2; c 1200 3; d 1300 4; a 9000 5; b 9100 1; c 9200 6; "
       "d 9300 7",
       12000, CrashPrecaution::kNone},
      {"sent to many upstreams at once",
       "a 1000 1 5; b 1100 1 2; c 1200 1 3; d 1300 1 4", 9000,
       CrashPrecaution::kRefuse},
      {"two crashes of the only upstream", "a 1000 1 2; a 2500 1 3", 9000,
       CrashPrecaution::kRefuse},
  }));
  INFO(row.name);
  CrashTracker tracker = MakeTracker("h0");
  AttemptId next = 0;
  std::istringstream events(row.events);
  for (std::string event; std::getline(events, event, ';');) {
    std::istringstream fields(event);
    std::string upstream;
    int at_ms = 0;
    fields >> upstream >> at_ms;
    const TimePoint at = kStart + milliseconds(at_ms);
    std::vector<AttemptId> sent;
    for (uint64_t request_number = 0; fields >> request_number;
         sent.push_back(next))
      tracker.OnAttemptStarted(++next, FingerprintOf(request_number), upstream,
                               at - milliseconds(10));
    for (const AttemptId id : sent) {
      if (upstream == "ok")
        tracker.OnAttemptCompleted(id, at);
      else  // One report per crash, regardless of the number of streams.
        CHECK(tracker.OnStreamBroken(id, at).message.crashes.size() ==
              (id == sent[0] ? 1u : 0u));
    }
  }
  const TimePoint asked_at = kStart + milliseconds(row.asked_ms);
  CrashAdvice advice = tracker.Advise(FingerprintOf(1), asked_at);
  if (advice.precaution == CrashPrecaution::kSuspend &&
      row.precaution != CrashPrecaution::kSuspend)
    advice = tracker.Advise(FingerprintOf(1), asked_at + advice.retry_after);
  CHECK(advice.precaution == row.precaution);
  // The counts that operators see.
  const CrashCounts counts = tracker.CountFingerprints(asked_at);
  CHECK((row.precaution != CrashPrecaution::kRefuse || counts.quarantined > 0));
  CHECK((row.precaution != CrashPrecaution::kIsolate || counts.suspects > 0));
  // The documented bound on refusing a request that does not crash upstreams.
  CHECK(advice.retry_after <= minutes(40));
}

// Guards against a suspect that runs on two hosts at once, and against a
// suspect that waits forever for an unreachable host.
TEST_CASE("a suspect runs on one host of the fleet at a time") {
  CrashTracker a = MakeTracker("h0");
  CrashTracker b = MakeTracker("h1");
  a.OnAttemptStarted(1, FingerprintOf(1), "x", kStart);
  b.OnMessage(a.OnStreamBroken(1, kStart).message, kStart);
  const TimePoint slot_start = kStart + milliseconds(150);
  REQUIRE(b.Advise(FingerprintOf(1), slot_start).precaution ==
          CrashPrecaution::kIsolate);
  const auto started = a.OnAttemptStarted(2, FingerprintOf(1), "y", slot_start);
  b.OnMessage(started.message, slot_start);
  CHECK(b.Advise(FingerprintOf(1), slot_start).precaution ==
        CrashPrecaution::kSuspend);
  CHECK(a.Advise(FingerprintOf(1), slot_start).precaution ==
        CrashPrecaution::kSuspend);
  CHECK(b.Advise(FingerprintOf(1), slot_start + minutes(1)).precaution ==
        CrashPrecaution::kIsolate);
  const auto ended = a.OnAttemptEnded(2, slot_start);
  b.OnMessage(ended.message, slot_start);
  b.OnMessage(started.message, slot_start);  // late and repeated
  CHECK(b.Advise(FingerprintOf(1), slot_start).precaution ==
        CrashPrecaution::kIsolate);
}

// Guards against state that grows without bound with traffic or the messages of
// a hostile peer.
TEST_CASE("crash state is bounded and expires") {
  CrashTracker tracker = MakeTracker("h0");
  for (uint64_t i = 0; i < 2000; ++i) {
    CrashSuspicion message{{"h1", 1}, i + 1, {}, {}, {}};
    CrashReport report{{"h1", 1}, i, "e", seconds(i % 100), {}};
    for (uint64_t request_number = 0; request_number < 300; ++request_number)
      report.suspects.push_back(FingerprintOf(i * 300 + request_number));
    message.crashes.push_back(report);
    message.runs.push_back({FingerprintOf(i), true});
    message.cleared_suspects.push_back({FingerprintOf(i), Duration{}});
    if (i < 400)
      tracker.OnMessage(message, kStart);
  }
  CHECK(tracker.reports() <= 256);
  const CrashSuspicion all = tracker.Snapshot(kStart);
  for (const CrashReport& report : all.crashes)
    CHECK(report.suspects.size() <= 128);
  tracker.Expire(kStart + std::chrono::hours(2));
  CHECK(tracker.reports() == 0);
  CHECK(tracker.Snapshot(kStart + std::chrono::hours(2)).empty());
}

// Prints the figures of docs/decisions/crashing-requests.md.
TEST_CASE("comparison of methods to identify the crashing request",
          "[.measure]") {
  const std::pair<std::string, Mode> modes[] = {
      {"full", Mode::kFull},
      {"no isolation", Mode::kNoIsolation},
      {"ignored", Mode::kIgnored}};
  for (const auto& [name, mode] : modes) {
    FleetResult total;
    int max_crashes = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      const FleetResult seed_result = Fleet(seed, 6, 12, mode).Run(seconds(60));
      max_crashes = std::max(max_crashes, seed_result.crashes);
      total.crashes += seed_result.crashes;
      total.harmless_refusals += seed_result.harmless_refusals;
      total.harmless_finished += seed_result.harmless_finished;
      total.lost_non_idempotent += seed_result.lost_non_idempotent;
      total.max_harmless_duration_ms = std::max(
          total.max_harmless_duration_ms, seed_result.max_harmless_duration_ms);
    }
    WARN(name << ": crashes " << total.crashes << " (at most " << max_crashes
              << "), refusals of harmless requests " << total.harmless_refusals
              << ", lost non-idempotent " << total.lost_non_idempotent
              << ", longest harmless request " << total.max_harmless_duration_ms
              << " ms, harmless requests finished " << total.harmless_finished);
  }
}

}  // namespace teaselhill::retry
