/// \file
/// What happened to each request, and the summary of a run.

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

/// How a send, or a request with all its sends, ended. The order is that of
/// precedence among the sends of one request.
enum class Ending {
  kAnswered,      ///< whole and correct
  kIncomplete,    ///< status 200, but cut off silently or with wrong content
  kCutShort,      ///< cut off, and the caller was told so
  kUnknown,       ///< told that the outcome is unknown
  kUnanswered,    ///< connection lost, or no end before the drain time ran out
  kDisconnected,  ///< the caller closed the connection
  kNotRun,        ///< told that it was not run
};

std::string_view EndingName(Ending ending);

/// One HTTP request to a router. Times are after the start of the run.
struct SendRecord {
  std::string request_id;
  Duration sent{};
  std::optional<Duration> first_token;
  std::optional<Duration> end;
  int status = 0;
  std::string outcome;  ///< `X-Teaselhill-Outcome` header
  Ending ending = Ending::kUnanswered;
};

/// One request of the load with all its sends under the same key.
struct RequestRecord {
  size_t stream = 0;
  Duration arrival{};
  std::string key;
  uint32_t answer_tokens = 0;
  std::vector<SendRecord> sends;
};

/// A run that a stand-in's journal shows.
struct JournaledRun {
  std::string request_id;
  std::string key;
  uint64_t tokens_out = 0;
};

struct Journals {
  std::vector<JournaledRun> runs;
  uint64_t tokens_out = 0;
  uint64_t read = 0;
  uint64_t missing = 0;  ///< could not be read
};

/// Adds the answer to `GET /control/journal`.
Status AddJournal(std::string_view text, Journals* journals);

/// Adds a journal file, one line for each begin and end of a run.
Status AddJournalLines(std::string_view text, Journals* journals);

/// Longest time in which requests of a class waited without any progress.
class GapTracker {
 public:
  void OnArrival(TimePoint now);
  void OnProgress(TimePoint now);
  /// A request stopped waiting. Without an answer, the gap goes on if the next
  /// request arrives soon.
  void OnEnded(bool answered, TimePoint now);

  Duration longest() const { return longest_; }

 private:
  void Measure(TimePoint now);

  uint64_t waiting_ = 0;
  TimePoint since_{};        ///< start of the current gap
  TimePoint last_demand_{};  ///< when a request last waited
  bool satisfied_ = true;    ///< no demand is left unmet since `since_`
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

  /// Share of requests answered within target, without those whose caller
  /// disconnected; 1 if there were none.
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

/// Returns the ending of a request from those of its sends.
Ending EndingOf(const RequestRecord& request);

Summary Summarize(const Plan& plan,
                  const std::vector<RequestRecord>& requests,
                  const Journals& journals,
                  const std::map<std::string, GapTracker>& gaps);

std::string ToJson(const Summary& summary);

/// One row for each request, with a head row.
std::string ToCsv(const Plan& plan,
                  const std::vector<RequestRecord>& requests,
                  const Journals& journals);

/// Name of the class that a stream's requests are counted in.
const std::string& ClassOf(const StreamPlan& stream);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_REPORT_H_
