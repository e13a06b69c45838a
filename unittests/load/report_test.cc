/// \file
/// Tests the answer checker and the counters and times of the report.

#include "teaselhill/load/report.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "teaselhill/load/answer_checker.h"

namespace teaselhill::load {

using std::chrono::milliseconds;
using std::chrono::seconds;

static std::string Event(const std::string& content) {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + content +
         R"("},"finish_reason":null}]})"
         "\n\n";
}

static const std::string kDone = "data: [DONE]\n\n";

TEST_CASE("a streamed answer is complete only if it matches exactly") {
  const auto [body, complete] = GENERATE(table<std::string, bool>({
      {Event(" ab") + Event(" cd") + kDone, true},
      {Event(" ab cd") + kDone, true},
      {": comment\n\n" + Event(" ab") + Event(" cd") + kDone, true},
      {Event(" ab") + Event(" cd"), false},
      {Event(" ab") + kDone, false},
      {Event(" ab") + Event(" cx") + kDone, false},
      {Event(" ab") + Event(" ab") + Event(" cd") + kDone, false},
      {Event(" ab") + Event(" cd") + Event(" e") + kDone, false},
      {Event(" ab") + Event(" cd") + kDone + Event(" e"), false},
      {Event(" ab") + Event(" cd") + kDone + kDone, false},
      {Event(" ab") + "data: {broken\n\n" + Event(" cd") + kDone, false},
      {"", false},
  }));
  INFO(body);
  const std::string text = body;
  const bool expected = complete;
  rc::check("for every split into pieces", [&] {
    AnswerChecker checker(AnswerForm::kEventStream, " ab cd");
    for (size_t at = 0; at < text.size();) {
      const size_t piece = *rc::gen::inRange<size_t>(1, 80);
      checker.Feed(text.substr(at, piece));
      at += piece;
    }
    RC_ASSERT(checker.Complete() == expected);
  });
}

TEST_CASE("an answer that is not streamed must equal the expected content") {
  const auto [form, body, complete] =
      GENERATE(table<AnswerForm, std::string, bool>({
          {AnswerForm::kServiceBody, "x y", true},
          {AnswerForm::kServiceBody, "x y ", false},
          {AnswerForm::kChatBody,
           R"({"choices":[{"message":{"content":"x y"}}]})", true},
          {AnswerForm::kChatBody,
           R"({"choices":[{"message":{"content":"x"}}]})", false},
          {AnswerForm::kChatBody, R"({"choices":[{"mess)", false},
      }));
  AnswerChecker checker(form, "x y");
  checker.Feed(body);
  CHECK(checker.Complete() == complete);
}

TEST_CASE(
    "an error event distinguishes a reported from an unreported cut-off") {
  AnswerChecker checker(AnswerForm::kEventStream, " ab cd");
  checker.Feed(Event(" ab"));
  CHECK(checker.error_outcome().empty());
  checker.Feed("data: {\"error\":{\"outcome\":\"unknown\"}}\n\n");
  CHECK(checker.error_outcome() == "unknown");
  CHECK_FALSE(checker.Complete());
}

namespace {

struct ReportRow {
  std::vector<Ending> sends;      // with request ids r0, r1, ... and key k
  std::vector<std::string> runs;  // request ids of the runs, all with key k
  uint64_t duplicates;
  uint64_t false_not_run;
};

}  // namespace

TEST_CASE("the report counts duplicate runs and false not-run answers") {
  using E = Ending;
  const ReportRow row = GENERATE(
      ReportRow{{E::kAnswered}, {"r0"}, 0, 0},
      ReportRow{{E::kAnswered}, {"r0", "r0"}, 1, 0},
      ReportRow{{E::kAnswered, E::kAnswered}, {"r0", "r1"}, 1, 0},
      ReportRow{{E::kNotRun}, {}, 0, 0}, ReportRow{{E::kNotRun}, {"r0"}, 0, 1},
      // A router may assign its own request id to a run. The key then still
      // identifies the run.
      ReportRow{{E::kNotRun}, {"other"}, 0, 1},
      ReportRow{{E::kNotRun, E::kAnswered}, {"r1"}, 0, 0},
      ReportRow{{E::kNotRun, E::kAnswered}, {"other"}, 0, 0},
      ReportRow{{E::kNotRun, E::kAnswered}, {"r0", "r1"}, 1, 1},
      ReportRow{{E::kNotRun, E::kUnknown}, {"r1"}, 0, 0},
      ReportRow{{E::kUnknown}, {"r0"}, 0, 0});
  Plan plan;
  plan.streams.resize(1);
  plan.streams[0].non_idempotent = true;
  RequestRecord request;
  request.key = "k";
  for (size_t i = 0; i < row.sends.size(); ++i) {
    SendRecord send;
    send.request_id = "r" + std::to_string(i);
    send.ending = row.sends[i];
    send.end = seconds(1);
    request.sends.push_back(send);
  }
  Journals journals;
  for (const std::string& run : row.runs)
    journals.runs.push_back({run, "k", 0});
  journals.runs.push_back({"someone-else", "", 0});
  const Summary summary = Summarize(plan, {request}, journals, {});
  CHECK(summary.duplicate_runs == row.duplicates);
  CHECK(summary.false_not_run == row.false_not_run);
}

TEST_CASE("a CSV row counts the tokens of each run of its request once") {
  Plan plan;
  plan.streams.resize(1);
  RequestRecord request;
  request.key = "k";
  request.answer_tokens = 7;
  request.sends.resize(1);
  request.sends[0].request_id = "r0";
  request.sends[0].ending = Ending::kAnswered;
  request.sends[0].end = seconds(1);
  Journals journals;
  journals.runs = {{"r0", "k", 7}, {"r9", "k", 4}, {"r8", "other", 2}};
  // The last columns are answer_tokens, within_target and engine_tokens.
  CHECK_THAT(ToCsv(plan, {request}, journals), Catch::EndsWith(",7,1,11\n"));
}

TEST_CASE(
    "targets are measured from arrival, and disconnected callers are ignored") {
  const auto [token_ms, end_ms, ending, within, attainment] =
      GENERATE(table<int, int, Ending, uint64_t, double>({
          {500, 2000, Ending::kAnswered, 1, 1},
          {501, 2000, Ending::kAnswered, 0, 0},
          {500, 2001, Ending::kAnswered, 0, 0},
          {500, 2000, Ending::kIncomplete, 0, 0},
          {500, 2000, Ending::kDisconnected, 0, 1},
      }));
  Plan plan;
  plan.streams.resize(1);
  plan.streams[0].name = "s";
  plan.streams[0].target = seconds(2);
  plan.streams[0].first_token_target = milliseconds(500);
  RequestRecord request;
  request.arrival = seconds(7);
  request.answer_tokens = 10;
  SendRecord send;
  send.sent = seconds(7) + milliseconds(400);
  send.first_token = seconds(7) + milliseconds(token_ms);
  send.end = seconds(7) + milliseconds(end_ms);
  send.ending = ending;
  request.sends = {send};
  Journals journals;
  journals.tokens_out = 25;
  const Summary summary = Summarize(plan, {request}, journals, {});
  CHECK(summary.classes.at("s").within_target == within);
  CHECK(summary.classes.at("s").attainment() == attainment);
  const uint64_t good = ending == Ending::kAnswered ? 10 : 0;
  CHECK(summary.goodput_tokens == good);
  CHECK(summary.wasted_tokens == 25 - good);
}

TEST_CASE("a gap spans unanswered requests but not the idle time of a class") {
  const TimePoint start{std::chrono::hours(1)};
  GapTracker gap;
  gap.OnArrival(start);
  gap.OnProgress(start + seconds(2));
  gap.OnEnded(true, start + seconds(2));
  CHECK(gap.longest() == seconds(2));
  // The class is idle for 50 s, then all its requests are refused for 10 s.
  for (int i = 0; i <= 20; ++i) {
    const TimePoint now = start + seconds(52) + milliseconds(500 * i);
    gap.OnArrival(now);
    gap.OnEnded(false, now);
  }
  CHECK(gap.longest() == seconds(10));
  gap.OnArrival(start + seconds(100));
  gap.OnProgress(start + seconds(101));
  CHECK(gap.longest() == seconds(10));
}

TEST_CASE("a journal file yields crashed runs and the tokens of ended runs") {
  Journals journals;
  const std::string head = R"({"request_id":"a","key":"k","model":"m",)";
  CHECK(AddJournalLines(head +
                            R"("tokens_out":0,"end":"running"})"
                            "\n" +
                            head +
                            R"("tokens_out":9,"end":"finished"})"
                            "\n" +
                            head +
                            R"("tokens_out":0,"end":"running"})"
                            "\n",
                        &journals)
            .ok());
  CHECK(journals.runs.size() == 2);
  CHECK(journals.runs[0].tokens_out == 9);
  CHECK(journals.runs[1].tokens_out == 0);
  CHECK(journals.tokens_out == 9);
  CHECK_FALSE(AddJournalLines(head + "\n", &journals).ok());
}

}  // namespace teaselhill::load
