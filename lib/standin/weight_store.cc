/// \file
/// HTTP interface and fetch rate limit of the stand-in weight store.

#include "teaselhill/standin/weight_store.h"

#include <algorithm>

#include "teaselhill/standin/messages.h"

namespace teaselhill::standin {

void WeightStore::Serve(net::HttpRequest request, Response response) {
  if (request.method != "POST" || request.path != "/v1/fetches") {
    RespondJson(*response, 404, ErrorBody("no such path"));
    return;
  }
  const Result<std::string> model = ParseFetch(request.body);
  if (!model) {
    RespondJson(*response, 400, ErrorBody(model.error().message));
    return;
  }
  if (!ConsumeFetchQuota()) {
    response->Respond(429, {{"Retry-After", "1"}},
                      ErrorBody("fetch rate exceeded"));
    return;
  }
  const Journal::Handle run = journal_.Begin(
      std::string(
          net::FindHeader(request.headers, "X-Request-Id").value_or("")),
      "", *model, Now());
  journal_.End(run, RunEnd::kFinished);
  const auto ready_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      options_.fetch_time);
  RespondJson(*response, 200,
              "{\"ready_in_ms\":" + std::to_string(ready_ms.count()) + "}");
}

bool WeightStore::ConsumeFetchQuota() {
  const TimePoint now = Now();
  const double refill =
      ToSeconds(now - refilled_at_) * options_.fetches_per_minute / 60;
  refilled_at_ = now;
  available_fetches_ = std::min(options_.burst, available_fetches_ + refill);
  if (available_fetches_ < 1)
    return false;
  available_fetches_ -= 1;
  return true;
}

}  // namespace teaselhill::standin
