/// \file
/// Writes a line for each decision and keeps the last ones for operators.

#ifndef TEASELHILL_ROUTER_DECISION_LOG_H_
#define TEASELHILL_ROUTER_DECISION_LOG_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Keeps the decision lines of the last requests in bounded memory, so that an
/// operator can ask why a request was routed as it was.
class DecisionLog {
 public:
  explicit DecisionLog(Logger& logger, size_t max_requests = 5000)
      : logger_(logger), max_requests_(max_requests) {}

  /// Starts a line about the request with this external id.
  static LogLine Line(std::string_view event, const std::string& request);

  /// Writes and keeps the line.
  void Add(const std::string& request, const LogLine& line);

  /// Writes a line that is not about one request.
  void Write(const LogLine& line) { logger_.Write(line); }

  /// JSON objects of the request's decisions, oldest first.
  std::vector<std::string> Find(const std::string& request) const;

 private:
  Logger& logger_;
  size_t max_requests_;
  std::unordered_map<std::string, std::vector<std::string>> lines_;
  std::deque<std::string> order_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_DECISION_LOG_H_
