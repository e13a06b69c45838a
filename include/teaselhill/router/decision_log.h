/// \file
/// Logs decisions and retains the most recent ones for operators.

#ifndef TEASELHILL_ROUTER_DECISION_LOG_H_
#define TEASELHILL_ROUTER_DECISION_LOG_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/router/caller_request.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

/// Retains the decision lines of the most recent requests in bounded memory, so
/// that an operator can find out why a request was routed as it was.
class DecisionLog {
 public:
  explicit DecisionLog(Logger& logger, size_t max_requests = 5000)
      : logger_(logger), max_requests_(max_requests) {}

  /// Returns a new line about a request.
  static LogLine MakeLine(std::string_view event, const RequestInfo& request);

  /// Logs and retains the line.
  void AddLine(const RequestInfo& request, const LogLine& line);

  /// Logs a line that does not belong to a single request.
  void WriteLine(const LogLine& line) { logger_.Write(line); }

  /// Returns the decisions about the request with this external id as JSON
  /// objects, oldest first. Callers choose the ids, so two customers may use
  /// the same one; an empty `customer` selects the requests of all customers.
  std::vector<std::string> FindLines(const std::string& request,
                                     const std::string& customer = "") const;

 private:
  /// External id and customer.
  using Key = std::pair<std::string, std::string>;

  Logger& logger_;
  size_t max_requests_;
  std::map<Key, std::vector<std::string>> lines_;
  std::deque<Key> order_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_DECISION_LOG_H_
