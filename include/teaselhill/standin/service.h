/// \file
/// Stand-in for a plain service.

#ifndef TEASELHILL_STANDIN_SERVICE_H_
#define TEASELHILL_STANDIN_SERVICE_H_

#include "teaselhill/standin/standin.h"

namespace teaselhill::standin {

struct ServiceOptions {
  StandInOptions common;
  Duration work_time = std::chrono::milliseconds(20);
};

/// Answers any method and any path outside `/control/`. A run that has started
/// continues if its caller disconnects, like a call whose side effects cannot
/// be stopped.
class Service : public StandIn {
 public:
  Service(net::EventLoop& loop, const ServiceOptions& options)
      : StandIn(loop, options.common), work_time_(options.work_time) {}

 protected:
  void Serve(net::HttpRequest request, Response response) override;
  bool delays_requests() const override { return false; }

 private:
  Duration work_time_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_SERVICE_H_
