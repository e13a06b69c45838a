/// \file
/// Sends the requests of a plan at their arrival times (open loop).

#include "teaselhill/load/runner.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "teaselhill/load/json.h"

namespace teaselhill::load {

namespace {

constexpr Duration kJournalTimeout = std::chrono::seconds(30);
constexpr size_t kMaxJournalBytes = size_t{512} << 20;
constexpr Duration kFaultTimeout = std::chrono::seconds(5);
constexpr Duration kTokenTimeout = std::chrono::seconds(10);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration kLossResendDelay = std::chrono::milliseconds(500);

Duration ReadRetryAfter(const net::Headers& headers) {
  const auto text = net::FindHeader(headers, "Retry-After");
  int64_t seconds = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), seconds).ec !=
          std::errc())
    return kDefaultRetryAfter;
  return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, 3600));
}

AnswerForm FormOf(const StreamPlan& stream) {
  if (!stream.service.empty())
    return AnswerForm::kServiceBody;
  return stream.streamed ? AnswerForm::kEventStream : AnswerForm::kChatBody;
}

std::string PathOf(const StreamPlan& stream) {
  return stream.service.empty()
             ? "/v1/chat/completions"
             : "/services/" + stream.service + "/" + stream.path;
}

}  // namespace

/// A request that has open sends, scheduled sends or an open token request.
struct Runner::ActiveRequest {
  Request request;
  /// Transfer id of each send; 0 if the send has ended or has not started.
  std::vector<net::TransferId> transfers;
  size_t open = 0;  ///< open transfers and pending timers
  uint32_t retries_left = 0;
  uint32_t loss_resends_left = 0;
  size_t failovers_left = 0;  ///< other routers to try after failed connects
  bool disconnected = false;  ///< the caller disconnected
  std::optional<Duration> resend_after;
};

class Runner::Send : public net::TransferHandler {
 public:
  Send(Runner& runner,
       size_t request,
       size_t send,
       size_t router,
       AnswerChecker checker)
      : runner_(runner),
        request_(request),
        send_(send),
        router_(router),
        checker_(std::move(checker)) {}

  size_t request() const { return request_; }
  size_t send() const { return send_; }
  size_t router() const { return router_; }
  Duration retry_after() const { return retry_after_; }
  /// Whether the answer has unexpected content.
  bool mismatch() const { return checker_.mismatch(); }

  void OnHead(int status, const net::Headers& headers) override {
    SendRecord& record = Record();
    record.status = status;
    record.outcome =
        net::FindHeader(headers, "X-Teaselhill-Outcome").value_or("");
    retry_after_ = ReadRetryAfter(headers);
  }

  void OnData(std::string_view data) override {
    SendRecord& record = Record();
    if (record.status != 200 || !checker_.Feed(data))
      return;
    if (!record.first_token)
      record.first_token = runner_.Elapsed();
    runner_.GapOf(request_).OnProgress(runner_.loop_.timers().Now());
  }

  void OnEnd(const net::TransferEnd& end) override {
    Record().ending = EndingOf(end);
    runner_.OnSendEnded(*this, end);
  }

 private:
  SendRecord& Record() { return runner_.records_[request_].sends[send_]; }

  Ending EndingOf(const net::TransferEnd& end) {
    const SendRecord& record = Record();
    if (record.status == 200) {
      if (end.code == ResultCode::kOk && checker_.Complete())
        return Ending::kAnswered;
      return checker_.error_outcome().empty() ? Ending::kIncomplete
                                              : Ending::kCutShort;
    }
    if (end.code != ResultCode::kOk)
      return Ending::kUnanswered;
    return record.outcome == "not-run" ? Ending::kNotRun : Ending::kUnknown;
  }

  Runner& runner_;
  size_t request_;
  size_t send_;
  size_t router_;
  AnswerChecker checker_;
  Duration retry_after_ = kDefaultRetryAfter;
};

Runner::Runner(net::EventLoop& loop, Plan plan)
    : loop_(loop),
      plan_(std::move(plan)),
      rng_(plan_.seed),
      client_(loop),
      rotation_(plan_.routers.size(),
                plan_.health_checks ? plan_.health_checks->misses : 0) {}

Runner::~Runner() = default;

void Runner::Start(std::function<void()> done) {
  done_ = std::move(done);
  start_ = loop_.timers().Now();
  // The time makes request ids differ from those of earlier load runs in the
  // same journals.
  run_id_ = "load-" + std::to_string(plan_.seed) + "-" +
            std::to_string(WallNow().time_since_epoch().count());
  arrivals_ = MakeArrivals(plan_);
  records_.reserve(arrivals_.size());
  for (const FaultPlan& fault : plan_.faults)
    ScheduleCall(fault.inject_at, [this, fault] { InjectFault(fault); });
  if (plan_.health_checks)
    check_timer_ = loop_.timers().Subscribe(
        plan_.health_checks->period, [this](TimePoint) { CheckRouters(); });
  drain_timer_ = loop_.timers().After(plan_.duration + plan_.drain,
                                      [this](TimePoint) { CancelOpenSends(); });
  ScheduleArrivals();
}

RunProgress Runner::progress() const {
  return {Elapsed(), arrivals_.size(), next_arrival_, active_.size()};
}

Summary Runner::MakeSummary() const {
  return Summarize(plan_, records_, journals_, gaps_);
}

GapTracker& Runner::GapOf(size_t request) {
  return gaps_[ClassOf(plan_.streams[records_[request].stream])];
}

void Runner::ScheduleArrivals() {
  while (next_arrival_ < arrivals_.size() &&
         arrivals_[next_arrival_].arrives_at <= Elapsed())
    HandleArrival(arrivals_[next_arrival_++]);
  if (next_arrival_ == arrivals_.size()) {
    MaybeFinish();
    return;
  }
  arrival_timer_ = loop_.timers().After(
      std::max(Duration::zero(),
               arrivals_[next_arrival_].arrives_at - Elapsed()),
      [this](TimePoint) { ScheduleArrivals(); });
}

void Runner::HandleArrival(const Arrival& arrival) {
  const StreamPlan& stream = plan_.streams[arrival.stream];
  const size_t request = records_.size();
  ActiveRequest& active = active_[request];
  active.request = MakeRequest(stream, request, rng_);
  active.retries_left = stream.retries;
  active.loss_resends_left = stream.loss_resends;
  active.failovers_left = plan_.routers.size() - 1;
  RequestRecord record;
  record.stream = arrival.stream;
  record.arrival = arrival.arrives_at;
  record.answer_tokens = active.request.answer_tokens;
  if (stream.key_kind == KeyKind::kUuid7)
    record.key = MakeUuid7(WallNow(), rng_);
  records_.push_back(std::move(record));
  GapOf(request).OnArrival(loop_.timers().Now());
  // Draw the random numbers here, so that their order does not depend on when
  // answers arrive.
  const bool resends = rng_.Uniform() < stream.resend_share;
  const Duration resend_after =
      FromSeconds(ToSeconds(stream.resend_after) * 2 * rng_.Uniform());
  if (resends)
    active.resend_after = resend_after;
  const size_t router = PickRouter();
  if (stream.key_kind == KeyKind::kToken)
    RequestToken(request, router);
  else
    StartFirstSend(request, router);
  if (rng_.Uniform() < stream.disconnect_share)
    ScheduleDisconnect(request);
}

void Runner::CheckRouters() {
  if (draining_)
    return;
  for (size_t router = 0; router < plan_.routers.size(); ++router) {
    net::ClientRequest check;
    check.url = plan_.routers[router] + plan_.health_checks->path;
    check.total_timeout = plan_.health_checks->period;
    client_.Fetch(std::move(check),
                  [this, router](Result<net::ClientResponse> answer) {
                    rotation_.OnCheck(router, answer && answer->status == 200);
                  });
  }
}

std::vector<size_t> Runner::RoutersInUse() const {
  return rotation_.InUse(RoutersAt(plan_, Elapsed()));
}

size_t Runner::PickRouter() {
  const std::vector<size_t> routers = RoutersInUse();
  return routers[next_router_++ % routers.size()];
}

size_t Runner::RouterAfter(size_t router) {
  const std::vector<size_t> routers = RoutersInUse();
  const auto found = std::find(routers.begin(), routers.end(), router);
  if (found == routers.end())
    return PickRouter();
  return routers[(found - routers.begin() + 1) % routers.size()];
}

void Runner::RequestToken(size_t request, size_t router) {
  net::ClientRequest issue;
  issue.method = "POST";
  issue.url = plan_.routers[router] + "/v1/tokens";
  issue.headers.push_back(
      {"Authorization",
       "Bearer " + plan_.streams[records_[request].stream].bearer_key});
  issue.total_timeout = kTokenTimeout;
  ++active_[request].open;
  client_.Fetch(std::move(issue), [this, request,
                                   router](Result<net::ClientResponse> answer) {
    if (draining_)
      return;
    const bool disconnected = active_[request].disconnected;
    const auto token = answer ? ReadToken(answer->body) : std::nullopt;
    if (token && answer->status < 300 && !disconnected) {
      records_[request].key = *token;
      StartFirstSend(request, router);
    } else if (!answer && !disconnected &&
               active_[request].loss_resends_left > 0) {
      // Requesting another token is safe: an unused token has no effect.
      --active_[request].loss_resends_left;
      RequestToken(request, RouterAfter(router));
    } else {
      // Only the token request was sent, so no upstream can run the request.
      SendRecord failed;
      failed.sent = Elapsed();
      failed.end = Elapsed();
      failed.status = answer ? answer->status : 0;
      failed.ending = answer ? Ending::kNotRun : Ending::kUnanswered;
      if (disconnected)
        failed.ending = Ending::kDisconnected;
      records_[request].sends.push_back(std::move(failed));
      active_[request].transfers.push_back(0);
    }
    ReleaseRequest(request);
  });
}

void Runner::StartFirstSend(size_t request, size_t router) {
  StartSend(request, router);
  if (active_[request].resend_after)
    ScheduleResend(request);
}

void Runner::StartSend(size_t request, size_t router) {
  const size_t send = records_[request].sends.size();
  records_[request].sends.emplace_back();
  active_[request].transfers.push_back(0);
  StartTransfer(request, send, router);
}

void Runner::StartTransfer(size_t request, size_t number, size_t router) {
  RequestRecord& record = records_[request];
  const StreamPlan& stream = plan_.streams[record.stream];
  ActiveRequest& active = active_[request];
  SendRecord send;
  send.request_id =
      run_id_ + "-" + std::to_string(request) + "-" + std::to_string(number);
  send.sent = Elapsed();
  net::ClientRequest http;
  http.method = "POST";
  http.url = plan_.routers[router] + PathOf(stream);
  http.body = active.request.body;
  http.fresh_connection = stream.non_idempotent;
  http.headers = {{"Content-Type", "application/json"},
                  {"Authorization", "Bearer " + stream.bearer_key},
                  {"X-Request-Id", send.request_id}};
  if (!stream.request_class.empty())
    http.headers.push_back({"X-Teaselhill-Class", stream.request_class});
  if (!record.key.empty())
    http.headers.push_back({"Idempotency-Key", record.key});
  if (stream.deadline) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(*stream.deadline);
    http.headers.push_back(
        {"X-Teaselhill-Deadline-Ms", std::to_string(ms.count())});
  }
  record.sends[number] = std::move(send);
  ++active.open;
  active.transfers[number] = client_.Start(
      std::move(http),
      std::make_shared<Send>(
          *this, request, number, router,
          AnswerChecker(FormOf(stream), active.request.expected)));
}

void Runner::OnSendEnded(const Send& ended, const net::TransferEnd& end) {
  const size_t request = ended.request();
  SendRecord& record = records_[request].sends[ended.send()];
  ActiveRequest& active = active_[request];
  active.transfers[ended.send()] = 0;
  record.end = Elapsed();
  const bool not_sent =
      record.ending == Ending::kUnanswered && !end.may_have_been_sent;
  if (not_sent && active.failovers_left > 0) {
    // No connection was accepted. Try the next host, as the load balancer of
    // the platform does.
    --active.failovers_left;
    StartTransfer(request, ended.send(), RouterAfter(ended.router()));
  } else if (record.ending == Ending::kNotRun && active.retries_left > 0) {
    --active.retries_left;
    ScheduleRetry(request, ended.retry_after());
  } else if (end.code != ResultCode::kOk && !ended.mismatch() &&
             (record.ending == Ending::kUnanswered ||
              record.ending == Ending::kIncomplete) &&
             active.loss_resends_left > 0) {
    // The transfer failed before the answer was complete. The caller retries,
    // so count this send as unanswered and not as incomplete.
    record.ending = Ending::kUnanswered;
    --active.loss_resends_left;
    ScheduleRetry(request, kLossResendDelay, ended.router());
  }
  ReleaseRequest(request);
}

void Runner::ScheduleRetry(size_t request,
                           Duration delay,
                           std::optional<size_t> failed_router) {
  ++active_[request].open;
  ScheduleCall(delay, [this, request, failed_router] {
    // The caller may have disconnected during the delay.
    if (!active_[request].disconnected)
      StartSend(request,
                failed_router ? RouterAfter(*failed_router) : PickRouter());
    ReleaseRequest(request);
  });
}

void Runner::ScheduleResend(size_t request) {
  ActiveRequest& active = active_[request];
  ++active.open;
  ScheduleCall(*active.resend_after, [this, request] {
    StartSend(request, PickRouter());
    ReleaseRequest(request);
  });
}

void Runner::ScheduleDisconnect(size_t request) {
  const StreamPlan& stream = plan_.streams[records_[request].stream];
  ScheduleCall(
      FromSeconds(ToSeconds(stream.disconnect_after) * 2 * rng_.Uniform()),
      [this, request] {
        const auto active = active_.find(request);
        if (active == active_.end())
          return;
        // Keep the request open until all its sends have been cancelled.
        ++active->second.open;
        auto& transfers = active->second.transfers;
        for (size_t send = 0; send < transfers.size(); ++send) {
          if (transfers[send] == 0)
            continue;
          client_.Cancel(transfers[send]);
          transfers[send] = 0;
          records_[request].sends[send].ending = Ending::kDisconnected;
          records_[request].sends[send].end = Elapsed();
          --active->second.open;
        }
        active->second.retries_left = 0;
        active->second.loss_resends_left = 0;
        active->second.disconnected = true;
        ReleaseRequest(request);
      });
}

void Runner::ReleaseRequest(size_t request) {
  const auto active = active_.find(request);
  if (--active->second.open > 0)
    return;
  const bool answered = EndingOf(records_[request]) == Ending::kAnswered;
  GapOf(request).OnEnded(answered, loop_.timers().Now());
  active_.erase(active);
  MaybeFinish();
}

void Runner::InjectFault(const FaultPlan& fault) {
  net::ClientRequest request;
  request.method = "POST";
  request.url = fault.url;
  request.body = fault.body;
  request.total_timeout = kFaultTimeout;
  // Ignore the result: a stand-in that is ordered to crash does not answer.
  client_.Fetch(std::move(request), [](Result<net::ClientResponse>) {});
}

void Runner::MaybeFinish() {
  if (!draining_ && next_arrival_ == arrivals_.size() && active_.empty())
    CancelOpenSends();
}

void Runner::CancelOpenSends() {
  draining_ = true;
  drain_timer_.Cancel();
  for (auto& [request, active] : active_) {
    for (const net::TransferId transfer : active.transfers) {
      if (transfer != 0)
        client_.Cancel(transfer);
    }
    GapOf(request).OnEnded(false, loop_.timers().Now());
  }
  active_.clear();
  loop_.Post([this] { ReadJournals(); });
}

void Runner::ReadJournals() {
  for (const std::string& path : plan_.journal_files) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !AddJournalLines(text.str(), &journals_))
      ++journals_.missing;
  }
  journals_open_ = plan_.journals.size() + 1;
  const auto ended = [this] {
    if (--journals_open_ == 0)
      done_();
  };
  for (const std::string& url : plan_.journals) {
    net::ClientRequest request;
    request.url = url;
    request.total_timeout = kJournalTimeout;
    client_.Fetch(
        std::move(request),
        [this, ended](Result<net::ClientResponse> answer) {
          if (!answer || answer->status != 200 ||
              !AddJournal(answer->body, &journals_))
            ++journals_.missing;
          ended();
        },
        kMaxJournalBytes);
  }
  ended();
}

void Runner::ScheduleCall(Duration delay, std::function<void()> function) {
  const uint64_t id = ++last_timer_id_;
  timers_[id] = loop_.timers().After(
      delay, [this, id, function = std::move(function)](TimePoint) {
        // The subscription owns this callback. Keep the subscription until
        // the callback returns.
        const TimerSubscription fired = std::move(timers_[id]);
        timers_.erase(id);
        if (!draining_)
          function();
      });
}

}  // namespace teaselhill::load
