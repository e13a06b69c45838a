/// \file
/// Request handling, faults and control paths shared by the stand-ins.

#include "teaselhill/standin/standin.h"

#include <cstdlib>

#include "teaselhill/standin/messages.h"

namespace teaselhill::standin {

namespace {

constexpr size_t kMaxPendingEntries = 10000;

/// Forwards a response, unless the caller is cut off or the answer is lost.
/// After the first suppressed call, all later calls are suppressed too.
class SuppressibleResponse : public net::ResponseWriter {
 public:
  SuppressibleResponse(std::shared_ptr<net::ResponseWriter> response,
                       std::string address,
                       const Faults& faults,
                       const TimerService& timers,
                       bool lost)
      : response_(std::move(response)),
        address_(std::move(address)),
        faults_(faults),
        timers_(timers),
        suppressed_(lost) {}

  void Respond(int status, net::Headers headers, std::string body) override {
    if (MayForward())
      response_->Respond(status, std::move(headers), std::move(body));
  }
  void Start(int status, net::Headers headers) override {
    if (MayForward())
      response_->Start(status, std::move(headers));
  }
  void Write(std::string data) override {
    if (MayForward())
      response_->Write(std::move(data));
  }
  void Finish() override {
    if (MayForward())
      response_->Finish();
  }
  void Abort() override {
    if (MayForward())
      response_->Abort();
  }
  size_t pending_bytes() const override { return response_->pending_bytes(); }
  void SetCloseHandler(std::function<void()> handler) override {
    response_->SetCloseHandler(std::move(handler));
  }
  void SetDrainHandler(std::function<void()> handler) override {
    response_->SetDrainHandler(std::move(handler));
  }
  void SetTurnHandler(std::function<void()> handler) override {
    response_->SetTurnHandler(std::move(handler));
  }

 private:
  bool MayForward() {
    suppressed_ = suppressed_ || faults_.cut_off(address_, timers_.Now());
    return !suppressed_;
  }

  std::shared_ptr<net::ResponseWriter> response_;
  std::string address_;
  const Faults& faults_;
  const TimerService& timers_;
  bool suppressed_;
};

}  // namespace

void RespondJson(net::ResponseWriter& response, int status, std::string body) {
  response.Respond(status, {{"Content-Type", "application/json"}},
                   std::move(body));
}

StandIn::StandIn(net::EventLoop& loop, const StandInOptions& options)
    : loop_(loop),
      faults_(options.seed),
      journal_(SteadyNow(), WallNow()),
      latency_(options.latency) {
  if (!options.crash_on.empty()) {
    FaultCommand command;
    command.kind = FaultKind::kCrashOn;
    command.marker = options.crash_on;
    faults_.Apply(command, Now());
  }
}

void StandIn::Handle(net::HttpRequest request,
                     std::shared_ptr<net::ResponseWriter> response) {
  if (request.path.rfind("/control/", 0) == 0) {
    HandleControl(request, response);
    return;
  }
  RunOrPostpone([this, request = std::move(request),
                 response = std::move(response)] { Admit(request, response); });
}

void StandIn::Admit(net::HttpRequest request, Response response) {
  const TimePoint now = Now();
  if (faults_.cut_off(request.remote_address, now)) {
    cut_off_responses_.push_back(std::move(response));
    if (cut_off_responses_.size() > kMaxPendingEntries)
      cut_off_responses_.pop_front();
    return;
  }
  if (faults_.refusing(now)) {
    response->Respond(503, {{"Retry-After", "1"}}, ErrorBody("refusing"));
    return;
  }
  auto suppressible = std::make_shared<SuppressibleResponse>(
      std::move(response), request.remote_address, faults_, loop_.timers(),
      faults_.ShouldLoseAnswer(now));
  const double factor = delays_requests() ? faults_.slow_factor(now) : 1.0;
  // Lower limit, while the `slow` fault is in force, for the latency that the
  // factor multiplies. Without the limit, a stand-in without configured latency
  // would not become slower.
  constexpr Duration kSlowedLatency = std::chrono::milliseconds(1);
  const Duration base =
      factor > 1 ? std::max(latency_, kSlowedLatency) : latency_;
  if (base <= Duration::zero()) {
    Serve(std::move(request), std::move(suppressible));
    return;
  }
  ScheduleCall(FromSeconds(ToSeconds(base) * factor),
               [this, request = std::move(request), suppressible] {
                 Serve(request, suppressible);
               });
}

void StandIn::HandleControl(const net::HttpRequest& request,
                            const Response& response) {
  if (request.method == "GET" && request.path == "/control/journal") {
    RespondJson(*response, 200, ToJson(journal_));
    return;
  }
  if (request.method == "POST" && request.path == "/control/fault") {
    HandleFault(request, response);
    return;
  }
  if (!ServeControl(request, response))
    RespondJson(*response, 404, ErrorBody("no such path"));
}

bool StandIn::ServeControl(const net::HttpRequest& request,
                           const Response& response) {
  return false;
}

void StandIn::HandleFault(const net::HttpRequest& request,
                          const Response& response) {
  const Result<FaultCommand> command = ParseFault(request.body);
  if (!command) {
    RespondJson(*response, 400, ErrorBody(command.error().message));
    return;
  }
  if (command->kind == FaultKind::kCrash)
    Crash();
  faults_.Apply(*command, Now());
  RespondJson(*response, 200, "{}");
  if (command->kind == FaultKind::kFreeze &&
      command->for_time > Duration::zero())
    StartTimer(command->for_time, [this] { RunPostponedCalls(); });
  if (command->kind == FaultKind::kClear)
    RunPostponedCalls();
}

void StandIn::RunOrPostpone(std::function<void()> function) {
  if (!faults_.frozen(Now()))
    function();
  else if (postponed_calls_.size() < kMaxPendingEntries)
    postponed_calls_.push_back(std::move(function));
}

void StandIn::RunPostponedCalls() {
  if (faults_.frozen(Now()))
    return;
  std::deque<std::function<void()>> calls;
  calls.swap(postponed_calls_);
  for (const auto& function : calls)
    function();
}

void StandIn::ScheduleCall(Duration delay, std::function<void()> function) {
  StartTimer(delay, [this, function = std::move(function)] {
    RunOrPostpone(function);
  });
}

void StandIn::StartTimer(Duration delay, std::function<void()> function) {
  const uint64_t id = ++last_timer_id_;
  timers_[id] = loop_.timers().After(
      delay, [this, id, function = std::move(function)](TimePoint) {
        // The subscription owns this callback. Keep the subscription until
        // the callback returns.
        const TimerSubscription fired = std::move(timers_[id]);
        timers_.erase(id);
        function();
      });
}

void StandIn::CrashOnMarker(std::string_view prompt) {
  if (faults_.CrashesOn(prompt))
    Crash();
}

void StandIn::Crash() {
  std::_Exit(kCrashExitCode);
}

}  // namespace teaselhill::standin
