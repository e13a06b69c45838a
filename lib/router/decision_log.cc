/// \file
/// Decision lines.

#include "teaselhill/router/decision_log.h"

namespace teaselhill::router {

/// A request that is retried without end must not fill the memory.
static constexpr size_t kMaxLinesPerRequest = 32;

LogLine DecisionLog::Line(std::string_view event, const std::string& request) {
  LogLine line(LogLevel::kInfo, event);
  line.Field("request", request);
  return line;
}

void DecisionLog::Add(const std::string& request, const LogLine& line) {
  logger_.Write(line);
  const auto [entry, added] = lines_.try_emplace(request);
  if (added) {
    order_.push_back(request);
    if (order_.size() > max_requests_) {
      lines_.erase(order_.front());
      order_.pop_front();
    }
  }
  const auto kept = lines_.find(request);
  if (kept == lines_.end() || kept->second.size() >= kMaxLinesPerRequest)
    return;
  // As the logger does, so that an operator can order the lines of all hosts.
  LogLine timed = line;
  timed.Field("time_ms",
              static_cast<int64_t>(WallNow().time_since_epoch().count()));
  kept->second.push_back(timed.Finish());
}

std::vector<std::string> DecisionLog::Find(const std::string& request) const {
  const auto found = lines_.find(request);
  return found == lines_.end() ? std::vector<std::string>() : found->second;
}

}  // namespace teaselhill::router
