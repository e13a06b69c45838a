/// \file
/// Writes a line for each decision and keeps the last ones for operators.

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

/// Keeps the decision lines of the last requests in bounded memory, so that an
/// operator can ask why a request was routed as it was.
class DecisionLog {
 public:
  explicit DecisionLog(Logger& logger, size_t max_requests = 5000)
      : logger_(logger), max_requests_(max_requests) {}

  /// Starts a line about a request.
  static LogLine Line(std::string_view event, const RequestInfo& request);

  /// Writes and keeps the line.
  void Add(const RequestInfo& request, const LogLine& line);

  /// Writes a line that is not about one request.
  void Write(const LogLine& line) { logger_.Write(line); }

  /// JSON objects of the decisions about the request with this external id,
  /// oldest first. Callers choose the ids, so that two customers may use the
  /// same one; an empty `customer` finds the requests of all.
  std::vector<std::string> Find(const std::string& request,
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
