/// \file
/// Counts the crashes of upstreams under each request, and decides which
/// requests are refused because they crash the upstreams that run them.

#ifndef TEASELHILL_GATEWAY_CRASH_HISTORY_H_
#define TEASELHILL_GATEWAY_CRASH_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaselhill/gateway/answer_memory.h"
#include "teaselhill/gateway/crash_keys.h"
#include "teaselhill/gateway/loss_reviewer.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct CrashHistoryOptions {
  /// Crashes, also such as are not verified yet, from which on a request is
  /// held after each crash and then runs only in a trial.
  int crashes_to_hold = 2;
  /// Crashes after which a request is refused if the last one was in a trial,
  /// or if no request beside it has several, and unless another request ran at
  /// each of them as well.
  int crashes_to_quarantine = 3;
  /// If none was in a trial, the number of crashes that must not be due to
  /// another request that is refused.
  int unexplained_crashes_to_quarantine = 2;
  /// Crashes after which a request is refused although another request ran at
  /// each of them.
  int max_crashes = 4;
  /// Crashes after which a part is refused where more upstreams crash without
  /// it: each part then meets some crashes by chance.
  int crashes_to_quarantine_among_others = 5;
  /// Where the crashes without a part are more than this multiple of its own,
  /// upstreams crash for other reasons, and it is not refused.
  int max_other_crashes_ratio = 2;
  /// Time before the first crash of a part in which such crashes count.
  Duration other_crashes_span = std::chrono::seconds(10);
  /// Time for which a request is refused after its last crash. Doubles with
  /// each further crash, up to `max_quarantine_doublings`.
  Duration quarantine_duration = std::chrono::minutes(10);
  int max_quarantine_doublings = 2;
  /// Time after the last crash at which the crashes of a request are forgotten.
  Duration retention = std::chrono::hours(1);
  /// The same for a request with too few crashes to be refused.
  Duration suspect_retention = std::chrono::minutes(10);
  /// A crash is early if the answer had not started, or had started at most
  /// this long before. Crashes that are later in the answer count together if
  /// they are at most this far apart.
  Duration early_crash = std::chrono::milliseconds(500);
  /// Length of the hold after a first early crash at the host that saw it. The
  /// verdict on it has arrived by then, and records of other hosts for the same
  /// request.
  Duration first_retry_delay = std::chrono::milliseconds(60);
  /// Length of a hold before a trial, counted from the last crash. Records of
  /// the same crash arrive from other hosts in this time, and answers clear
  /// those who are innocent. The other hosts also wait so long after a first
  /// crash: copies that ran at once would each crash an upstream.
  Duration report_delay = std::chrono::milliseconds(400);
  /// Time from the last crash to a refusal; the request is held meanwhile. By
  /// then LossReviewer has revised the verdicts on processes that were only cut
  /// off.
  Duration confirmation_delay = std::chrono::milliseconds(6500);
  /// Time after its last crash in which a request with three crashes can have a
  /// trial. If no upstream was up, it is refused without one, because few sends
  /// are tolerated later than GatewaySettings::crash_stop_delay.
  Duration max_trial_delay = std::chrono::milliseconds(2500);
  size_t max_keys = 4096;
  /// Keys of answered requests that are remembered for `answer_retention`.
  size_t max_answered_keys = 4096;
  Duration answer_retention = std::chrono::minutes(2);
  /// A host that hears of a crash under a part which it trusts withdraws the
  /// record within this time, unless another host does so first. Without the
  /// wait, each host of the fleet would withdraw the same record.
  Duration withdrawal_spread = std::chrono::seconds(1);
  /// Withdrawn records that are remembered for `withdrawn_retention`, so that a
  /// record that arrives again by another way is neither counted nor withdrawn
  /// once more.
  size_t max_withdrawn_records = 8192;
  Duration withdrawn_retention = std::chrono::minutes(2);
  /// Answers at this host in that time from which on a part of prompts is
  /// shared by so many sound requests that it is no suspect.
  int answers_to_trust_part = 5;
  /// Answers to requests with parts since the start of a host, from which on it
  /// knows the parts that many requests share.
  int answers_to_know_parts = 20;
};

/// A crash as hosts tell it each other. `key` and `id` identify the record; the
/// records of one lost attempt have the same id.
struct CrashRecord {
  CrashKey key;
  uint64_t id = 0;
  /// The crash does not count any more; the fields below are not set.
  bool withdrawn = false;
  UpstreamProcess upstream;
  Duration age{};       ///< since the crash
  Duration run_time{};  ///< from the send of the request to the crash
  /// From the start of the answer to the crash; zero if there was none.
  Duration answering_for{};
  /// From the last sign of life of the upstream to the crash.
  Duration silent_for{};
  LossKind kind = LossKind::kConnectionLost;
  uint64_t team = 0;  ///< CrashKeys::team
};

/// Why a request is taken for the cause of crashes.
enum class CauseEvidence {
  kNone,  ///< it is not
  /// It crashed an upstream in its trial.
  kTrial,
  /// No request beside it has several crashes that it did not meet there too.
  kStandsOut,
  /// It has as many crashes as are tolerated.
  kMaxCrashes,
  /// No upstream was up for its trial in time, and nothing else explains one of
  /// its crashes.
  kNoTrialInTime,
};
std::string_view CauseEvidenceName(CauseEvidence evidence);

struct CrashAssessment {
  /// Verified crashes under the request, without a complete answer since.
  /// Copies of the request that ran at the same time count once, because an
  /// outage of several upstreams can end all of them. Only crashes at about the
  /// same point of the answer count together: a request that crashes its
  /// upstream does so there each time.
  int crashes = 0;
  /// The same with crashes that are not verified yet, and for parts without
  /// those that are explained by a cause that was found.
  int suspected_crashes = 0;
  /// Whether the request should run apart from other suspects, so that a second
  /// crash tells them apart: it has several crashes, or an early one.
  bool isolate = false;
  /// Whether the next run may be the one that gets the request refused. A host
  /// runs one such copy at a time.
  bool is_trial = false;
  /// Time for which the request is not to be run, but not refused either.
  Duration hold_for{};
  /// Time for which the request is refused; zero: it is not refused.
  Duration refused_for{};
  /// Why it is refused, or held for longer until it is.
  CauseEvidence evidence = CauseEvidence::kNone;
  /// The key with the strongest suspicion, if any.
  std::optional<CrashKey> cause;
  /// The keys because of which the request is to be isolated.
  std::vector<CrashKey> isolated_keys;
};

/// For logs: the kind of the cause and what identifies it, or nothing.
std::string CauseText(const CrashAssessment& assessment);

struct CrashCounts {
  size_t suspects = 0;     ///< keys with crashes that are not refused
  size_t quarantined = 0;  ///< keys that are refused
};

/// Crashes of upstreams by the keys of the request that they ran. A lost
/// connection counts once LossReviewer takes it for a crash, and until the
/// request is answered completely on any host. Hosts exchange records, so that
/// each of them counts the crashes of the whole fleet.
///
/// A crash ends all requests of the upstream, and nothing in one crash tells
/// its cause from the others: the cause may run for a while, or wait for a slot
/// before it runs. The cause is the request that ran at several crashes. So
/// that innocent requests do not meet it again, a request with one crash runs
/// apart from other suspects, and one with two crashes only in a trial: after a
/// hold, one such request of the fleet at a time. An answer clears a request on
/// all hosts. A request with three crashes is refused unless another one, which
/// was not answered since, ran at all of them; a further trial tells these
/// apart. Crashes at which a refused request ran are explained by it. A request
/// that was answered completely a short time ago is not suspected: many callers
/// may send it, so that a copy of it is in flight at each crash.
///
/// The same holds for the parts of prompts, with some differences. A part that
/// many answered requests share is no suspect, and one that some share is not
/// held up before its third crash. Keys that ran in the same attempts at each
/// crash cannot be told apart: a request is refused only if it has all of them.
/// And a part is refused to a team that had a crash with it, or to all teams
/// after crashes of two: a caller whose requests crash upstreams for another
/// reason cannot get others refused by naming their parts. A part is also tried
/// first on a host that has seen it answered, or has seen few answers yet. A
/// request that is not refused for one of these reasons runs in a trial. Where
/// upstreams crash more often without a part, it needs more crashes.
///
/// Deterministic: time is an argument.
class CrashHistory {
 public:
  /// `record_id_seed`: differs between all hosts and restarts.
  explicit CrashHistory(uint64_t record_id_seed,
                        CrashHistoryOptions options = {})
      : record_id_seed_(record_id_seed),
        options_(options),
        answered_requests_(options.max_answered_keys, options.answer_retention),
        answered_parts_(options.max_answered_keys, options.answer_retention),
        withdrawn_records_(options.max_withdrawn_records,
                           options.withdrawn_retention) {}

  /// Whether no key has a crash; no fingerprint needs to be computed then.
  bool empty() const { return entries_.empty(); }

  CrashAssessment Assess(const CrashKeys& keys, TimePoint now) const;

  /// Assesses one key, as for a request that has all keys that cannot be told
  /// from it and comes from a team that had a crash with it.
  CrashAssessment AssessKey(const CrashKey& key, TimePoint now) const;

  /// An attempt that was sent at `sent_at` lost its connection. Suspected until
  /// OnVerdict(). `answering_for`: time since the upstream began to answer;
  /// zero if it had not. `seen_alive_at`: when it was last seen alive before
  /// the loss.
  void OnConnectionLost(const CrashKeys& keys,
                        const UpstreamProcess& upstream,
                        Duration answering_for,
                        TimePoint seen_alive_at,
                        TimePoint sent_at,
                        TimePoint now,
                        LossKind kind = LossKind::kConnectionLost);

  /// The trial of a request was given up. The upstream may go on with it for a
  /// while: a crash of the process soon after counts as one under the request.
  /// Arguments as of OnConnectionLost().
  void OnTrialAbandoned(const CrashKeys& keys,
                        const UpstreamProcess& upstream,
                        Duration answering_for,
                        TimePoint sent_at,
                        TimePoint now);

  /// Processes that crashed under the request, as far as is known.
  std::vector<UpstreamProcess> CrashedProcesses(const CrashKeys& keys) const;

  /// Applies a verdict to the losses of this host.
  void OnVerdict(const LossVerdict& verdict);

  /// Processes that ended without announcing it, with the start times of the
  /// next processes of their upstreams. No request need have met these ends.
  void OnRestarts(const std::map<UpstreamProcess, TimePoint>& restarts);

  /// The request was answered completely, so it crashes no upstream. Call for
  /// each answer, also while there are no crashes.
  void OnAnswerCompleted(const CrashKeys& keys);

  /// Applies records of other hosts, or those of this host before a restart.
  void OnRecords(const std::vector<CrashRecord>& records, TimePoint now);

  /// Returns the records to share since the last call: early crashes, and all
  /// crashes of a request that has several. Other hosts need them to recognize
  /// a copy of the request, and to tell it from the requests beside it.
  std::vector<CrashRecord> TakeRecords(TimePoint now);

  /// Returns the keys that are refused now and were not at the last call.
  std::vector<CrashKey> TakeNewlyRefused(TimePoint now);

  /// Removes expired crashes. Call about once a second.
  void Expire(TimePoint now);

  CrashCounts Count(TimePoint now) const;
  /// Number of keys with a crash of this upstream.
  size_t CountAt(const UpstreamProcess& upstream) const;

 private:
  /// Maximum number of crashes that are kept for one key.
  static constexpr size_t kMaxCrashesPerKey = 16;

  struct Crash {
    uint64_t record_id = 0;
    UpstreamProcess upstream;
    TimePoint sent_at;
    TimePoint crashed_at;
    TimePoint seen_alive_at;   ///< of the upstream, before the loss
    Duration answering_for{};  ///< CrashRecord::answering_for
    /// Lost by an attempt of this host, whose verdicts apply to it.
    bool own = false;
    LossKind kind = LossKind::kConnectionLost;
    uint64_t team = 0;
    bool verified = false;
    /// The upstream has outlived the loss, as far as is known.
    bool refuted = false;
    /// The upstream had crashed before the attempt was sent.
    bool superseded = false;
    /// Another key that is identified as a cause ran at the crash. Known of
    /// crashes under parts only: a request is also cleared by its own answer,
    /// while many requests with a part would wait for one.
    bool explained = false;
    bool shared = false;  ///< other hosts have the record or will get it

    bool counts() const { return !refuted && !superseded; }
  };
  struct AbandonedTrial {
    CrashKeys keys;
    /// As it is recorded if the upstream crashes; `crashed_at` is the time at
    /// which the trial was given up.
    Crash crash;
  };
  struct Entry {
    bool is_part = false;  ///< of prompts; otherwise a request
    std::vector<Crash> crashes;
    int crash_count = 0;  ///< CrashAssessment::crashes
    /// Why it is to be refused, once the hold is over.
    CauseEvidence evidence = CauseEvidence::kNone;
    /// To be refused if it has no trial in time.
    bool needs_trial = false;
    bool refused = false;  ///< as of the last TakeNewlyRefused()
    /// Record ids of the crashes that count, in order; as of IdentifyCauses().
    std::vector<uint64_t> attempts;
    /// A key with more crashes ran at each of its crashes. Known of parts only.
    bool has_stronger = false;
    /// Other keys that cannot be told from this one.
    std::vector<CrashKey> inseparable;

    bool identified() const { return evidence != CauseEvidence::kNone; }
  };
  using Entries = std::unordered_map<CrashKey, Entry, Hash128Hasher>;

  CrashAssessment AssessEntry(const CrashKey& key,
                              const Entry& entry,
                              bool refusal_justified,
                              TimePoint now) const;
  /// Whether the request is refused once the entry is identified as a cause.
  bool IsRefusalJustified(const CrashKey& key,
                          const Entry& entry,
                          const CrashKeys& keys) const;
  /// Whether the key is a part that requests with it are not held up for: it
  /// was answered a short time ago and has few crashes since, or a stronger
  /// suspect ran at each of its crashes.
  bool IsTrusted(const CrashKey& key, const Entry& entry) const;
  /// A loss of this host at `now`, not verified yet.
  Crash MakeLoss(const CrashKeys& keys,
                 const UpstreamProcess& upstream,
                 Duration answering_for,
                 TimePoint sent_at,
                 TimePoint now);
  void RecordLoss(const CrashKey& key, Crash crash);

  /// Number of crashes for which the predicate holds, counted as in
  /// CrashAssessment::crashes.
  template <typename Predicate>
  int CountCrashes(const Entry& entry, Predicate predicate) const;
  /// CrashAssessment::suspected_crashes.
  int CountSuspected(const Entry& entry) const;
  /// The epoch if the entry has no crashes.
  static TimePoint LastCrashAt(const Entry& entry);
  static Crash* FindRecord(Entry& entry, uint64_t record_id);
  /// Finds the losses at upstreams that had crashed before. Hosts learn late of
  /// the crashes that others saw.
  void FindSuperseded();
  /// Records the crashes of upstreams that went on with an abandoned trial.
  void FindCrashesOfAbandoned();
  /// When the process crashed within that span, as far as is known.
  std::optional<TimePoint> CrashedBetween(const UpstreamProcess& process,
                                          TimePoint begin,
                                          TimePoint end) const;
  void UpdateCounts();
  /// Finds the requests that are the causes of crashes. A verdict may change
  /// with each record, since one identified request explains crashes of others.
  void IdentifyCauses();
  struct Candidate {
    CrashKey key;
    Entry* entry;
  };
  /// Bounds the number of candidates.
  static void KeepMostSuspected(std::vector<Candidate>* candidates);
  /// Identifies the candidate that explains most crashes, of those with
  /// evidence, and those that cannot be told from it. Returns whether there was
  /// one.
  bool IdentifyStrongest(const std::vector<Candidate>& candidates);
  /// Releases those of which other identified ones explain each crash: what
  /// many requests have in common is found before causes that had fewer
  /// crashes.
  void DropExplained(std::vector<Candidate> candidates);
  /// Fills in Crash::explained and Entry::has_stronger of parts.
  void MarkExplained(const std::vector<Candidate>& candidates);
  static bool HasStronger(const Entry& entry,
                          const std::vector<Candidate>& candidates);
  /// Identifies those that have as many crashes as are tolerated.
  void IdentifyAtLimit(const std::vector<Candidate>& candidates);
  CauseEvidence EvidenceAgainst(const Entry& entry) const;
  /// Whether it has as many crashes as a cause must have.
  bool HasEnoughCrashes(const Entry& entry) const;
  /// Number of processes that crashed at about the same time without the entry.
  int CountCrashesOfOthers(const Entry& entry) const;
  /// Number of restarts since `begin` that are not known as crashes, of
  /// upstreams that the entry had not crashed shortly before.
  int CountOtherRestarts(const Entry& entry, TimePoint begin) const;
  bool HasEnoughUnexplained(const Entry& entry) const;
  /// Whether it is to be refused if it has no trial in time: something is left
  /// that no other suspect explains.
  bool NeedsTrial(const Entry& entry) const;
  /// Entry::evidence, or that the time for a trial is over.
  CauseEvidence EvidenceAt(const Entry& entry, TimePoint now) const;
  /// Whether it crashed an upstream in a trial, which no other request explains
  /// or may have caused.
  bool CrashedInTrial(const Entry& entry) const;
  /// Whether another request ran at the crash that was a suspect before the run
  /// began. One that met its crashes beside the entry counts only if the entry
  /// is popular.
  bool IsContested(const Entry& entry, const Crash& crash) const;
  /// Whether many callers send the request, so that copies of it are in flight
  /// at each crash.
  static bool IsPopular(const Entry& entry);
  /// Whether the run that ended with the crash began after a hold.
  bool IsTrial(const Entry& entry, const Crash& crash) const;
  /// Number of crashes at which no other request with several crashes ran;
  /// those that met all of theirs beside the entry do not count, unless it is
  /// popular.
  int CountWithoutSuspects(const Entry& entry) const;
  /// Number of verified losses for which the predicate holds; a crash may have
  /// ended several copies of the request.
  template <typename Predicate>
  static int CountCrashesIf(const Entry& entry, Predicate predicate);
  /// Number of processes with such a loss.
  template <typename Predicate>
  static int CountProcessesIf(const Entry& entry, Predicate predicate);
  /// Whether another request, with as many unexplained crashes, ran at each of
  /// the entry's.
  bool HasRival(const Entry& entry) const;
  /// Whether another identified request ran at the crash.
  bool IsExplained(const Entry& entry, const Crash& crash) const;
  int CountUnexplained(const Entry& entry) const;
  static bool RanBeside(const Entry& other, const Crash& crash);
  /// Whether both ran in the same attempts at all of their crashes.
  static bool AreInseparable(const Entry& a, const Entry& b);
  /// Fills in Entry::attempts.
  static void ListAttempts(Entry& entry);
  /// Fills in Entry::inseparable.
  static void FindInseparable(const std::vector<Candidate>& candidates);
  void IndexByProcess();
  /// Whether the predicate holds for another key that ran at the crash and can
  /// be told from the entry.
  template <typename Predicate>
  bool AnyBeside(const Entry& entry,
                 const Crash& crash,
                 Predicate predicate) const;
  /// Time for which the key is held after its last crash.
  Duration HoldOf(const Entry& entry,
                  int suspected_crashes,
                  TimePoint now) const;
  Duration RefusedFor(const Entry& entry, TimePoint now) const;

  static void RemoveRefuted(Entry& entry, TimePoint now);
  static bool HasRecentlyRefuted(const Entry& entry);
  Duration RetentionOf(const Entry& entry) const;
  Entry& FindOrAdd(const CrashKey& key);
  void EvictLeastSuspected();
  void AddRecord(const CrashRecord& record, TimePoint now);
  void RemoveRecord(const CrashRecord& record);
  /// Queues the withdrawal of a record, unless it was withdrawn before.
  void Withdraw(const CrashKey& key, uint64_t record_id);
  bool IsWithdrawn(const CrashKey& key, uint64_t record_id) const;
  /// Queues the withdrawal of the entry's shared records.
  void WithdrawShared(const CrashKey& key, const Entry& entry);
  /// The same for those of this host. The others drop their records themselves.
  void WithdrawOwn(const CrashKey& key, const Entry& entry);
  /// Withdraws a record of another host that does not count here.
  void WithdrawForeign(const CrashRecord& record, TimePoint now);
  /// Queues the delayed withdrawals that are due.
  void WithdrawDue(TimePoint now);
  /// Withdraws a loss of this host. It gets another record id, since it may be
  /// shared again if its verdict is revised.
  void WithdrawRevised(const CrashKey& key, Crash& crash);

  /// Whether recent answers clear the key.
  bool IsCleared(const CrashKey& key) const;

  uint64_t record_id_seed_;
  uint64_t records_created_ = 0;
  CrashHistoryOptions options_;
  Entries entries_;
  /// The keys with a loss at each process; as of IndexByProcess().
  std::map<UpstreamProcess, std::vector<const Entry*>> entries_by_process_;
  /// When processes crashed, also such under which no key is suspected any
  /// more.
  std::map<UpstreamProcess, TimePoint> crashed_processes_;
  /// Processes that ended, with the starts of the next ones.
  std::map<UpstreamProcess, TimePoint> restarted_processes_;
  AnswerMemory answered_requests_;
  AnswerMemory answered_parts_;
  int part_answers_ = 0;  ///< to requests with parts, since the start
  AnswerMemory withdrawn_records_;
  std::vector<CrashRecord> withdrawals_;  ///< to share
  struct DelayedWithdrawal {
    TimePoint due_at;
    CrashKey key;
    uint64_t record_id = 0;
  };
  std::vector<DelayedWithdrawal> delayed_withdrawals_;
  std::vector<AbandonedTrial> abandoned_trials_;
  /// Whether TakeRecords() may have records to return.
  bool has_unshared_ = false;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_CRASH_HISTORY_H_
