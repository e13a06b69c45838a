/// \file
/// Runs the request of each idempotency key at most once and decides which
/// result each attempt gets.

#ifndef TEASELHILL_CLAIMS_CLAIM_TABLE_H_
#define TEASELHILL_CLAIMS_CLAIM_TABLE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "teaselhill/claims/claim_index.h"
#include "teaselhill/claims/key.h"
#include "teaselhill/claims/messages.h"

namespace teaselhill::claims {

struct ClaimOptions {
  ClaimIndexOptions index;
  /// Minimum time between two appends of this host. The router sets it to the
  /// number of live hosts divided by the appends per second allowed for claims.
  Duration append_interval = std::chrono::milliseconds(20);
  /// Delay before a batch whose append failed is appended again.
  Duration append_retry_delay = std::chrono::milliseconds(200);
  size_t max_claims_per_batch = 1000;
  /// A request that would have to wait is refused with kClaimUnknown while this
  /// many requests are open, i.e. wait, may run or are running.
  size_t max_open_requests = 10000;
  /// Minimum delay between the last "not run" answer for a key and the append
  /// of the key's release. An attempt that was sent before the caller received
  /// that answer is assumed to arrive within the delay. An attempt that arrives
  /// within the delay is refused with another "not run" answer, so that it does
  /// not run after the caller was told that the key did not run.
  Duration release_delay = std::chrono::seconds(1);
  /// How long the answer and the state of a finished request are stored for
  /// retries, counted from the end of the request.
  Duration answer_retention = std::chrono::seconds(120);
  size_t max_answer_bytes = 16u << 20;  ///< of all stored answers together
  /// Maximum number of idempotency tokens that stay stored as used after the
  /// answers to their requests have expired.
  size_t max_used_tokens = 100000;
};

/// The request waits. A later call to a method of ClaimTable returns a
/// ClaimAction that contains another decision for the request.
struct WaitForAction {};
/// The request may be dispatched. No other attempt with the same key may be
/// dispatched unless this request is abandoned before it ran.
struct RunRequest {};
/// The router forwards the request to `holder`; if that host is unreachable,
/// the caller gets kHolderUnreachable.
struct ForwardToHolder {
  HostIncarnation holder;
};
/// The caller gets the stored answer of an earlier attempt.
struct ReplayAnswer {
  Answer answer;
};
/// The caller gets an error. The outcome of `code` (see result_codes.def)
/// states whether the request ran, did not run or may have run.
struct RefuseRequest {
  ResultCode code = ResultCode::kClaimUnknown;
};

using ClaimDecision = std::variant<WaitForAction,
                                   RunRequest,
                                   ForwardToHolder,
                                   ReplayAnswer,
                                   RefuseRequest>;

/// The decision about a request that was waiting.
struct ClaimAction {
  RequestId request = 0;
  ClaimDecision decision;
};

/// A record read from stream `claims`.
struct ClaimRecord {
  LogOffset offset = 0;
  WallTime time;
  /// Empty if this version cannot decode the record.
  std::optional<ClaimBatch> batch;
};

enum class AppendOutcome {
  kAppended,
  kFailed,   ///< the batch is not on the log (429, 503, not connected)
  kUnknown,  ///< no response; only the log shows if the batch was appended
};

/// How a dispatched request ended.
enum class FinishKind {
  kAnswered,        ///< the answer is complete
  kOutcomeUnknown,  ///< bytes were sent and the outcome is unknown
};

struct ClaimStats {
  size_t indexed = 0;
  size_t waiting = 0;  ///< keys whose claim waits for its record to be read
  /// Keys whose claim no longer waits for its record to be read: the claim has
  /// won, or the request is running, finished, abandoned or being released.
  size_t held = 0;
  size_t answer_bytes = 0;
  bool caught_up = false;
};

/// The state machine for the requests with an idempotency key on one host. A
/// method that changes the decisions about waiting requests returns these
/// decisions as actions. A request id must be unique while its request is open.
class ClaimTable {
 public:
  ClaimTable(HostIncarnation self, ClaimOptions options);

  /// Returns the number of a new token, for FormatToken().
  uint64_t IssueToken() { return ++last_token_number_; }

  /// Decides whether a request waits, runs, is forwarded, gets a stored answer
  /// or is refused. `forwarded` is true if another host forwarded the request
  /// to this host. A forwarded request is never forwarded again.
  ClaimDecision OnRequest(RequestId request,
                          const Key& key,
                          uint64_t body_hash,
                          bool forwarded,
                          TimePoint now);

  /// Applies `records`, which must be in log order. A gap between their
  /// offsets, or between next_offset() and the first of them, means that the
  /// log was truncated.
  std::vector<ClaimAction> OnRecords(const std::vector<ClaimRecord>& records,
                                     TimePoint now);

  /// Starts or resumes reading, see ClaimIndex::StartReading(). The index has
  /// caught up once the records before `next_offset` have been read. Called
  /// when the router starts and after every response 410 from the log.
  std::vector<ClaimAction> OnReadStart(LogOffset first_retained,
                                       LogOffset next_offset);

  /// Changes the minimum time between two appends, for instance when the number
  /// of live hosts changes.
  void SetAppendInterval(Duration interval) {
    options_.append_interval = interval;
  }

  /// Offset of the next record to read.
  LogOffset next_offset() const { return index_.next_offset(); }

  /// Returns the batch to append now, if any. At most one append is in flight
  /// at a time.
  std::optional<ClaimBatch> NextBatchToAppend(TimePoint now);
  void OnAppendResult(uint64_t batch_number,
                      AppendOutcome outcome,
                      TimePoint now);

  /// Called just before the router sends the request to an upstream.
  void OnDispatchDecided(RequestId request);

  /// Called when the dispatched request certainly did not run: nothing was
  /// sent, or the upstream refused the request before running it. The request
  /// may be dispatched again.
  void OnNotRun(RequestId request);

  /// Called when the router abandons a request that is not dispatched or whose
  /// dispatch was followed by OnNotRun(): the deadline passed, the queue is
  /// full or the caller disconnected. Returns the code for the caller: `reason`
  /// if no attempt with the key can have run, otherwise kClaimUnknown. Adds to
  /// `actions` a refusal of each request that waited for this one and can no
  /// longer get a result: all of them if it returns `reason`, and the forwarded
  /// ones if nothing is left that may claim the key.
  ResultCode OnAbandoned(RequestId request,
                         ResultCode reason,
                         TimePoint now,
                         std::vector<ClaimAction>* actions);

  /// Called when the dispatched request has ended. If it was answered, `answer`
  /// is stored and replayed to retries, even if the caller of this request has
  /// disconnected.
  std::vector<ClaimAction> OnFinished(RequestId request,
                                      FinishKind kind,
                                      Answer answer,
                                      TimePoint now);

  /// Removes expired answers and evicts used tokens beyond max_used_tokens.
  /// Called about once a second.
  void OnTick(TimePoint now);

  /// Returns true if this host holds the request's key and the request waits
  /// for the answer to another attempt with that key.
  bool AwaitsAnswer(RequestId request) const;

  ClaimStats Stats() const;

 private:
  enum class State {
    kQueued,     // claim is not in a batch yet
    kAppending,  // claim may be on the log
    kWon,        // this host holds the key; the request has not run
    kRunning,    // request may have been sent
    kAnswered,
    kOutcomeUnknown,  // request was sent, outcome unknown
    kAbandoned,       // this host holds the key; release is not in a batch yet
    kReleasing,       // release may be on the log
  };
  struct Waiter {
    RequestId request;
    uint64_t body_hash;
    bool forwarded;
  };
  struct Entry {
    State state = State::kQueued;
    bool is_token = false;
    uint64_t token_number = 0;
    Claim claim;
    uint64_t batch_number = 0;   // number of the batch with the claim
    LogOffset claim_offset = 0;  // set when the claim has won
    RequestId owner = 0;         // request that may run; 0 if none
    std::vector<Waiter> waiters;
    Answer answer;
    bool has_answer = false;
    // In kAnswered and kOutcomeUnknown the time at which the request ended, in
    // kAbandoned the time of the last "not run" answer. Not used in other
    // states.
    TimePoint state_since;
  };
  using Entries = std::map<Hash128, Entry>;

  ClaimDecision OnUuidRequest(RequestId request,
                              const UuidKey& key,
                              uint64_t body_hash,
                              bool forwarded,
                              TimePoint now);
  ClaimDecision OnTokenRequest(RequestId request,
                               const TokenKey& key,
                               uint64_t body_hash,
                               bool forwarded,
                               TimePoint now);
  ClaimDecision JoinEntry(Entry* entry,
                          RequestId request,
                          uint64_t body_hash,
                          bool forwarded,
                          TimePoint now);
  ClaimDecision DecideByIndex(const IndexedClaim& found,
                              uint64_t body_hash,
                              bool forwarded) const;
  static bool IsWaiting(const Entry& entry) {
    return entry.state == State::kQueued || entry.state == State::kAppending;
  }
  void CompactQueue();
  void ResolveClaim(Entry* entry,
                    TimePoint now,
                    std::vector<ClaimAction>* actions);
  void ResolveOwnBatch(const ClaimBatch& batch,
                       TimePoint now,
                       std::vector<ClaimAction>* actions);
  void RefuseUnresolved(std::vector<ClaimAction>* actions);
  void FillBatch(TimePoint now, ClaimBatch* batch);
  void RefuseAll(Entry* entry,
                 ResultCode code,
                 std::vector<ClaimAction>* actions);
  void EraseEntry(const Hash128& key);
  Entry* FindByRequest(RequestId request);
  Entry* FindByOwner(RequestId request);
  void PromoteWaiter(Entry* entry);
  void StoreAnswer(Entry* entry, Answer answer);
  void RemoveAnswer(Entry* entry);
  void EvictUsedTokens();

  HostIncarnation self_;
  ClaimOptions options_;
  ClaimIndex index_;
  Entries entries_;
  std::unordered_map<RequestId, Hash128> by_request_;
  std::deque<Hash128> queue_;     // keys in kQueued, oldest first
  std::deque<Hash128> finished_;  // kAnswered and kOutcomeUnknown, oldest first
  std::deque<Hash128> abandoned_;  // kAbandoned, waiting for release_delay
  // Batch whose append is retried until the batch is known to be on the log.
  std::optional<ClaimBatch> unconfirmed_batch_;
  std::deque<Hash128> used_tokens_;  // tokens whose answer has expired
  bool append_in_flight_ = false;    // an append has not reported its result
  // The first batch is appended even if it contains nothing: once its record is
  // read, coverage_floor_pending() is false.
  bool start_marker_pending_ = true;
  TimePoint next_append_at_;
  uint64_t next_batch_number_ = 1;
  uint64_t last_token_number_ = 0;
  // Highest number of all used tokens that were evicted. A token with this or a
  // lower number and no entry in entries_ is refused, because the request of
  // the token may have run.
  uint64_t max_evicted_token_ = 0;
  size_t answer_bytes_ = 0;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_CLAIM_TABLE_H_
