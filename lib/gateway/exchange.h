/// \file
/// One request of a caller, from its arrival to its single final answer.

#ifndef TEASELHILL_LIB_GATEWAY_EXCHANGE_H_
#define TEASELHILL_LIB_GATEWAY_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselhill/engines/event_intervals.h"
#include "teaselhill/gateway/answer_relief.h"
#include "teaselhill/gateway/crash_keys.h"
#include "teaselhill/gateway/event_stream.h"
#include "teaselhill/gateway/gateway.h"
#include "teaselhill/gateway/request_keys.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// A request that was resolved to a route and a service.
struct AcceptedRequest {
  RequestId id = 0;
  /// Shared with the attempts, so that the body takes up memory once.
  std::shared_ptr<const net::HttpRequest> http_request;
  CallerRequest caller;
  std::shared_ptr<const RouteTable> routes;  ///< keeps `route` alive
  const Route* route = nullptr;
  std::string team;
  Tier tier = 0;
  std::string service;
  PlacementRequest placement_request;
  /// The gate always admits requests to a plain service: a plain service that
  /// is full refuses requests itself, within milliseconds.
  GateDecision gate_decision;
  TimePoint arrived_at{};
  /// Set if another host took the request from its caller.
  std::optional<RelayOrigin> relay_origin;

  /// Sets the service, and what the configuration says of it.
  void SetService(const std::string& name);

  GateLevel gate_level() const { return {route->tier, tier}; }

  /// Time from its arrival to the caller's deadline or the end of the route's
  /// timeout, whichever is earlier; at most `max_duration`.
  Duration TimeLimit(Duration max_duration) const;

  /// What crashes under the request are counted by.
  CrashKeys Keys() const { return RequestKeys(*http_request, caller, team); }

  /// Ids of the prompt segments that other requests may share, for logs:
  /// hexadecimal, separated by commas.
  std::string SharedPartsText() const;

  /// Label for metrics. Has a bounded number of values, while a configuration
  /// may have hundreds of routes.
  std::string ClassLabel() const;
};

/// Runs one attempt at a time, and for a moment a silent one beside the attempt
/// that replaces it. The head of an event stream is sent to the caller with the
/// first whole event, so that an attempt that fails before that event can be
/// retried without the caller noticing.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway& gateway,
           AcceptedRequest request,
           std::shared_ptr<net::ResponseWriter> response);
  ~Exchange();

  void Start();
  void OnCallerDisconnected();

  /// Reports for how long the request has run so far.
  void ReportDuration() const;
  /// The host has begun to stop, or stops earlier than before.
  void OnDrain();

 private:
  /// Period in which it is checked whether a stalled attempt can be replaced.
  static constexpr std::chrono::milliseconds kStallRecheckPeriod{100};

  /// Bytes above which the transfer is paused while they wait: for a slow
  /// caller, or until the record of their stream is published.
  static constexpr size_t kMaxUnsentBytes = 256 << 10;

  class AttemptHandler;

  /// One send of the request to an upstream or to another host.
  struct Attempt {
    /// Null: the attempt has ended.
    std::shared_ptr<AttemptHandler> handler;
    net::TransferId transfer = 0;
    /// Only service and version are set if another host sends the request.
    UpstreamEntry upstream;
    std::optional<RelayPeers::Peer> relay_peer;
    int number = 0;  ///< ExchangeState::sends
    /// Part of ExchangeState::possible_runs.
    int possible_runs = 0;
    CrashAssessment crash_assessment;  ///< as of the last placement
    /// Marks the attempt for the placement of other requests.
    std::unique_ptr<CrashGuard::SuspectRun> suspect_run;
    BrittleUpstreams::OpenRequest open_request;
    duties::WorkCounter::Request engine_work;
    /// Whether its events show the speed of the upstream.
    bool measures_speed = false;
    engines::EventIntervals event_intervals;
    Duration expected_prefill{};
    TimePoint sent_at{};
    TimePoint progress_at{};  ///< last progress
    TimePoint data_at{};      ///< last data, or the start
    bool silence_reported = false;
    bool counted_as_stalled = false;  ///< in the health of its upstream
    /// First data of the answer.
    std::optional<TimePoint> answer_started_at;
    std::optional<ResponseHead> response_head;
    bool answer_framed = true;  ///< EndedTransfer::is_framed
    bool has_length = false;    ///< HeldAnswer::has_length
    std::string buffered_body;
    std::string partial_event;  ///< while this is `replaced_attempt_`

    size_t held_bytes() const {
      return buffered_body.capacity() + partial_event.capacity();
    }

    /// Time from the start of the answer; zero if there is none.
    Duration AnsweringFor(TimePoint now) const {
      return answer_started_at ? now - *answer_started_at : Duration::zero();
    }
  };

  /// Moves the deadline to the final answers of a host that stops.
  void CapDeadline();
  /// Whether the stop of the host ends the request before its own deadline.
  bool IsCutByDrain() const { return state_.deadline < own_deadline_; }
  /// Whether an attempt that begins now is likely to end before the host stops.
  bool MayBeginAttempt(TimePoint now) const;
  /// Limits for another attempt that begins at `now` or later.
  ExchangeLimits RetryLimits(TimePoint now) const;
  /// `code`, unless the stop of the host is why the request is not run.
  ResultCode NotRunCode(ResultCode code) const;
  /// Ends a request that no attempt will answer before the host stops.
  void EndByDrain();

  /// Fetches the load reports that placement needs, and places the request.
  void PrepareToPlace();
  void PlaceOrShed();
  /// Whether the caller resumes a stream that an earlier request of it began.
  bool ResumesStream() const;
  /// Attempt of the caller that brought the first event of the stream.
  const std::string& StreamId() const;
  StreamRecord MakeStreamRecord(TimePoint now) const;
  /// Whether the stream must not be placed here yet.
  bool NeedsStreamVersion() const;
  /// Finds out which software version began the stream, and then continues with
  /// `resume`, unless it is not known.
  void FindStreamVersion(std::function<void()> resume);
  void ResumeAt(const StreamQuery& query,
                const StreamEvidence& evidence,
                const std::function<void()>& resume);
  /// Returns false if the route does not lead to the service.
  bool MoveToService(const std::string& service);
  /// The first event of the answer has arrived.
  void BeginStream();
  /// Whether streams of the request's service may have begun at another
  /// version, or at another service of the route.
  bool MayHaveSeveralOrigins() const;
  /// Adds the upstreams that may have another version by now, if the version
  /// matters.
  void AvoidRestarted(std::vector<std::string>* excluded);
  /// Records in the stream log where the stream goes on or may begin. Sent with
  /// the attempt, so that the record is kept by the first event.
  void LogStream();
  /// Sends the events that waited until other hosts know the stream.
  void SendHeldEvents();
  void OnStreamPublished();
  /// Time for which the request must not be run, because it may have crashed
  /// upstreams.
  Duration HoldTime(TimePoint now) const;
  /// Time after which to ask again whether the request may be run; zero: it may
  /// be run now.
  Duration WaitBeforeRun(TimePoint now);
  /// Holds the request and then continues with `resume`, unless the hold would
  /// outlast the deadline or the request is refused after it.
  void Hold(Duration duration, std::function<void()> resume);
  void EndHold(const std::function<void()>& resume);
  /// Chooses an upstream; returns nothing if every upstream of the service has
  /// been tried.
  std::optional<Placement> PlaceRequest();
  /// Whether this host is cut from all upstreams.
  bool IsCutOff() const;
  /// A host that may serve the request, if this one is cut off.
  std::optional<RelayPeers::Peer> PickPeer() const;
  /// Sends the request to a host that reaches upstreams, if this one does not;
  /// returns false if the request has to be placed here.
  bool TryRelay();
  /// Attempts that the next host may use. One is kept, if there are several, in
  /// case that host is lost.
  int AttemptsForPeer() const;
  void SendToPeer(const RelayPeers::Peer& peer);
  void OnPeerHead(int status, net::Headers headers);
  /// The host has given the response by itself.
  void OnPeerRefusal(ResultCode code, const net::Headers& headers);
  /// Adds what the host needs to know that took the request from its caller.
  void AddRelayHeaders(net::Headers* headers) const;
  /// Whether all upstreams of the service name limits.
  bool AreAllLimited() const;
  /// Upstreams that name limits, or want no requests now.
  std::vector<std::string> LimitedUpstreams() const;
  /// The upstreams to which this request cannot be sent now. Adds those that
  /// other hosts were told to leave alone to the ones to be avoided.
  std::vector<std::string> UpstreamsWithoutTurn();
  /// Whether the limit of the upstream, if it names one, lets the request
  /// through; `required_age` as a part of UpstreamLimits::MaxTurnAge().
  bool HasTurn(const UpstreamProcess& process, double required_age) const;
  /// Counts a send at the upstream of the attempt.
  void UseTurn();
  /// Refuses the request because all upstreams take no more requests now.
  void RefuseForLimits();
  /// Whether the gate admits the request, rechecking a rejection against the
  /// load report of the chosen upstream.
  bool PassesGate(const std::optional<Placement>& placement);
  void ShedRequest();
  void SendToUpstream(const Placement& placement);
  /// Whether the number of servers of the request's service is ordered, so that
  /// its work is counted.
  bool HasPool() const;
  /// Counts the send of the current attempt.
  void CountEngineWork(TimePoint now);
  /// Resets the state of the current attempt.
  void BeginAttempt(TimePoint now);
  void StartTransfer(net::ClientRequest request, TimePoint now);
  /// Last event id after which the stream goes on; nothing: it begins.
  std::optional<uint64_t> ResumeAfter() const;
  AttemptContext MakeAttemptContext(const UpstreamEntry& upstream,
                                    TimePoint now) const;
  void StopAttempt(Attempt& attempt);
  /// Reports how fast the engine of the attempt sent its events.
  void ReportEngineSpeed(const Attempt& attempt);
  void OnHead(int status, const net::Headers& headers);
  /// Begins to relay the response, unless it cannot follow what the caller has
  /// got so far.
  void UseHead(ResponseHead head);
  void OnData(std::string_view data);
  void OnEnd(const net::TransferEnd& end);
  /// Reports when the upstream began to answer, for later placements.
  void ReportAnswerStarted(TimePoint now);
  void OnEvents(std::string_view data);
  void PassOnEvents(std::string events);
  void OnAnswerComplete();
  void StartAnswer();
  void WriteAnswer(std::string data);
  void PauseTransfer();
  /// Resumes a paused transfer if nothing has to wait any longer.
  void ResumeTransfer();
  /// Reports to the memory budget what the exchange holds of answers.
  void UpdateHeldBytes();
  /// Drops or passes on what the exchange holds, for the memory budget.
  void GiveWay();
  HeldAnswer DescribeHeldAnswer() const;
  /// Size up to which an answer that is not an event stream is buffered.
  size_t MaxBufferedBytes() const;
  void LogGivenWay(const Attempt& attempt, std::string_view step) const;
  bool IsUpstreamInService(const Attempt& attempt) const;
  void ReportConnectionLost(const Attempt& attempt);
  /// Call before an attempt is given up.
  void ReportGivenUp();
  /// Reports an attempt without data as a possible crash, once until more data
  /// arrives.
  void ReportSilence(TimePoint now);

  /// A placement that was made while the previous attempt still ran.
  struct PlannedSend {
    Placement placement;
    CrashAssessment crash_assessment;
  };
  /// What keeps a silent attempt from being replaced.
  enum class ReplacementObstacle {
    kHeld,            ///< the request may not be run now; see WaitBeforeRun()
    kUnknownVersion,  ///< of the stream
    kRetryBudget,
    kNoUpstream,  ///< that is expected to answer
  };
  using Replacement =
      std::variant<PlannedSend, RelayPeers::Peer, ReplacementObstacle>;
  static std::string_view ObstacleName(ReplacementObstacle obstacle);
  /// When the attempt counts as stalled, or is looked at again.
  TimePoint StallCheckAt() const;
  /// Replaces the silent attempt if another one can begin at once. Otherwise it
  /// goes on, since a sound upstream may be silent for a while.
  void OnSilence(TimePoint now);
  Replacement PlanReplacement(TimePoint now);
  /// Places the request anywhere but at the upstream of the current attempt.
  std::optional<PlannedSend> PlanSend();
  void LogKeptAttempt(ReplacementObstacle obstacle, TimePoint now);
  /// Puts the current attempt beside the one that replaces it.
  void SetAsideAttempt(TimePoint now);
  /// Gives up the replaced attempt, if it still runs.
  void DropReplacedAttempt();
  void EndReplacedAttempt(AttemptOutcome outcome, const std::string& detail);
  /// The transfer of the replaced attempt has ended.
  void OnReplacedAttemptEnd(const net::TransferEnd& end);
  /// Makes the replaced attempt the current one again, after the replacement
  /// has ended.
  void ReturnToReplacedAttempt(std::string_view reason);
  /// The same if the replacement was not run, and replaces the attempt again if
  /// another one can begin.
  void ReplaceAgain();
  /// Gives up the replacement, because the replaced attempt goes on by itself.
  void PreferReplacedAttempt();

  /// Stops the attempt and records its outcome.
  void CloseAttempt(AttemptOutcome outcome);
  void LogAttemptEnd(const Attempt& attempt,
                     AttemptOutcome outcome,
                     const std::string& detail,
                     Duration hold,
                     bool retry_allowed) const;
  void EndAttempt(AttemptOutcome outcome, std::string detail);
  /// Sends the request again if the retry budget permits, or finishes it.
  void RetryOrFinish(AttemptOutcome outcome);
  void LogRefusedRetry(ReplacementObstacle obstacle);
  /// Tries RetryOrFinish() again a little later.
  void AwaitRetry(AttemptOutcome outcome);
  /// Relays the request after an attempt, if the retry budget permits.
  bool RelayAgain(AttemptOutcome outcome);
  void RecordOutcome(const Attempt& attempt,
                     AttemptOutcome outcome,
                     TimePoint now);
  void ApplyFinalStep(const FinalStep& step);
  /// Whether the request is counted by when it was sent, since nothing else
  /// shows when it began to run. A stream counts with its first event.
  bool CountsBySend() const;
  /// The request is sent to an upstream.
  void NoteUsageSend(TimePoint now);
  /// The current attempt was not run.
  void WithdrawUsageSend();
  /// Counts the request for its team, once, and not if another host sent it to
  /// the upstream.
  void CountUsage(TimePoint began);
  /// Counts a request that is counted by its send, unless no upstream can have
  /// run it.
  void CountUsageOfSend();
  /// When CountUsageOfSend() is due for a request without an answer.
  std::optional<TimePoint> UsageDueAt() const;
  void ForwardFailure();
  void FailRequest(const Error& error);
  void FinishRequest(ResultCode code, std::string_view reason);
  void ArmTimer();
  void ReportWaitToGate(TimePoint now);
  /// Call before a request ends unanswered: an attempt that is stalled then
  /// counts as a failure of its upstream.
  void RecordStall(TimePoint now);
  void OnTimer(TimePoint now);
  Duration GateReportDelay() const;
  Duration StallTimeout() const;
  Duration RetryAfter(ResultCode code) const;
  LogLine RequestLogLine(std::string_view event) const;

  Gateway& gateway_;
  AcceptedRequest request_;
  std::shared_ptr<net::ResponseWriter> response_;
  ExchangeState state_;
  TimePoint own_deadline_{};  ///< ExchangeState::deadline of a host that stays
  Attempt attempt_;           ///< the current or the last one
  /// A silent attempt whose replacement may still be refused.
  std::optional<Attempt> replaced_attempt_;
  TimePoint overlap_ends_at_{};
  /// The last replacement of the current attempt was not sent, so the next one
  /// needs no retry budget.
  bool replacement_not_sent_ = false;
  uint64_t directory_offset_ = 0;  ///< of the last upstream list that was used
  std::vector<std::string> relayed_to_;  ///< hosts
  TimePoint stall_recheck_at_{};         ///< after a stall without consequence
  std::optional<ReplacementObstacle> logged_obstacle_;  ///< of this attempt
  /// Upstreams whose silent attempt was replaced; they may have been sound.
  std::vector<std::string> replaced_upstreams_;
  std::optional<TimePoint> retry_wait_ends_at_;  ///< see AwaitRetry()
  EventStream event_stream_;
  StreamOrigin logged_origin_;  ///< the last one in the stream log
  int logged_origins_ = 0;
  bool stream_log_read_ = false;
  bool publishing_stream_ = false;  ///< events wait in `held_events_`
  std::string held_events_;
  bool transfer_paused_ = false;
  bool finished_ = false;
  bool held_ = false;  ///< at any time
  bool wait_reported_ = false;
  bool queued_at_gate_ = false;  ///< counted by the gate as waiting
  std::optional<TimePoint> first_event_at_;
  /// Start of the first attempt that an upstream may run, if usage is counted.
  std::optional<TimePoint> usage_sent_at_;
  bool usage_counted_ = false;
  Duration max_event_gap_{};
  Duration upstream_retry_after_{};
  /// Null without a memory budget.
  std::unique_ptr<net::MemoryBudget::Account> memory_account_;
  TimerSubscription timeout_timer_;
  TimerSubscription hold_timer_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_EXCHANGE_H_
