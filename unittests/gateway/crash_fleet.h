/// \file
/// A simulated fleet of hosts and engines, in which requests, parts of prompts
/// or nothing of these crash engines.

#ifndef TEASELHILL_UNITTESTS_GATEWAY_CRASH_FLEET_H_
#define TEASELHILL_UNITTESTS_GATEWAY_CRASH_FLEET_H_

#include <chrono>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/gateway/trial_queue.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway::crash_fleet {

using std::chrono::milliseconds;

/// High halves of the fingerprints of the kinds of requests.
constexpr uint64_t kCrashing = 1;
constexpr uint64_t kUnique = 2;
constexpr uint64_t kPopular = 3;
constexpr int kPopularRequests = 4;
/// Parts of prompts: a few that many requests share, subjects that few share,
/// and those that crash upstreams.
constexpr uint64_t kPopularParts = 3;
constexpr uint64_t kSubjects = 100;
constexpr uint64_t kSubjectBase = 1000;
constexpr uint64_t kCrashingBase = 5000;
/// Number of the cause in the low half of a crashing request's fingerprint;
/// what makes each request new is above it.
constexpr uint64_t kCauseMask = 0xff;
constexpr int kTeams = 4;
constexpr milliseconds kStep{5};
constexpr milliseconds kProbeDelay{30};
constexpr milliseconds kDuration{25000};
/// Crashes of one request, and of requests with one part, after which the
/// platform counts further sends.
constexpr int kCrashesOfRequest = 3;
constexpr int kCrashesOfPart = 5;
/// Time after that crash in which all hosts must have stopped, and the number
/// of sends that are tolerated after it.
constexpr milliseconds kContact{3000};
constexpr int kMaxLateSends = 3;
constexpr int kMaxAttempts = 3;
/// Period in which a copy looks whether the trial of another copy has ended.
constexpr milliseconds kTrialCheckPeriod{50};
constexpr milliseconds kDeadline{4000};
/// Between the first sends of two senders of a request.
constexpr milliseconds kSenderStagger{150};

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
  int crashing_requests = 1;
  /// From the start of a crashing request's run to the crash.
  milliseconds crash_delay{0};
  /// Part of the requests that are one of a few that many callers send.
  double popular_part = 0;
  /// Whether the address of a crashed engine accepts connections and resets
  /// them, and the hosts go on to send there.
  bool accepts_when_down = false;
  /// When the first crashing request arrives. Without answers before, nothing
  /// tells the other requests from it.
  milliseconds crashing_from{1000};
  /// Callers that repeat each crashing request independently of each other.
  int senders = 1;
  /// Time for which a crashed engine is down.
  milliseconds min_down{1500};
  milliseconds max_down{4000};
  /// Whether requests have prompts of parts, and a part crashes upstreams,
  /// whatever else its requests hold.
  bool by_part = false;
  /// Between two requests of a sender, from and to.
  milliseconds min_pause{100};
  milliseconds max_pause{600};
  /// Mean time between crashes that no request causes; zero: none.
  milliseconds crash_period{0};
};

struct Attempt {
  int host;
  CrashKeys request;
  int number;  ///< of the request's attempts, from 1
  int engine;
  uint64_t incarnation;
  TimePoint arrived_at;
  int suspected_crashes;
  bool is_trial;
  std::vector<CrashKey> isolated_keys;
  TimePoint sent_at;
  TimePoint answer_at;
  TimePoint ends_at;  ///< complete, or the crash of the engine
};

struct Probe {
  int host;
  UpstreamProcess upstream;
  TimePoint at;
};

/// Records of one host in the log.
struct LogEntry {
  TimePoint shared_at;
  std::vector<CrashRecord> records;
  std::vector<TrialClaim> claims;
};

struct Host {
  explicit Host(uint64_t seed) : history(seed), trial_queue(seed) {}

  CrashHistory history;
  TrialQueue trial_queue;
  size_t read_entries = 0;
  TimePoint next_read_at{};
};

class Fleet {
 public:
  Fleet(const FleetOptions& options, uint64_t seed);

  void Run();

  struct CrashingRequest {
    std::vector<TimePoint> next_at;  ///< of each sender
    TimePoint counted_crash_at{};    ///< of crash CrashesToCount()
    int crashes = 0;
    int late_sends = 0;
  };

  const std::vector<CrashingRequest>& crashing() const { return crashing_; }
  int innocent_requests = 0;
  int innocent_refusals = 0;
  /// Innocent requests that were held beyond their deadline.
  int innocent_expiries = 0;

 private:
  struct Engine {
    uint64_t incarnation = 1;
    TimePoint up_at{};
  };
  struct Request {
    int host;
    CrashKeys id;
    int attempt;
    TimePoint arrived_at;
  };
  struct HeldRequest {
    TimePoint until;
    Request request;
  };

  using LostProcess = std::pair<int, UpstreamProcess>;
  void SendInnocent();
  void SendCrashing(uint64_t number);
  int CrashesToCount() const;
  int RandomHost() { return static_cast<int>(rng_.Uniform() * options_.hosts); }
  Duration RandomTime(milliseconds min, milliseconds max);
  uint64_t RandomNumber(uint64_t end);
  std::string RandomTeam() { return std::to_string(RandomNumber(kTeams)); }

  /// A part that many requests share, and a subject.
  std::vector<CrashKey> RandomParts();
  CrashKeys NextCrashing(uint64_t number);
  CrashKeys RandomRequest();
  static bool IsCrashing(const CrashKeys& id);
  CrashingRequest& CauseOf(const CrashKeys& id);

  /// Whether the host keeps the request for later.
  bool Hold(const Request& request, const CrashAssessment& assessment);

  /// Leaves the engines that do not run other requests with several crashes, as
  /// far as the host knows, if there are any.
  void Isolate(const Request& request, std::vector<int>* usable) const;
  void EndHolds();
  void Send(const Request& request);
  void EndAttempts();
  void Answer(const Attempt& attempt);
  void CrashByItself();
  void Crash(const Attempt& cause);

  /// Ends the engine's process and the attempts there; `lost`: those of them
  /// that are in no list any more.
  void CrashEngine(int number, std::vector<Attempt> lost);
  void Lose(const Attempt& attempt, const UpstreamProcess& process);
  void Retry();
  void SendProbes();
  void Deliver();
  void Read(Host& host, const LogEntry& entry);
  void Restart();

  FleetOptions options_;
  Rng rng_;
  TimePoint now_{};
  std::vector<CrashingRequest> crashing_;
  uint64_t last_request_ = 0;
  std::vector<Host> hosts_;
  std::vector<Engine> engines_;
  std::list<Attempt> attempts_;
  std::vector<Request> retries_;
  std::list<HeldRequest> held_;
  std::list<Probe> probes_;
  std::map<LostProcess, TimePoint> lost_processes_;
  std::vector<LogEntry> log_;
};

}  // namespace teaselhill::gateway::crash_fleet

#endif  // TEASELHILL_UNITTESTS_GATEWAY_CRASH_FLEET_H_
