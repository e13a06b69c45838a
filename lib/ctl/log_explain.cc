/// \file
/// Story of one request.

#include "teaselhill/ctl/log_explain.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

namespace teaselhill::ctl {

namespace {

using Json = nlohmann::json;

/// State lines from this long before the request are shown.
constexpr int64_t kContextMs = 5000;

constexpr const char* kPrinted[] = {"event", "level", "request", "process",
                                    "time_ms"};

bool IsPrintedApart(const std::string& name) {
  return std::find(std::begin(kPrinted), std::end(kPrinted), name) !=
         std::end(kPrinted);
}

std::string FieldsOf(const Json& object) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (IsPrintedApart(name))
      continue;
    text += "  " + name + "=";
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

std::string TextOf(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

}  // namespace

void LogExplainer::Read(std::istream& input) {
  for (std::string raw; std::getline(input, raw);) {
    const size_t begin = raw.find('{');
    if (begin == std::string::npos)
      continue;
    ++lines_;
    const Json object =
        Json::parse(raw.begin() + static_cast<long>(begin), raw.end(), nullptr,
                    /*allow_exceptions=*/false);
    if (!object.is_object() || !object.contains("event")) {
      ++unreadable_;
      continue;
    }
    const bool about_request = object.contains("request");
    if (about_request && TextOf(object, "request") != request_)
      continue;
    Line line;
    const auto time = object.find("time_ms");
    if (time != object.end() && time->is_number_integer())
      line.time_ms = time->get<int64_t>();
    line.process = TextOf(object, "process");
    line.event = TextOf(object, "event");
    line.upstream = TextOf(object, "upstream");
    const auto lasts = object.find("for_ms");
    if (lasts != object.end() && lasts->is_number())
      line.lasts_ms = static_cast<int64_t>(lasts->get<double>());
    line.text = FieldsOf(object);
    (about_request ? own_ : state_).push_back(std::move(line));
  }
}

std::vector<LogExplainer::Line> LogExplainer::Context() const {
  std::set<std::string> processes;
  std::set<std::string> upstreams;
  int64_t first = own_.front().time_ms;
  int64_t last = first;
  for (const Line& line : own_) {
    processes.insert(line.process);
    upstreams.insert(line.upstream);
    first = std::min(first, line.time_ms);
    last = std::max(last, line.time_ms);
  }
  std::vector<Line> context;
  for (const Line& line : state_) {
    const bool near =
        line.time_ms >= first - kContextMs && line.time_ms <= last;
    const bool concerns =
        line.upstream.empty() || upstreams.count(line.upstream) > 0;
    if (processes.count(line.process) > 0 &&
        ((near && concerns) || IsReasonInForce(line, last)))
      context.push_back(line);
  }
  return context;
}

bool LogExplainer::IsReasonInForce(const Line& line, int64_t at_ms) const {
  const auto has_event = [this](std::string_view event) {
    return std::any_of(own_.begin(), own_.end(),
                       [event](const Line& own) { return own.event == event; });
  };
  if (line.time_ms > at_ms)
    return false;
  const bool lasts = line.time_ms + line.lasts_ms >= at_ms;
  if (line.event == "quarantined")
    return lasts && has_event("quarantine_refusal");
  if (!has_event("limit_refusal"))
    return false;
  // A notice to leave holds until its upstream is gone.
  return line.event == "upstream_leaving" ||
         (line.event == "upstream_paused" && lasts);
}

void LogExplainer::PrintLine(const Line& line,
                             int64_t start,
                             std::ostream& out) {
  out << std::setw(7) << line.time_ms - start << " ms  " << line.process << "  "
      << line.event << line.text << "\n";
}

Status LogExplainer::Print(std::ostream& out) const {
  if (unreadable_ > 0)
    out << unreadable_ << " of " << lines_ << " lines cannot be read\n";
  if (lines_ == unreadable_)
    return {ResultCode::kInputEmpty, "the input holds no log line"};
  if (own_.empty())
    return {ResultCode::kRequestNotFound,
            "no line names request '" + request_ + "'"};
  std::vector<Line> all = Context();
  all.insert(all.end(), own_.begin(), own_.end());
  std::stable_sort(all.begin(), all.end(), [](const Line& a, const Line& b) {
    return a.time_ms < b.time_ms;
  });
  int64_t start = own_.front().time_ms;
  for (const Line& line : own_)
    start = std::min(start, line.time_ms);
  for (const Line& line : all)
    PrintLine(line, start, out);
  return Ok{};
}

Status ExplainRequest(const std::string& request,
                      const std::vector<std::string>& files,
                      std::istream& input,
                      std::ostream& out) {
  LogExplainer explainer(request);
  if (files.empty())
    explainer.Read(input);
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file)
      return {ResultCode::kFileUnreadable, "cannot read '" + name + "'"};
    explainer.Read(file);
  }
  return explainer.Print(out);
}

}  // namespace teaselhill::ctl
