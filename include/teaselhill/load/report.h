/// \file
/// Records of requests and sends, and the summary of a load run. A send is one
/// HTTP request to a router; a request that is retried or resent has several.

#ifndef TEASELHILL_LOAD_REPORT_H_
#define TEASELHILL_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/load/plan.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::load {

/// How a send or a request ended. If the sends of a request ended differently,
/// the ending of the request is the one that is declared first here.
enum class Ending {
  kAnswered,      ///< status 200 with the complete, correct answer
  kIncomplete,    ///< status 200, but incomplete or wrong; no error event
  kCutShort,      ///< status 200, but ended by an error event
  kUnknown,       ///< complete response, neither status 200 nor not-run
  kUnanswered,    ///< connection lost, or still open when the drain ended
  kDisconnected,  ///< the caller closed the connection
  kNotRun,        ///< the response says that the request was not run
};

std::string_view EndingName(Ending ending);

/// One HTTP request to a router. Times are measured from the start of the run.
struct SendRecord {
  std::string request_id;
  Duration sent{};
  std::optional<Duration> first_token;
  std::optional<Duration> end;
  int status = 0;
  std::string outcome;  ///< value of the `X-Teaselhill-Outcome` header
  Ending ending = Ending::kUnanswered;
};

/// One request of the plan with all its sends, which share `key`.
struct RequestRecord {
  size_t stream = 0;
  Duration arrival{};
  std::string key;
  uint32_t answer_tokens = 0;
  std::vector<SendRecord> sends;
};

/// A run from the journal of a stand-in.
struct JournaledRun {
  std::string request_id;
  std::string key;
  uint64_t tokens_out = 0;
};

struct Journals {
  std::vector<JournaledRun> runs;
  uint64_t tokens_out = 0;
  uint64_t read = 0;
  uint64_t missing = 0;  ///< journals that could not be read
};

/// Adds the answer to `GET /control/journal`. Returns an error if `text` is
/// malformed.
Status AddJournal(std::string_view text, Journals* journals);

/// Adds a journal file with one line for each start and end of a run.
Status AddJournalLines(std::string_view text, Journals* journals);

/// Measures the longest gap of a request class: a period in which the class had
/// unanswered requests, but none of its requests made progress, that is,
/// received content.
class GapTracker {
 public:
  void OnArrival(TimePoint now);
  void OnProgress(TimePoint now);
  /// Records that a request ended. If the last open request ends without an
  /// answer and the next request arrives within one second, the current gap
  /// continues; otherwise the next arrival starts a new gap.
  void OnEnded(bool answered, TimePoint now);

  Duration longest() const { return longest_; }

 private:
  void UpdateLongest(TimePoint now);

  uint64_t open_requests_ = 0;
  TimePoint gap_started_at_{};  ///< start of the current gap without progress
  TimePoint last_ended_at_{};   ///< when a request last ended
  /// Whether, since the last progress, no request has arrived and none has
  /// ended without an answer.
  bool demand_met_ = true;
  Duration longest_{};
};

struct Percentiles {
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
};

struct ClassSummary {
  uint64_t sent = 0;
  uint64_t within_target = 0;
  std::map<Ending, uint64_t> endings;
  Percentiles first_token;
  Percentiles whole;
  Duration longest_gap{};

  /// Fraction of the requests that were answered within the target times of
  /// their stream. Requests whose caller disconnected are excluded. Returns 1
  /// if no request remains.
  double attainment() const;
};

struct Summary {
  uint64_t seed = 0;
  std::map<std::string, ClassSummary> classes;
  uint64_t goodput_tokens = 0;
  uint64_t wasted_tokens = 0;
  uint64_t engine_tokens = 0;
  uint64_t duplicate_runs = 0;
  uint64_t incomplete_answers = 0;
  uint64_t unanswered = 0;
  uint64_t false_not_run = 0;
  uint64_t journals_read = 0;
  uint64_t journals_missing = 0;
};

/// Returns the ending of a request, derived from the endings of its sends;
/// kUnanswered if it has no sends.
Ending EndingOf(const RequestRecord& request);

Summary Summarize(const Plan& plan,
                  const std::vector<RequestRecord>& requests,
                  const Journals& journals,
                  const std::map<std::string, GapTracker>& gaps);

std::string ToJson(const Summary& summary);

/// Returns a header row and one row for each request.
std::string ToCsv(const Plan& plan,
                  const std::vector<RequestRecord>& requests,
                  const Journals& journals);

/// Name of the class under which the requests of `stream` are counted: the
/// request class, or the stream name if there is no request class.
const std::string& ClassOf(const StreamPlan& stream);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_REPORT_H_
