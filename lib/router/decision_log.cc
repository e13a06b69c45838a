/// \file
/// Logging and retention of decision lines.

#include "teaselhill/router/decision_log.h"

namespace teaselhill::router {

/// Bounds the memory for a request that is retried many times.
static constexpr size_t kMaxLinesPerRequest = 32;

LogLine DecisionLog::MakeLine(std::string_view event,
                              const RequestInfo& request) {
  LogLine line(LogLevel::kInfo, event);
  line.Field("request", request.external_id)
      .Field("customer", request.customer);
  return line;
}

void DecisionLog::AddLine(const RequestInfo& request, const LogLine& line) {
  logger_.Write(line);
  const Key key(request.external_id, request.customer);
  const auto [entry, added] = lines_.try_emplace(key);
  if (added) {
    order_.push_back(key);
    if (order_.size() > max_requests_) {
      lines_.erase(order_.front());
      order_.pop_front();
    }
  }
  const auto retained = lines_.find(key);
  if (retained == lines_.end() ||
      retained->second.size() >= kMaxLinesPerRequest)
    return;
  // The retained line carries the time, as the logged one does, so that an
  // operator can order the lines of all hosts.
  LogLine line_with_time = line;
  line_with_time.Field(
      "time_ms", static_cast<int64_t>(WallNow().time_since_epoch().count()));
  retained->second.push_back(line_with_time.Finish());
}

std::vector<std::string> DecisionLog::FindLines(
    const std::string& request,
    const std::string& customer) const {
  std::vector<std::string> found;
  for (auto entry = lines_.lower_bound({request, customer});
       entry != lines_.end() && entry->first.first == request &&
       (customer.empty() || entry->first.second == customer);
       ++entry)
    found.insert(found.end(), entry->second.begin(), entry->second.end());
  return found;
}

}  // namespace teaselhill::router
