/// \file
/// Stand-in for the append-only log service.

#ifndef TEASELHILL_STANDIN_LOG_H_
#define TEASELHILL_STANDIN_LOG_H_

#include <list>
#include <string>

#include "teaselhill/standin/log_store.h"
#include "teaselhill/standin/standin.h"

namespace teaselhill::standin {

struct LogOptions {
  StandInOptions common;
  LogConfig store;
};

class Log : public StandIn {
 public:
  Log(net::EventLoop& loop, const LogOptions& options)
      : StandIn(loop, options.common), store_(options.store) {}

 protected:
  void Serve(net::HttpRequest request, Response response) override;

 private:
  struct PendingRead {
    std::string stream;
    uint64_t from = 1;
    size_t limit = 0;
    Response response;
    TimerSubscription timeout;
  };

  void Append(const std::string& stream,
              const net::HttpRequest& request,
              const Response& response);
  void Read(const std::string& stream,
            const net::HttpRequest& request,
            Response response);
  void ArmTimeout(std::list<PendingRead>::iterator entry, Duration delay);
  void Answer(const PendingRead& pending);
  void AnswerPendingReads(const std::string& stream);

  LogStore store_;
  /// Reads that wait for records (long polls).
  std::list<PendingRead> pending_reads_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_LOG_H_
