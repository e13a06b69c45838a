/// \file
/// Request handling, faults and control paths shared by the stand-ins.

#include "teaselhill/standin/standin.h"

#include <cstdlib>

#include "teaselhill/standin/messages.h"

namespace teaselhill::standin {

namespace {

constexpr size_t kMaxHeld = 10000;

/// Forwards a response, unless the caller is cut off or the answer is lost.
/// After the first suppressed call, all later calls are suppressed too.
class GatedResponse : public net::ResponseWriter {
 public:
  GatedResponse(std::shared_ptr<net::ResponseWriter> real,
                std::string address,
                const Faults& faults,
                const TimerService& timers,
                bool lost)
      : real_(std::move(real)),
        address_(std::move(address)),
        faults_(faults),
        timers_(timers),
        silent_(lost) {}

  void Respond(int status, net::Headers headers, std::string body) override {
    if (Open())
      real_->Respond(status, std::move(headers), std::move(body));
  }
  void Start(int status, net::Headers headers) override {
    if (Open())
      real_->Start(status, std::move(headers));
  }
  void Write(std::string data) override {
    if (Open())
      real_->Write(std::move(data));
  }
  void Finish() override {
    if (Open())
      real_->Finish();
  }
  void Abort() override {
    if (Open())
      real_->Abort();
  }
  size_t pending_bytes() const override { return real_->pending_bytes(); }
  void SetCloseHandler(std::function<void()> handler) override {
    real_->SetCloseHandler(std::move(handler));
  }
  void SetDrainHandler(std::function<void()> handler) override {
    real_->SetDrainHandler(std::move(handler));
  }

 private:
  bool Open() {
    silent_ = silent_ || faults_.cut_off(address_, timers_.Now());
    return !silent_;
  }

  std::shared_ptr<net::ResponseWriter> real_;
  std::string address_;
  const Faults& faults_;
  const TimerService& timers_;
  bool silent_;
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
  RunOrHold([this, request = std::move(request),
             response = std::move(response)] { Admit(request, response); });
}

void StandIn::Admit(net::HttpRequest request, Response response) {
  const TimePoint now = Now();
  if (faults_.cut_off(request.remote_address, now)) {
    unanswered_.push_back(std::move(response));
    if (unanswered_.size() > kMaxHeld)
      unanswered_.pop_front();
    return;
  }
  if (faults_.refusing(now)) {
    response->Respond(503, {{"Retry-After", "1"}}, ErrorBody("refusing"));
    return;
  }
  auto gated = std::make_shared<GatedResponse>(
      std::move(response), request.remote_address, faults_, loop_.timers(),
      faults_.DrawLoseAnswer(now));
  const double factor = delays_requests() ? faults_.slow_factor(now) : 1.0;
  // Minimum latency that the `slow` factor multiplies, so that a stand-in
  // without configured latency is slowed down too.
  constexpr Duration kSlowedLatency = std::chrono::milliseconds(1);
  const Duration base =
      factor > 1 ? std::max(latency_, kSlowedLatency) : latency_;
  if (base <= Duration::zero()) {
    Serve(std::move(request), std::move(gated));
    return;
  }
  Later(FromSeconds(ToSeconds(base) * factor),
        [this, request = std::move(request), gated] { Serve(request, gated); });
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
    Schedule(command->for_time, [this] { ReleaseHeld(); });
  if (command->kind == FaultKind::kClear)
    ReleaseHeld();
}

void StandIn::RunOrHold(std::function<void()> function) {
  if (!faults_.frozen(Now()))
    function();
  else if (held_.size() < kMaxHeld)
    held_.push_back(std::move(function));
}

void StandIn::ReleaseHeld() {
  if (faults_.frozen(Now()))
    return;
  std::deque<std::function<void()>> held;
  held.swap(held_);
  for (const auto& function : held)
    function();
}

void StandIn::Later(Duration delay, std::function<void()> function) {
  Schedule(delay,
           [this, function = std::move(function)] { RunOrHold(function); });
}

void StandIn::Schedule(Duration delay, std::function<void()> function) {
  const uint64_t id = ++last_timer_;
  timers_[id] = loop_.timers().After(
      delay, [this, id, function = std::move(function)](TimePoint) {
        // Keep the subscription, which owns this callback, until it returns.
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
