/// \file
/// Tells the story of one request from the log lines of one or more hosts.

#ifndef TEASELHILL_CTL_LOG_EXPLAIN_H_
#define TEASELHILL_CTL_LOG_EXPLAIN_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "teaselhill/support/result.h"

namespace teaselhill::ctl {

/// Collects log lines and prints those that explain a request: its own, in the
/// order of time, and what its host and upstreams went through meanwhile.
class LogExplainer {
 public:
  explicit LogExplainer(std::string request) : request_(std::move(request)) {}

  /// Reads all lines. What stands before the JSON object of a line is ignored.
  void Read(std::istream& input);

  /// kInputEmpty: no line could be read; kRequestNotFound: none names the
  /// request.
  Status Print(std::ostream& out) const;

 private:
  struct Line {
    int64_t time_ms = 0;
    std::string process;
    std::string event;
    std::string upstream;
    int64_t lasts_ms = 0;  ///< time for which the line holds, if it says so
    std::string text;      ///< fields as `name=value`
  };

  std::vector<Line> Context() const;
  /// Whether the line tells why upstreams or the request were refused, and held
  /// at the time `at_ms`.
  bool IsReasonInForce(const Line& line, int64_t at_ms) const;
  static void PrintLine(const Line& line, int64_t start, std::ostream& out);

  std::string request_;
  std::vector<Line> own_;
  std::vector<Line> state_;  ///< lines that name no request
  size_t lines_ = 0;
  size_t unreadable_ = 0;
};

/// Reads `files`, or standard input when there are none. kFileUnreadable names
/// a file.
Status ExplainRequest(const std::string& request,
                      const std::vector<std::string>& files,
                      std::istream& input,
                      std::ostream& out);

}  // namespace teaselhill::ctl

#endif  // TEASELHILL_CTL_LOG_EXPLAIN_H_
