/// \file
/// Guards against a crashing request that goes on to crash the upstreams of a
/// whole fleet, and against innocent requests that are refused beside it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Hash128 kCrashing{1, 1};
constexpr milliseconds kStep{5};
constexpr milliseconds kProbeDelay{30};
constexpr milliseconds kDuration{25000};
/// Time after the third crash in which all hosts must have stopped, and the
/// number of sends that are tolerated after it.
constexpr milliseconds kContact{3000};
constexpr int kMaxLateSends = 3;
constexpr int kMaxAttempts = 3;

struct FleetOptions {
  const char* name;
  int hosts;
  int engines;
  double requests_per_second;
  /// Time until a record of one host is read by another.
  milliseconds max_record_delay;
  /// Time for which the crashing request waits at an engine before it runs.
  milliseconds max_queueing;
  /// Mean time between two restarts of a host; zero: none.
  milliseconds restart_period;
};

struct Attempt {
  int host;
  Hash128 request;
  int number;  ///< of the request's attempts, from 1
  int engine;
  uint64_t incarnation;
  TimePoint sent_at;
  TimePoint answer_at;
  TimePoint ends_at;  ///< complete, or the crash of the engine
};

struct Probe {
  int host;
  UpstreamProcess upstream;
  TimePoint at;
};

struct Delivery {
  int host;
  TimePoint shared_at;
  TimePoint at;
  std::vector<CrashRecord> records;
};

class Fleet {
 public:
  Fleet(const FleetOptions& options, uint64_t seed)
      : options_(options), rng_(seed), engines_(options.engines) {
    for (int i = 0; i < options.hosts; ++i)
      hosts_.emplace_back(rng_.Next());
  }

  void Run() {
    TimePoint next_crashing = now_ + std::chrono::seconds(1);
    for (; now_ - TimePoint{} < kDuration; now_ += kStep) {
      if (rng_.Uniform() < options_.requests_per_second * ToSeconds(kStep))
        Send({RandomHost(), Hash128{2, ++last_request_}, 1});
      if (now_ >= next_crashing) {
        Send({RandomHost(), kCrashing, 1});
        next_crashing = now_ + RandomTime(milliseconds(100), milliseconds(600));
      }
      EndAttempts();
      SendProbes();
      Deliver();
      Restart();
    }
  }

  int late_sends = 0;
  int crashes = 0;
  int innocent_refusals = 0;

 private:
  struct Engine {
    uint64_t incarnation = 1;
    TimePoint up_at{};
  };
  struct Request {
    int host;
    Hash128 id;
    int attempt;
  };

  int RandomHost() { return static_cast<int>(rng_.Uniform() * options_.hosts); }
  Duration RandomTime(milliseconds min, milliseconds max) {
    return FromSeconds(ToSeconds(min) + rng_.Uniform() * ToSeconds(max - min));
  }

  void Send(const Request& request) {
    CrashHistory& history = hosts_[request.host];
    const bool crashing = request.id == kCrashing;
    if (history.Assess(request.id, now_).refused_for > Duration::zero()) {
      innocent_refusals += crashing ? 0 : 1;
      return;
    }
    std::vector<int> up;
    for (int i = 0; i < options_.engines; ++i) {
      if (engines_[i].up_at <= now_)
        up.push_back(i);
    }
    if (up.empty())
      return;
    if (crashing && crashes >= 3 && now_ > third_crash_at_ + kContact)
      ++late_sends;
    Attempt attempt;
    attempt.host = request.host;
    attempt.request = request.id;
    attempt.number = request.attempt;
    attempt.engine = up[static_cast<size_t>(rng_.Uniform() * up.size())];
    attempt.incarnation = engines_[attempt.engine].incarnation;
    attempt.sent_at = now_;
    attempt.answer_at = now_ + RandomTime(milliseconds(20), milliseconds(300));
    attempt.ends_at =
        crashing ? now_ + RandomTime(milliseconds(1), options_.max_queueing)
                 : attempt.answer_at +
                       RandomTime(milliseconds(0), milliseconds(3000));
    attempts_.push_back(attempt);
  }

  void EndAttempts() {
    std::vector<Attempt> ended;
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      if (it->ends_at > now_) {
        ++it;
        continue;
      }
      ended.push_back(*it);
      it = attempts_.erase(it);
    }
    for (const Attempt& attempt : ended) {
      const Engine& engine = engines_[attempt.engine];
      const bool running =
          engine.incarnation == attempt.incarnation && engine.up_at <= now_;
      if (attempt.request == kCrashing && running)
        Crash(attempt);
      else if (running)
        hosts_[attempt.host].OnAnswerCompleted(attempt.request, now_);
    }
  }

  void Crash(const Attempt& cause) {
    Engine& engine = engines_[cause.engine];
    ++crashes;
    if (crashes == 3)
      third_crash_at_ = now_;
    std::vector<Attempt> lost = {cause};
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      if (it->engine != cause.engine) {
        ++it;
        continue;
      }
      lost.push_back(*it);
      it = attempts_.erase(it);
    }
    const UpstreamProcess process{"e" + std::to_string(cause.engine),
                                  engine.incarnation};
    ++engine.incarnation;
    engine.up_at = now_ + RandomTime(milliseconds(1500), milliseconds(4000));
    for (const Attempt& attempt : lost)
      Lose(attempt, process);
  }

  void Lose(const Attempt& attempt, const UpstreamProcess& process) {
    CrashHistory& history = hosts_[attempt.host];
    const Duration answering_for =
        std::max(Duration::zero(), Duration(now_ - attempt.answer_at));
    history.OnConnectionLost(attempt.request, process, answering_for,
                             attempt.sent_at, now_);
    probes_.push_back({attempt.host, process, now_ + kProbeDelay});
    if (attempt.number < kMaxAttempts &&
        history.Assess(attempt.request, now_).may_retry)
      Send({attempt.host, attempt.request, attempt.number + 1});
    else
      history.OnRequestFailed(attempt.request);
  }

  void SendProbes() {
    for (auto it = probes_.begin(); it != probes_.end();) {
      if (it->at > now_) {
        ++it;
        continue;
      }
      hosts_[it->host].OnVerdict(
          {it->upstream, /*crashed=*/true, TimePoint::min(), now_, "test"},
          now_);
      it = probes_.erase(it);
    }
  }

  void Deliver() {
    for (int host = 0; host < options_.hosts; ++host) {
      const std::vector<CrashRecord> records = hosts_[host].TakeRecords(now_);
      if (records.empty())
        continue;
      log_.push_back({host, now_, now_, records});
      for (int reader = 0; reader < options_.hosts; ++reader)
        deliveries_.push_back(
            {reader, now_,
             now_ + RandomTime(milliseconds(5), options_.max_record_delay),
             records});
    }
    for (auto it = deliveries_.begin(); it != deliveries_.end();) {
      if (it->at > now_) {
        ++it;
        continue;
      }
      Read(it->host, *it);
      it = deliveries_.erase(it);
    }
  }

  void Read(int host, const Delivery& delivery) {
    std::vector<CrashRecord> records = delivery.records;
    for (CrashRecord& record : records)
      record.age += now_ - delivery.shared_at;
    hosts_[host].OnRecords(records, now_);
  }

  void Restart() {
    if (options_.restart_period == milliseconds::zero() ||
        rng_.Uniform() > ToSeconds(kStep) / ToSeconds(options_.restart_period))
      return;
    const int host = RandomHost();
    hosts_[host] = CrashHistory(rng_.Next());
    attempts_.remove_if([&](const Attempt& a) { return a.host == host; });
    probes_.remove_if([&](const Probe& probe) { return probe.host == host; });
    for (const Delivery& delivery : log_)
      Read(host, delivery);
  }

  FleetOptions options_;
  Rng rng_;
  TimePoint now_{};
  TimePoint third_crash_at_{};
  uint64_t last_request_ = 0;
  std::vector<CrashHistory> hosts_;
  std::vector<Engine> engines_;
  std::list<Attempt> attempts_;
  std::list<Probe> probes_;
  std::list<Delivery> deliveries_;
  std::vector<Delivery> log_;
};

}  // namespace

TEST_CASE(
    "a fleet stops a crashing request in time and refuses no other request") {
  const FleetOptions options = GENERATE(values<FleetOptions>({
      {"small", 6, 12, 60, milliseconds(1000), milliseconds(20), {}},
      {"queues", 6, 12, 120, milliseconds(1000), milliseconds(400), {}},
      {"few engines", 4, 3, 20, milliseconds(1000), milliseconds(20), {}},
      {"restarts", 6, 12, 60, milliseconds(1000), milliseconds(20),
       milliseconds(1500)},
      {"large", 60, 90, 300, milliseconds(1000), milliseconds(100), {}},
  }));
  const uint64_t seed = GENERATE(range(1, 21));
  INFO(options.name << ", seed " << seed);
  Fleet fleet(options, seed);
  fleet.Run();
  CHECK(fleet.crashes >= 3);
  CHECK(fleet.late_sends <= kMaxLateSends);
  CHECK(fleet.innocent_refusals == 0);
}

}  // namespace teaselhill::gateway
