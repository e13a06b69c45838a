/// \file
/// Protects upstreams from requests that crash them.

#ifndef TEASELHILL_GATEWAY_CRASH_GUARD_H_
#define TEASELHILL_GATEWAY_CRASH_GUARD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/gateway/event_log.h"
#include "teaselhill/gateway/loss_reviewer.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/shared_state.h"
#include "teaselhill/gateway/trial_queue.h"
#include "teaselhill/gateway/upstream_prober.h"
#include "teaselhill/gateway/upstream_restarts.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::gateway {

struct CrashGuardOptions {
  CrashHistoryOptions history;
  LossReviewOptions review;
  TrialQueueOptions trial_queue;
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
    virtual void OnClaimsToShare(std::vector<TrialClaim> claims) = 0;
    /// The process has crashed, as far as this host knows.
    virtual void OnUpstreamCrashed(const UpstreamProcess& upstream) = 0;
    /// Whether a health check may be sent to the upstream now.
    virtual bool MayProbe(const UpstreamProcess& upstream) = 0;
    /// Whether this host has reached an upstream since then. May find that out
    /// only after the call, so a probe that fails is sent again.
    virtual bool HasReachedUpstreamSince(TimePoint time) = 0;
  };

  /// An attempt of a request with crashes that is in flight at an upstream; the
  /// attempt ends with the destruction of this object.
  class SuspectRun {
   public:
    SuspectRun(CrashGuard& guard,
               std::string upstream_id,
               const CrashAssessment& assessment);
    ~SuspectRun();
    /// The attempt lost its connection, or was given up in silence.
    void OnLost(const UpstreamProcess& process, TimePoint now);
    SuspectRun(const SuspectRun&) = delete;
    SuspectRun& operator=(const SuspectRun&) = delete;

   private:
    CrashGuard& guard_;
    std::vector<CrashKey> keys_;  ///< CrashAssessment::isolated_keys
    std::string upstream_id_;
    bool repeat_;  ///< the request has several crashes
    bool trial_;
  };

  CrashGuard(net::EventLoop& loop,
             net::HttpClient& client,
             const UpstreamProtocol& protocol,
             const SharedState& shared_state,
             EventLog& log,
             Handler& handler,
             CrashGuardOptions options = {});
  ~CrashGuard();

  /// Whether no request has a crash; no fingerprint needs to be computed then.
  bool empty() const { return history_.empty(); }

  CrashAssessment Assess(const CrashKeys& keys, TimePoint now) const {
    return history_.Assess(keys, now);
  }

  /// Time without data after which an attempt or an upstream counts as silent.
  static constexpr std::chrono::milliseconds kMinSilence{200};

  /// Period in which a request that may not start asks again.
  static constexpr std::chrono::milliseconds kTrialCheckPeriod{50};

  /// Whether the request may run now. A host runs one request with a suspect
  /// key at a time, and the fleet one request in its trial.
  bool MayStartRun(const CrashAssessment& assessment, TimePoint now);

  /// Upstreams that a request should avoid if it can: upstreams that run
  /// suspects, if the request is to be isolated itself, and otherwise upstreams
  /// that run a request with several crashes. Also upstreams that crashed under
  /// the request and have not announced a new process since: a second crash
  /// there cannot be told from the first.
  std::vector<std::string> UpstreamsToAvoid(
      const CrashKeys& keys,
      const CrashAssessment& assessment) const;

  /// Call for the attempt of a request that is to be isolated.
  std::unique_ptr<SuspectRun> StartRun(const std::string& upstream_id,
                                       const CrashAssessment& assessment);

  /// An attempt lost its connection; see CrashHistory::OnConnectionLost().
  void OnConnectionLost(const CrashKeys& keys,
                        const UpstreamEntry& upstream,
                        Duration answering_for,
                        TimePoint sent_at,
                        TimePoint now);
  /// An attempt had no data for a while. The upstream may have crashed, unless
  /// others get data from it; returns false then.
  bool OnAttemptSilent(const CrashKeys& keys,
                       const UpstreamEntry& upstream,
                       Duration answering_for,
                       TimePoint sent_at,
                       TimePoint now);
  /// See CrashHistory::OnTrialAbandoned().
  void OnTrialAbandoned(const CrashKeys& keys,
                        const UpstreamEntry& upstream,
                        Duration answering_for,
                        TimePoint sent_at,
                        TimePoint now);
  /// The upstream sent data for an attempt that was sent at `sent_at`.
  void OnDataReceived(const UpstreamEntry& upstream,
                      TimePoint sent_at,
                      TimePoint now);
  /// Call for each complete answer.
  void OnAnswerCompleted(const CrashKeys& keys);
  /// Records of the other hosts.
  void OnRecords(const std::vector<CrashRecord>& records, TimePoint now);

  /// Claims of all hosts, in the order of the log.
  void OnTrialClaims(const std::vector<TrialClaim>& claims, TimePoint now);

  /// Removes expired crashes. Call about once a second.
  void Expire(TimePoint now);
  CrashCounts Count(TimePoint now) const { return history_.Count(now); }

 private:
  struct RunCounts {
    int suspects = 0;
    int repeat_suspects = 0;  ///< with several crashes
  };

  void ChangeRuns(const std::string& upstream_id, bool repeat, int difference);
  void RecordLoss(const CrashKeys& keys,
                  const UpstreamEntry& upstream,
                  Duration answering_for,
                  TimePoint sent_at,
                  TimePoint now,
                  LossKind kind);
  /// The epoch if that is unknown.
  TimePoint SeenAliveAt(const UpstreamProcess& process) const;
  void ScheduleReview();
  void Review();
  void SendProbe(const LossReviewer::DueProbe& probe);
  void OnProbed(const UpstreamProcess& process, const ProbeReport& report);
  /// Tells the history of restarts of engines.
  void FollowRestarts(TimePoint now);
  void ApplyVerdicts(const std::vector<LossVerdict>& verdicts, TimePoint now);
  void LogQuarantined(const std::vector<CrashKey>& keys, TimePoint now);
  void ShareRecords();
  void ShareCrashes(TimePoint now);
  void ShareClaims(TimePoint now);

  net::EventLoop& loop_;
  const SharedState& shared_state_;
  EventLog& log_;
  Handler& handler_;
  UpstreamProber prober_;
  std::map<UpstreamProcess, TimePoint> seen_alive_at_;
  LossReviewer reviewer_;
  UpstreamRestarts restarts_;
  CrashHistory history_;
  TrialQueue trial_queue_;
  /// At which the last trial was lost, until the verdict on it.
  std::optional<UpstreamProcess> lost_trial_at_;
  std::unordered_map<std::string, RunCounts> runs_by_upstream_;
  std::unordered_multiset<CrashKey, Hash128Hasher> running_suspects_;
  /// Runs Review().
  TimerSubscription review_timer_;
  std::optional<TimePoint> review_due_at_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_CRASH_GUARD_H_
