/// \file
/// Health checks that tell processes of an upstream apart.

#include "teaselhill/gateway/upstream_prober.h"

#include <memory>
#include <utility>

namespace teaselhill::gateway {

namespace {

/// Of a health answer, which is at most a short text.
constexpr size_t kMaxAnswerBytes = 4096;

ProbeReport::Outcome OutcomeOf(ResultCode code) {
  switch (code) {
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

/// Collects the answer to a health check. One whose body does not end in time,
/// or is too long, counts by its head.
class ProbeHandler : public net::TransferHandler {
 public:
  ProbeHandler(const UpstreamProtocol& protocol, UpstreamProber::Callback done)
      : protocol_(protocol), done_(std::move(done)), sent_at_(BootNow()) {}

  void OnHead(int status, const net::Headers& headers) override {
    answer_.status = status;
    answer_.headers = headers;
  }

  void OnData(std::string_view data) override { answer_.body.append(data); }

  void OnEnd(const net::TransferEnd& end) override {
    const bool is_unending = end.code == ResultCode::kProtocolError ||
                             end.code == ResultCode::kTimedOut;
    if (is_unending)
      answer_.body.clear();
    ProbeReport report;
    report.sent_at = sent_at_;
    if (end.code == ResultCode::kOk || (is_unending && answer_.status != 0)) {
      report.outcome = ProbeReport::Outcome::kAnswered;
      report.identity = protocol_.ReadIdentity(answer_);
    } else {
      report.outcome = OutcomeOf(end.code);
    }
    done_(report);
  }

 private:
  const UpstreamProtocol& protocol_;
  UpstreamProber::Callback done_;
  TimePoint sent_at_;
  net::ClientResponse answer_;
};

}  // namespace

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
  request.max_body_bytes = kMaxAnswerBytes;
  client_.Start(std::move(request),
                std::make_shared<ProbeHandler>(protocol_, std::move(done)));
}

}  // namespace teaselhill::gateway
