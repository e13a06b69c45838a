/// \file
/// Protects upstreams from requests that crash them.

#ifndef TEASELHILL_GATEWAY_CRASH_GUARD_H_
#define TEASELHILL_GATEWAY_CRASH_GUARD_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/net/event_loop.h"

namespace teaselhill::gateway {

struct CrashGuardOptions {
  CrashHistoryOptions history;
  /// Time from a lost connection to the check whether the upstream is down. A
  /// crashed upstream takes seconds to start again.
  Duration probe_delay = std::chrono::milliseconds(30);
  Duration probe_timeout = std::chrono::milliseconds(300);
};

/// Finds out which lost connections were crashes, shares the crashes, and keeps
/// requests with crashes apart from others. Used on the traffic thread.
class CrashGuard {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// Records for the other hosts.
    virtual void OnRecordsToShare(std::vector<CrashRecord> records) = 0;
  };

  /// An attempt of a request with crashes that is in flight at an upstream; the
  /// attempt ends with the destruction of this object.
  class SuspectRun {
   public:
    /// `repeat`: the request has several crashes.
    SuspectRun(CrashGuard& guard, std::string upstream_id, bool repeat);
    ~SuspectRun();
    SuspectRun(const SuspectRun&) = delete;
    SuspectRun& operator=(const SuspectRun&) = delete;

   private:
    CrashGuard& guard_;
    std::string upstream_id_;
    bool repeat_;
  };

  CrashGuard(net::EventLoop& loop,
             EventLog& log,
             Handler& handler,
             CrashGuardOptions options = {});
  ~CrashGuard();

  /// Whether no request has a crash; no fingerprint needs to be computed then.
  bool empty() const { return history_.empty(); }

  CrashAssessment Assess(const Hash128& fingerprint, TimePoint now) const {
    return history_.Assess(fingerprint, now);
  }

  /// Upstreams that a request should avoid if it can: upstreams that run
  /// suspects, if the request is to be isolated itself, and otherwise upstreams
  /// that run a request with several crashes.
  std::vector<std::string> UpstreamsToAvoid(
      const CrashAssessment& assessment) const;

  /// Returns nothing for a request that is not to be isolated.
  std::unique_ptr<SuspectRun> StartRun(const std::string& upstream_id,
                                       const CrashAssessment& assessment);

  /// An attempt lost its connection; see CrashHistory::OnConnectionLost().
  void OnConnectionLost(const Hash128& fingerprint,
                        const UpstreamEntry& upstream,
                        Duration answering_for,
                        TimePoint sent_at,
                        TimePoint now);
  /// Call for each complete answer.
  void OnAnswerCompleted(const Hash128& fingerprint);
  /// The caller got no complete answer.
  void OnRequestFailed(const Hash128& fingerprint);
  /// Records of the other hosts.
  void OnRecords(const std::vector<CrashRecord>& records, TimePoint now);

  /// Removes expired crashes. Call about once a second.
  void Expire(TimePoint now);
  CrashCounts Count(TimePoint now) const { return history_.Count(now); }

 private:
  struct RunCounts {
    int suspects = 0;
    int repeat_suspects = 0;  ///< with several crashes
  };

  void ChangeRuns(const std::string& upstream_id, bool repeat, int difference);
  void ScheduleProbe(const UpstreamProcess& upstream,
                     const std::string& address);
  void SendProbe(const UpstreamProcess& upstream, const std::string& address);
  void LogProbe(const UpstreamProcess& upstream, std::string_view result);
  void OnUpstreamDown(const UpstreamProcess& upstream);
  void LogQuarantined(const std::vector<Hash128>& fingerprints,
                      std::string_view learned_from,
                      TimePoint now);
  void ShareRecords();

  net::EventLoop& loop_;
  EventLog& log_;
  Handler& handler_;
  CrashGuardOptions options_;
  CrashHistory history_;
  std::unordered_map<std::string, RunCounts> runs_by_upstream_;
  /// Upstreams that are to be probed, with the delay before the probe.
  std::map<UpstreamProcess, TimerSubscription> scheduled_probes_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_CRASH_GUARD_H_
