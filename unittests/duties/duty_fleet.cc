/// \file
/// Messages, freezes and checks of the simulated fleet.

#include "duty_fleet.h"

#include <algorithm>
#include <utility>

namespace teaselhill::duties {

namespace {

constexpr std::chrono::seconds kMinReturn{3};

class CallingDuty : public Duty {
 public:
  using OnTexts = std::function<void(const KeptTexts&)>;
  using OnKept = std::function<void(const std::string&)>;

  CallingDuty(OnTexts on_texts, OnKept on_kept)
      : on_texts_(std::move(on_texts)), on_kept_(std::move(on_kept)) {}

  std::string_view name() const override { return "calling"; }
  void OnAcquired(DutyContext& context,
                  const KeptTexts& kept,
                  TimePoint now) override {
    context_ = &context;
    given_ = kept.texts;
    on_texts_(kept);
  }
  void OnLost(TimePoint now) override { context_ = nullptr; }
  void OnTick(TimePoint now) override {
    UsageReport report;
    report.window = ++window_;
    (void)context_->ReportUsage(report, [](CallOutcome) {}).ok();
  }
  void Keep(const std::string& text) {
    if (context_)
      context_->Keep(name(), text, [this, text](const Status& status) {
        if (status)
          on_kept_(text);
      });
  }
  const std::vector<KeptText>& given() const { return given_; }

 private:
  OnTexts on_texts_;
  OnKept on_kept_;
  DutyContext* context_ = nullptr;
  std::vector<KeptText> given_;
  WindowNumber window_ = 0;
};

}  // namespace

class SimulatedLog;

/// One process of a host at a time, with its own timers, which stand still
/// while it is frozen.
class SimulatedHost {
 public:
  SimulatedHost(DutyFleet& fleet, size_t index);
  ~SimulatedHost();

  void Start();
  void Stop() {
    runner_.reset();
    timers_.reset();
    duty_ = nullptr;
    inbox_.clear();
    ++process_;
  }

  /// Runs what has arrived and what is due, unless frozen.
  void Run();
  /// Delivers to the process that is running now.
  void Deliver(uint64_t process, std::function<void()> message) {
    if (process == process_ && runner_)
      inbox_.push_back(std::move(message));
  }
  uint64_t process() const { return process_; }

  std::unique_ptr<DutyRunner> runner_;
  CallingDuty* duty_ = nullptr;
  bool frozen_ = false;
  bool cut_ = false;
  bool refused_ = false;
  TimePoint calm_since_;  ///< end of the last cut or freeze

 private:
  DutyFleet& fleet_;
  size_t index_;
  uint64_t process_ = 1;
  std::unique_ptr<ManualTimerService> timers_;
  TimePoint timers_at_;
  std::vector<std::function<void()>> inbox_;
  std::vector<std::unique_ptr<SimulatedLog>> logs_;  ///< of all processes
  NullLogger logger_;
  Metrics metrics_;
};

/// Client of the simulated log. The host keeps it, since messages that are
/// under way outlive its process.
class SimulatedLog : public DutyLog {
 public:
  SimulatedLog(DutyFleet& fleet, SimulatedHost& host)
      : fleet_(fleet), host_(host) {}

  void Read(uint64_t from, Duration max_wait, ReadCallback callback) override {
    const uint64_t number = ++last_read_;
    ++fleet_.log_calls_;
    open_read_ = number;
    const TimePoint until = fleet_.now_ + max_wait;
    const auto finish = [this, number, callback](Result<LogPage> page) {
      if (open_read_ != number)
        return;
      open_read_ = 0;
      callback(std::move(page));
    };
    AnswerLater(max_wait + DutyFleet::kRequestTimeout, [finish] {
      finish(Result<LogPage>(ResultCode::kTimedOut, "simulated"));
    });
    if (IsLost())
      return;
    fleet_.Schedule(fleet_.RandomDelay(),
                    [this, number, process = host_.process(), from, until,
                     finish] { Serve(process, number, from, until, finish); });
  }

  void CancelRead() override { open_read_ = 0; }

  void Append(const LogAppend& append, AppendCallback callback) override {
    const uint64_t number = ++last_append_;
    ++fleet_.log_calls_;
    open_append_ = number;
    const auto finish = [this, number, callback](const AppendAnswer& answer) {
      if (open_append_ != number)
        return;
      open_append_ = 0;
      callback(answer);
    };
    AnswerLater(DutyFleet::kRequestTimeout, [finish] { finish({}); });
    if (const auto delay =
            std::exchange(fleet_.next_append_delay_, std::nullopt)) {
      fleet_.Schedule(*delay, [this, append] { (void)fleet_.Execute(append); });
      return;
    }
    if (fleet_.Happens(fleet_.log_faults_.late_appends)) {
      const auto delay = Duration(
          fleet_.rng_.Below(Duration(DutyFleet::kMaxLateness).count()));
      fleet_.Schedule(delay, [this, append] { (void)fleet_.Execute(append); });
      return;
    }
    if (IsLost())
      return;
    fleet_.Schedule(fleet_.RandomDelay(), [this, append,
                                           process = host_.process(), finish] {
      if (host_.cut_ || host_.refused_ || fleet_.log_faults_.down)
        return;
      const AppendAnswer answer = fleet_.Execute(append);
      if (IsAnswerLost() || fleet_.now_ < fleet_.append_answers_lost_until_)
        return;
      fleet_.Schedule(fleet_.RandomDelay(), [this, process, answer, finish] {
        if (!host_.cut_)
          host_.Deliver(process, [finish, answer] { finish(answer); });
      });
    });
  }

 private:
  void AnswerLater(Duration delay, std::function<void()> message) {
    fleet_.Schedule(
        delay, [this, process = host_.process(), message = std::move(message)] {
          host_.Deliver(process, message);
        });
  }
  bool IsLost() {
    return host_.cut_ || host_.refused_ || fleet_.log_faults_.down ||
           fleet_.Happens(fleet_.log_faults_.lost_requests);
  }
  bool IsAnswerLost() {
    return host_.cut_ || fleet_.Happens(fleet_.log_faults_.lost_answers);
  }

  template <typename Finish>
  void Serve(uint64_t process,
             uint64_t number,
             uint64_t from,
             TimePoint until,
             Finish finish) {
    if (process != host_.process() || host_.cut_ || host_.refused_ ||
        fleet_.log_faults_.down)
      return;
    const LogPage page = fleet_.PageFrom(from);
    if (!page.dropped && page.records.empty() && fleet_.now_ < until) {
      fleet_.Schedule(DutyFleet::kStep,
                      [this, process, number, from, until, finish] {
                        Serve(process, number, from, until, finish);
                      });
      return;
    }
    if (IsAnswerLost())
      return;
    fleet_.Schedule(fleet_.RandomDelay(), [this, process, finish, page] {
      if (!host_.cut_)
        host_.Deliver(process, [finish, page] { finish(page); });
    });
  }

  DutyFleet& fleet_;
  SimulatedHost& host_;
  uint64_t last_read_ = 0;
  uint64_t open_read_ = 0;
  uint64_t last_append_ = 0;
  uint64_t open_append_ = 0;
};

/// Passes calls on, and cancels them with its process.
class LogHandle : public DutyLog {
 public:
  explicit LogHandle(SimulatedLog& log) : log_(log) {}
  void Read(uint64_t from, Duration max_wait, ReadCallback callback) override {
    log_.Read(from, max_wait, std::move(callback));
  }
  void CancelRead() override { log_.CancelRead(); }
  void Append(const LogAppend& append, AppendCallback callback) override {
    log_.Append(append, std::move(callback));
  }

 private:
  SimulatedLog& log_;
};

class SimulatedApi : public PlatformApi {
 public:
  SimulatedApi(DutyFleet& fleet, SimulatedHost& host, size_t index)
      : fleet_(fleet), host_(host), index_(index) {}

  void ReportUsage(Epoch epoch,
                   const UsageReport& report,
                   Callback callback) override {
    Send(epoch, std::move(callback));
  }
  void OrderServers(Epoch epoch,
                    const PoolOrder& order,
                    Callback callback) override {
    Send(epoch, std::move(callback));
  }
  void Cancel() override {
    if (last_call_)
      last_call_->given_up = true;
  }

 private:
  struct SentCall {
    Epoch epoch = 0;
    uint64_t process = 0;
    Callback callback;
    Duration age{};  ///< as the host's own clocks count it
    bool given_up = false;
    bool ended = false;
  };

  void Send(Epoch epoch, Callback callback) {
    // Most calls are fast.
    const bool slow = fleet_.Happens(0.2);
    const auto bound = slow ? Duration(fleet_.max_call_delay_)
                            : Duration(std::chrono::milliseconds(30));
    auto call = std::make_shared<SentCall>();
    call->epoch = epoch;
    call->process = host_.process();
    call->callback = std::move(callback);
    last_call_ = call;
    const auto self = std::make_shared<SimulatedApi>(fleet_, host_, index_);
    fleet_.Schedule(Duration(fleet_.rng_.Below(bound.count())),
                    [self, call] { self->Arrive(call); });
    Age(self, call);
  }

  /// What a cut holds up stays with the host's system, which sends it again.
  void Arrive(const std::shared_ptr<SentCall>& call) {
    if (host_.cut_ || host_.frozen_) {
      const auto self = std::make_shared<SimulatedApi>(fleet_, host_, index_);
      const Duration retransmission(
          fleet_.rng_.Below(Duration(DutyFleet::kMaxHeldDelay).count()));
      WaitUntilCalm(self, call, retransmission);
      return;
    }
    fleet_.CheckCall({index_, call->epoch, fleet_.now_});
    Answer(call, CallOutcome::kAccepted);
  }

  static void WaitUntilCalm(const std::shared_ptr<SimulatedApi>& self,
                            const std::shared_ptr<SentCall>& call,
                            Duration retransmission) {
    self->fleet_.Schedule(DutyFleet::kStep, [self, call, retransmission] {
      const bool is_ended = call->process != self->host_.process();
      if (self->fleet_.resets_calls_ && (call->given_up || is_ended))
        return;
      const bool is_calm =
          !self->host_.cut_ && !self->host_.frozen_ &&
          self->fleet_.now_ >= self->host_.calm_since_ + retransmission;
      if (is_calm)
        self->Arrive(call);
      else
        WaitUntilCalm(self, call, retransmission);
    });
  }

  static void Age(const std::shared_ptr<SimulatedApi>& self,
                  const std::shared_ptr<SentCall>& call) {
    self->fleet_.Schedule(DutyFleet::kStep, [self, call] {
      if (call->ended || call->given_up)
        return;
      if (!self->host_.frozen_)
        call->age += DutyFleet::kStep;
      if (call->age < kCallTimeout)
        return Age(self, call);
      call->given_up = true;
      self->Answer(call, CallOutcome::kUnknown);
    });
  }

  void Answer(const std::shared_ptr<SentCall>& call, CallOutcome outcome) {
    if (std::exchange(call->ended, true))
      return;
    host_.Deliver(call->process, [call, outcome] { call->callback(outcome); });
  }

  DutyFleet& fleet_;
  SimulatedHost& host_;
  size_t index_;
  std::shared_ptr<SentCall> last_call_;
};

SimulatedHost::SimulatedHost(DutyFleet& fleet, size_t index)
    : fleet_(fleet), index_(index) {}
SimulatedHost::~SimulatedHost() = default;

void SimulatedHost::Start() {
  Stop();
  frozen_ = false;
  timers_ = std::make_unique<ManualTimerService>();
  timers_at_ = fleet_.now_;
  auto duty = std::make_unique<CallingDuty>(
      [this](const KeptTexts& given) { fleet_.CheckTexts(given); },
      [this](const std::string& text) {
        fleet_.kept_at_.emplace(text, fleet_.now_);
      });
  duty_ = duty.get();
  std::vector<std::unique_ptr<Duty>> duties;
  duties.push_back(std::move(duty));
  DutyRunnerOptions options = fleet_.options_;
  options.host = "host-" + std::to_string(index_);
  options.writer = fleet_.rng_.Next();
  options.calls_per_second = 20;
  logs_.push_back(std::make_unique<SimulatedLog>(fleet_, *this));
  runner_ = std::make_unique<DutyRunner>(
      *timers_, [this] { return fleet_.now_; },
      std::make_unique<LogHandle>(*logs_.back()),
      std::make_unique<SimulatedApi>(fleet_, *this, index_), logger_, metrics_,
      std::move(duties), options);
  std::vector<KnownHost> hosts;
  for (size_t i = 0; i < fleet_.hosts(); ++i)
    hosts.push_back({"host-" + std::to_string(i), {}});
  runner_->OnHosts(hosts);
}

void SimulatedHost::Run() {
  if (!runner_ || frozen_)
    return;
  const auto run_timers = [this] {
    timers_->Advance(fleet_.now_ - std::exchange(timers_at_, fleet_.now_));
  };
  // After a freeze, either may come first.
  const bool timers_first = fleet_.Happens(0.5);
  if (timers_first)
    run_timers();
  for (const auto& message : std::exchange(inbox_, {})) {
    if (runner_)
      message();
  }
  run_timers();
}

DutyFleet::DutyFleet(size_t hosts,
                     uint64_t seed,
                     DutyRunnerOptions options,
                     Duration max_call_delay)
    : rng_(seed),
      options_(std::move(options)),
      max_call_delay_(max_call_delay) {
  for (size_t i = 0; i < hosts; ++i)
    hosts_.push_back(std::make_unique<SimulatedHost>(*this, i));
  for (const auto& host : hosts_)
    host->Start();
}

DutyFleet::~DutyFleet() = default;

void DutyFleet::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    RunDue();
    for (const auto& host : hosts_)
      host->Run();
    CheckHolders();
  }
}

void DutyFleet::Schedule(Duration delay, std::function<void()> action) {
  due_.emplace(now_ + delay, std::move(action));
}

void DutyFleet::RunDue() {
  while (!due_.empty() && due_.begin()->first <= now_) {
    const std::function<void()> action = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    action();
  }
}

Duration DutyFleet::RandomDelay() {
  return Duration(rng_.Below(log_faults_.max_delay.count()));
}

std::optional<size_t> DutyFleet::holder() const {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i]->runner_ && hosts_[i]->runner_->IsHeld())
      return i;
  }
  return std::nullopt;
}

void DutyFleet::CheckHolders() {
  const auto holders =
      std::count_if(hosts_.begin(), hosts_.end(), [](const auto& host) {
        return host->runner_ && host->runner_->IsHeld();
      });
  if (holders > 1 && fault_.empty())
    fault_ = "two holders at once";
}

void DutyFleet::CheckCall(const SimulatedCall& call) {
  if (call.arrived_at <=
      hosts_[call.host]->calm_since_ + Duration(kExcusedTime))
    return;
  std::string fault;
  const auto [owner, is_new] = host_of_epoch_.emplace(call.epoch, call.host);
  if (owner->second != call.host)
    fault = "two hosts send the same epoch";
  if (!calls_.empty() && call.epoch < calls_.back().epoch)
    fault = "a call with a lower epoch";
  const auto last = last_call_of_.find(call.host);
  if (!calls_.empty() && calls_.back().host != call.host &&
      last != last_call_of_.end() &&
      call.arrived_at - last->second < kMinReturn)
    fault = "back at the same host too soon";
  last_call_of_[call.host] = call.arrived_at;
  calls_.push_back(call);
  if (fault_.empty())
    fault_ = fault;
}

void DutyFleet::CheckTexts(const KeptTexts& given) {
  for (const auto& [text, kept_at] : kept_at_) {
    const bool is_given = std::any_of(
        given.texts.begin(), given.texts.end(),
        [&text = text](const KeptText& each) { return each.text == text; });
    if (!is_given && kept_at >= given.complete_since && fault_.empty())
      fault_ = "a holder does not know a kept text: " + text;
  }
}

LogPage DutyFleet::PageFrom(uint64_t from) const {
  LogPage page;
  page.from = from;
  page.end = end();
  page.first = first_;
  page.era = era_;
  page.dropped = from < first_ || from > end();
  if (!page.dropped)
    page.records.assign(records_.begin() + static_cast<std::ptrdiff_t>(from),
                        records_.end());
  return page;
}

AppendAnswer DutyFleet::Execute(const LogAppend& append) {
  AppendAnswer answer;
  answer.era = era_;
  answer.outcome = AppendOutcome::kRejected;
  if (append.at != end())
    return answer;
  answer.outcome = AppendOutcome::kAccepted;
  answer.offset = append.at;
  records_.push_back(append.record);
  return answer;
}

void DutyFleet::RestoreCopy() {
  if (!copy_ || *copy_ > records_.size())
    return;
  records_.resize(*copy_);
  first_ = std::min<uint64_t>(first_, *copy_);
  ++era_;
  copy_.reset();
}

const std::vector<KeptText>& DutyFleet::texts_given(size_t host) const {
  return hosts_[host]->duty_->given();
}

void DutyFleet::Kill(size_t host) {
  hosts_[host]->Stop();
}
void DutyFleet::Start(size_t host) {
  hosts_[host]->Start();
}
void DutyFleet::Drain(size_t host) {
  if (hosts_[host]->runner_)
    hosts_[host]->runner_->StartDrain();
}
bool DutyFleet::IsRunning(size_t host) const {
  return hosts_[host]->runner_ != nullptr;
}
void DutyFleet::SetFrozen(size_t host, bool frozen) {
  if (hosts_[host]->frozen_ && !frozen)
    hosts_[host]->calm_since_ = now_;
  hosts_[host]->frozen_ = frozen;
}
void DutyFleet::SetCut(size_t host, bool cut) {
  if (hosts_[host]->cut_ && !cut)
    hosts_[host]->calm_since_ = now_;
  hosts_[host]->cut_ = cut;
}
void DutyFleet::SetRefused(size_t host, bool refused) {
  hosts_[host]->refused_ = refused;
}
void DutyFleet::Keep(size_t host, const std::string& text) {
  if (hosts_[host]->duty_)
    hosts_[host]->duty_->Keep(text);
}

}  // namespace teaselhill::duties
