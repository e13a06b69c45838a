/// \file
/// Health checks that tell processes of an upstream apart.

#include "teaselhill/gateway/upstream_prober.h"

#include <utility>

namespace teaselhill::gateway {

static ProbeReport::Outcome OutcomeOf(const Error& error) {
  switch (error.code) {
    case ResultCode::kConnectFailed:
      return ProbeReport::Outcome::kRefused;
    case ResultCode::kTimedOut:
      return ProbeReport::Outcome::kSilent;
    case ResultCode::kConnectionLost:
      return ProbeReport::Outcome::kClosed;
    default:  // bytes that are no HTTP response
      return ProbeReport::Outcome::kAnswered;
  }
}

void UpstreamProber::Probe(const UpstreamEntry& upstream,
                           const std::string& health_path,
                           Callback done) {
  net::ClientRequest request =
      protocol_.BuildHealthRequest(upstream, health_path);
  request.connect_timeout = timeout_;
  request.total_timeout = timeout_;
  // A kept connection may be one that the upstream's last process has left.
  request.fresh_connection = true;
  request.close_connection = true;
  const TimePoint sent_at = BootNow();
  client_.Fetch(std::move(request), [this, sent_at, done = std::move(done)](
                                        Result<net::ClientResponse> response) {
    ProbeReport report;
    report.sent_at = sent_at;
    if (response) {
      report.outcome = ProbeReport::Outcome::kAnswered;
      report.identity = protocol_.ReadIdentity(*response);
    } else {
      report.outcome = OutcomeOf(response.error());
    }
    done(report);
  });
}

}  // namespace teaselhill::gateway
