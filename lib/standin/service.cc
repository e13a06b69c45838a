/// \file
/// HTTP interface of the stand-in plain service.

#include "teaselhill/standin/service.h"

#include "teaselhill/standin/answer.h"

namespace teaselhill::standin {

void Service::Serve(net::HttpRequest request, Response response) {
  const TimePoint now = Now();
  const auto header = [&](std::string_view name) {
    return std::string(net::FindHeader(request.headers, name).value_or(""));
  };
  const Journal::Handle run = journal_.Begin(
      header("X-Request-Id"), header("Idempotency-Key"), request.path, now);
  CrashOnMarker(request.body);
  const double factor = faults_.slow_factor(now);
  ScheduleCall(FromSeconds(ToSeconds(work_time_) * factor),
               [this, run, response,
                body = MakeServiceAnswer(request.method, request.body)] {
                 journal_.End(run, RunEnd::kFinished);
                 RespondJson(*response, 200, body);
               });
}

}  // namespace teaselhill::standin
