/// \file
/// Summarizes a load run.

#include "teaselhill/load/report.h"

#include <algorithm>
#include <sstream>
#include <unordered_map>
#include <unordered_set>

namespace teaselhill::load {

namespace {

/// Maximum time between the end of the last open request of a request class and
/// the next arrival for which a gap (see GapTracker) continues. After a longer
/// time, the class counts as idle until that arrival.
constexpr Duration kIdleThreshold = std::chrono::seconds(1);

using RunsById =
    std::unordered_map<std::string, std::vector<const JournaledRun*>>;

/// Index of journaled runs by idempotency key and by request id.
struct RunIndex {
  explicit RunIndex(const Journals& journals) {
    for (const JournaledRun& run : journals.runs) {
      if (!run.key.empty())
        by_key[run.key].push_back(&run);
      if (!run.request_id.empty())
        by_request[run.request_id].push_back(&run);
    }
  }

  size_t CountOf(const RequestRecord& request) const {
    return RunsOf(request).size();
  }

  uint64_t TokensOf(const RequestRecord& request) const {
    uint64_t tokens = 0;
    for (const JournaledRun* run : RunsOf(request))
      tokens += run->tokens_out;
    return tokens;
  }

  std::unordered_set<const JournaledRun*> RunsOf(
      const RequestRecord& request) const {
    std::unordered_set<const JournaledRun*> runs;
    const auto collect = [&runs](const RunsById& runs_by_id,
                                 const std::string& name) {
      const auto found = runs_by_id.find(name);
      if (found != runs_by_id.end())
        runs.insert(found->second.begin(), found->second.end());
    };
    if (!request.key.empty())
      collect(by_key, request.key);
    for (const SendRecord& send : request.sends)
      collect(by_request, send.request_id);
    return runs;
  }

  RunsById by_key;
  RunsById by_request;
};

/// Whether the journals contradict a not-run answer to `request`: either all
/// sends were answered not-run although the request has a journaled run, or one
/// send was answered not-run although a journaled run has the request id of
/// that send.
bool IsFalseNotRun(const RequestRecord& request, const RunIndex& index) {
  bool all_not_run = !request.sends.empty();
  for (const SendRecord& send : request.sends) {
    const bool not_run = send.ending == Ending::kNotRun;
    all_not_run = all_not_run && not_run;
    if (not_run && index.by_request.count(send.request_id) > 0)
      return true;
  }
  return all_not_run && index.CountOf(request) > 0;
}

std::optional<Duration> EarliestAnswerEnd(const RequestRecord& request) {
  std::optional<Duration> earliest;
  for (const SendRecord& send : request.sends) {
    if (send.ending == Ending::kAnswered && (!earliest || send.end < earliest))
      earliest = send.end;
  }
  return earliest;
}

std::optional<Duration> EarliestToken(const RequestRecord& request) {
  std::optional<Duration> earliest;
  for (const SendRecord& send : request.sends) {
    if (send.first_token && (!earliest || send.first_token < earliest))
      earliest = send.first_token;
  }
  return earliest;
}

bool IsWithinTarget(const StreamPlan& stream, const RequestRecord& request) {
  const auto end = EarliestAnswerEnd(request);
  if (!end)
    return false;
  if (stream.target && *end - request.arrival > *stream.target)
    return false;
  const auto token = EarliestToken(request);
  return !stream.first_token_target ||
         (token && *token - request.arrival <= *stream.first_token_target);
}

double PercentileMs(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return ToMilliseconds(sorted[std::min(rank, sorted.size() - 1)]);
}

Percentiles MakePercentiles(std::vector<Duration> times) {
  std::sort(times.begin(), times.end());
  return {PercentileMs(times, 0.5), PercentileMs(times, 0.95),
          PercentileMs(times, 0.99)};
}

}  // namespace

std::string_view EndingName(Ending ending) {
  switch (ending) {
    case Ending::kAnswered:
      return "answered";
    case Ending::kIncomplete:
      return "incomplete";
    case Ending::kCutShort:
      return "cut_short";
    case Ending::kUnknown:
      return "unknown";
    case Ending::kUnanswered:
      return "unanswered";
    case Ending::kNotRun:
      return "not_run";
    case Ending::kDisconnected:
      return "disconnected";
  }
  return "";
}

const std::string& ClassOf(const StreamPlan& stream) {
  return stream.request_class.empty() ? stream.name : stream.request_class;
}

void GapTracker::OnArrival(TimePoint now) {
  if (open_requests_ == 0 &&
      (demand_met_ || now - last_ended_at_ > kIdleThreshold))
    gap_started_at_ = now;
  demand_met_ = false;
  ++open_requests_;
}

void GapTracker::OnProgress(TimePoint now) {
  UpdateLongest(now);
  gap_started_at_ = now;
  demand_met_ = true;
}

void GapTracker::OnEnded(bool answered, TimePoint now) {
  UpdateLongest(now);
  demand_met_ = demand_met_ && answered;
  last_ended_at_ = now;
  --open_requests_;
}

void GapTracker::UpdateLongest(TimePoint now) {
  longest_ = std::max(longest_, now - gap_started_at_);
}

double ClassSummary::attainment() const {
  const auto disconnected = endings.find(Ending::kDisconnected);
  const uint64_t counted =
      sent - (disconnected == endings.end() ? 0 : disconnected->second);
  return counted == 0 ? 1.0
                      : static_cast<double>(within_target) /
                            static_cast<double>(counted);
}

Ending EndingOf(const RequestRecord& request) {
  if (request.sends.empty())
    return Ending::kUnanswered;
  Ending ending = Ending::kNotRun;
  for (const SendRecord& send : request.sends)
    ending = std::min(ending, send.ending);
  return ending;
}

Summary Summarize(const Plan& plan,
                  const std::vector<RequestRecord>& requests,
                  const Journals& journals,
                  const std::map<std::string, GapTracker>& gaps) {
  Summary summary;
  summary.seed = plan.seed;
  summary.journals_read = journals.read;
  summary.journals_missing = journals.missing;
  summary.engine_tokens = journals.tokens_out;
  const RunIndex index(journals);
  std::map<std::string, std::vector<Duration>> first_tokens;
  std::map<std::string, std::vector<Duration>> ends;
  for (const StreamPlan& stream : plan.streams)
    summary.classes[ClassOf(stream)];
  for (const RequestRecord& request : requests) {
    const StreamPlan& stream = plan.streams[request.stream];
    const std::string& name = ClassOf(stream);
    ClassSummary& entry = summary.classes[name];
    const Ending ending = EndingOf(request);
    ++entry.sent;
    ++entry.endings[ending];
    entry.within_target += IsWithinTarget(stream, request);
    if (ending == Ending::kAnswered) {
      summary.goodput_tokens += request.answer_tokens;
      ends[name].push_back(*EarliestAnswerEnd(request) - request.arrival);
    }
    if (const auto token = EarliestToken(request))
      first_tokens[name].push_back(*token - request.arrival);
    // Count a wrong answer to any send, even if another send was answered
    // correctly.
    for (const SendRecord& send : request.sends)
      summary.incomplete_answers += send.ending == Ending::kIncomplete;
    summary.unanswered += ending == Ending::kUnanswered;
    summary.false_not_run += IsFalseNotRun(request, index);
    summary.duplicate_runs +=
        stream.non_idempotent && index.CountOf(request) > 1;
  }
  for (auto& [name, entry] : summary.classes) {
    entry.first_token = MakePercentiles(std::move(first_tokens[name]));
    entry.whole = MakePercentiles(std::move(ends[name]));
    const auto gap = gaps.find(name);
    if (gap != gaps.end())
      entry.longest_gap = gap->second.longest();
  }
  // Without journals the number of generated tokens is unknown and stays 0.
  if (journals.tokens_out > summary.goodput_tokens)
    summary.wasted_tokens = journals.tokens_out - summary.goodput_tokens;
  return summary;
}

std::string ToCsv(const Plan& plan,
                  const std::vector<RequestRecord>& requests,
                  const Journals& journals) {
  std::ostringstream out;
  out << "stream,class,tier,arrival_s,first_token_s,end_s,ending,outcome,"
         "status,sends,key,request_id,answer_tokens,within_target,"
         "engine_tokens\n";
  const RunIndex index(journals);
  const auto seconds = [&out](const std::optional<Duration>& time) {
    if (time)
      out << ToSeconds(*time);
    out << ',';
  };
  for (const RequestRecord& request : requests) {
    const StreamPlan& stream = plan.streams[request.stream];
    const SendRecord last =
        request.sends.empty() ? SendRecord{} : request.sends.back();
    const auto end = EarliestAnswerEnd(request);
    out << stream.name << ',' << ClassOf(stream) << ',' << stream.tier << ',';
    seconds(request.arrival);
    seconds(EarliestToken(request));
    seconds(end ? end : last.end);
    out << EndingName(EndingOf(request)) << ',' << last.outcome << ','
        << last.status << ',' << request.sends.size() << ',' << request.key
        << ',' << last.request_id << ',' << request.answer_tokens << ','
        << IsWithinTarget(stream, request) << ',' << index.TokensOf(request)
        << '\n';
  }
  return out.str();
}

}  // namespace teaselhill::load
