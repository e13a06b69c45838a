/// \file
/// Runs each keyed request at most once and decides what its caller may be
/// told.

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
  /// Least time between two appends of this host. The router sets it to the
  /// number of live hosts divided by the appends a second that claims may use.
  Duration append_interval = std::chrono::milliseconds(20);
  /// Pause before a batch whose append failed is appended again.
  Duration append_retry = std::chrono::milliseconds(200);
  size_t max_claims_per_batch = 1000;
  /// Requests without a final decision; beyond it a request gets
  /// kClaimUnknown.
  size_t max_open = 10000;
  /// A release is appended this long after the last caller was told "not run",
  /// so that a send made before the answer arrives nowhere as a later one.
  Duration release_delay = std::chrono::seconds(1);
  /// How long a finished request's answer and state are kept for resends.
  Duration answer_keep = std::chrono::seconds(120);
  size_t max_answer_bytes = 16u << 20;  ///< over all kept answers
  size_t max_tokens = 100000;           ///< used tokens remembered
};

/// The request waits; a RunNow, Forward, Replay or Refuse action follows.
struct Wait {};
/// This request, and no other send of its key, may be dispatched.
struct RunNow {};
/// The router passes the request on to `holder`; when it is not reachable, the
/// caller gets kHolderUnreachable.
struct ForwardToHolder {
  HostIncarnation holder;
};
struct Replay {
  Answer answer;
};
/// The code's outcome is exactly what the caller may conclude.
struct Refuse {
  ResultCode code = ResultCode::kClaimUnknown;
};

using Decision = std::variant<Wait, RunNow, ForwardToHolder, Replay, Refuse>;

/// A decision about a request that had to wait.
struct Action {
  RequestId request = 0;
  Decision decision;
};

/// A record read from stream `claims`.
struct ClaimRecord {
  LogOffset offset = 0;
  WallTime time;
  /// Empty when the record cannot be read by this version.
  std::optional<ClaimBatch> batch;
};

enum class AppendOutcome {
  kAppended,
  kFailed,   ///< certainly not on the log (429, 503, not connected)
  kUnknown,  ///< the answer was lost; reading settles it
};

/// What the table knows after a request ended.
enum class FinishKind {
  kAnswered,  ///< the answer is complete
  kLost,      ///< bytes were written and the outcome is unknown
};

struct ClaimStats {
  size_t indexed = 0;
  size_t waiting = 0;
  size_t held = 0;  ///< won, running or kept
  size_t answer_bytes = 0;
  bool caught_up = false;
};

/// The state machine of one host. All actions for one call are returned by it.
/// A request id must be unique while its request is open.
class ClaimTable {
 public:
  ClaimTable(HostIncarnation self, ClaimOptions options);

  /// The number of a new token; FormatToken makes its text.
  uint64_t IssueToken() { return ++last_token_; }

  /// Decides about an arriving request, or one forwarded by another host
  /// (`forwarded`; never forwarded a second time).
  Decision OnRequest(RequestId request,
                     const Key& key,
                     uint64_t body_hash,
                     bool forwarded,
                     TimePoint now);

  /// Records in log order. A gap in offsets is taken as lost to retention.
  std::vector<Action> OnRecords(const std::vector<ClaimRecord>& records,
                                TimePoint now);

  /// Reading starts at `first_retained`; the index is complete once the records
  /// before `next_offset` have been read. Called after every start and 410.
  std::vector<Action> OnReadStart(LogOffset first_retained,
                                  LogOffset next_offset);

  /// Changes the least time between two appends, for instance when the number
  /// of live hosts changes.
  void SetAppendInterval(Duration interval) {
    options_.append_interval = interval;
  }

  /// Where to read on.
  LogOffset next_offset() const { return index_.next_offset(); }

  /// The batch to append now, if any. One append is in flight at a time.
  std::optional<ClaimBatch> TakeBatch(TimePoint now);
  void OnAppendResult(uint64_t batch_number,
                      AppendOutcome outcome,
                      TimePoint now);

  /// The router is about to write the request to an upstream.
  void OnDispatchDecided(RequestId request);

  /// The dispatched request certainly did not run (nothing was written, or the
  /// upstream refused before running it). It may be dispatched again.
  void OnNotDelivered(RequestId request);

  /// The router gives the request up without sending it: deadline, queue,
  /// caller gone. Returns the code for its caller: `reason` when "not run" may
  /// be said, otherwise kClaimUnknown. Requests that waited for its answer get
  /// actions.
  ResultCode OnGaveUp(RequestId request,
                      ResultCode reason,
                      TimePoint now,
                      std::vector<Action>* actions);

  /// The running request ended. `answer` is kept and replayed to resends; its
  /// caller need not be there any more.
  std::vector<Action> OnFinished(RequestId request,
                                 FinishKind kind,
                                 Answer answer,
                                 TimePoint now);

  /// Drops kept answers after their time. Called about once a second.
  void OnTick(TimePoint now);

  /// Whether the request waits for the answer to an earlier send of its key,
  /// whose claim this host holds.
  bool AwaitsAnswer(RequestId request) const;

  ClaimStats Stats() const;

 private:
  enum class State {
    kQueued,     // claim not appended yet
    kAppending,  // claim may be on the log
    kWon,        // claim is the winner; nothing sent
    kRunning,    // may have been sent
    kAnswered,
    kLost,
    kGaveUp,     // winner that never sends; release not yet taken
    kReleasing,  // release may be on the log
  };
  struct Waiter {
    RequestId request;
    uint64_t body;
    bool forwarded;
  };
  struct Entry {
    State state = State::kQueued;
    bool is_token = false;
    uint64_t token_number = 0;
    Claim claim;
    uint64_t batch = 0;          // that carries the claim
    LogOffset claim_offset = 0;  // once won
    RequestId owner = 0;         // the request that runs; 0 when gone
    std::vector<Waiter> waiters;
    Answer answer;
    bool answer_kept = false;
    TimePoint since;  // of the state; for kGaveUp the last "not run" told
  };
  using Entries = std::map<Hash128, Entry>;

  Decision OnUuid(RequestId request,
                  const UuidKey& key,
                  uint64_t body,
                  bool forwarded,
                  TimePoint now);
  Decision OnToken(RequestId request,
                   const TokenKey& key,
                   uint64_t body,
                   bool forwarded,
                   TimePoint now);
  Decision Join(Entry* entry,
                RequestId request,
                uint64_t body,
                bool forwarded,
                TimePoint now);
  Decision ByIndex(const IndexEntry& found,
                   uint64_t body,
                   bool forwarded) const;
  static bool IsWaiting(const Entry& entry) {
    return entry.state == State::kQueued || entry.state == State::kAppending;
  }
  void TrimQueue();
  void Settle(Entry* entry, TimePoint now, std::vector<Action>* actions);
  void SettleOwnBatch(const ClaimBatch& batch,
                      TimePoint now,
                      std::vector<Action>* actions);
  void DropUnsettled(std::vector<Action>* actions);
  void FillBatch(TimePoint now, ClaimBatch* batch);
  void RefuseAll(Entry* entry, ResultCode code, std::vector<Action>* actions);
  void EraseEntry(const Hash128& key);
  Entry* FindByRequest(RequestId request);
  Entry* OwnedBy(RequestId request);
  void PromoteWaiter(Entry* entry);
  void KeepAnswer(Entry* entry, Answer answer);
  void DropAnswer(Entry* entry);
  void ForgetTokens();

  HostIncarnation self_;
  ClaimOptions options_;
  ClaimIndex index_;
  Entries entries_;
  std::unordered_map<RequestId, Hash128> by_request_;
  std::deque<Hash128> queue_;            // entries in kQueued
  std::deque<Hash128> finished_;         // kAnswered and kLost, oldest first
  std::deque<Hash128> gave_up_;          // kGaveUp, checked for release
  std::optional<ClaimBatch> in_flight_;  // also kept while it is retried
  std::deque<Hash128> used_tokens_;      // finished, without an answer
  bool append_open_ = false;             // its result is still to come
  bool start_marker_due_ = true;
  TimePoint next_append_;
  uint64_t next_batch_ = 1;
  uint64_t last_token_ = 0;
  uint64_t token_floor_ = 0;  // tokens up to it and not in entries_ are too old
  size_t answer_bytes_ = 0;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_CLAIM_TABLE_H_
