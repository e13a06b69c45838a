/// \file
/// Connects the duties to the platform and to the known hosts.

#include "duty_host.h"

#include <utility>

#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

namespace {

/// Asks all hosts for their reports while the lease is held.
class PollingDuty : public duties::Duty {
 public:
  PollingDuty(DutyPoller& poller,
              std::vector<duties::HostReportHandler*> handlers)
      : poller_(poller), handlers_(std::move(handlers)) {}

  std::string_view name() const override { return "poll"; }
  void OnAcquired(duties::DutyContext&,
                  const std::vector<std::string>&,
                  TimePoint) override {
    poller_.Start(handlers_);
  }
  void OnLost(TimePoint) override { poller_.Stop(); }
  void OnTick(TimePoint) override {}

 private:
  DutyPoller& poller_;
  std::vector<duties::HostReportHandler*> handlers_;
};

}  // namespace

DutyHost::DutyHost(const GatewaySettings& settings,
                   const DutyEnvironment& environment,
                   HostReportSources sources) {
  if (!settings.duties_fault.empty())
    environment.logger.Write(
        LogLine(LogLevel::kError, "duty_settings_refused")
            .Field("code", static_cast<int>(ResultCode::kSettingInvalid))
            .Field("fault", settings.duties_fault));
  if (!settings.duties)
    return;
  poller_ =
      std::make_unique<DutyPoller>(environment.calls, environment.loop.timers(),
                                   environment.log, settings.host, sources);
  std::vector<std::unique_ptr<duties::Duty>> all;
  std::vector<duties::HostReportHandler*> handlers;
  if (settings.duties->usage) {
    duties::UsageDutyOptions options;
    options.window = settings.duties->report_window;
    options.report_delay = settings.duties->report_delay;
    auto usage = std::make_unique<duties::UsageDuty>(
        options, environment.logger, environment.metrics);
    usage_ = usage.get();
    handlers.push_back(usage_);
    all.push_back(std::move(usage));
  }
  if (!handlers.empty())
    all.push_back(std::make_unique<PollingDuty>(*poller_, handlers));
  duties::DutyRunnerOptions options;
  options.host = settings.host;
  options.writer = EntropySeed();
  options.lease.min_return = settings.duties->min_return;
  options.calls_per_second = settings.duties->calls_per_second;
  runner_ = std::make_unique<duties::DutyRunner>(
      environment.loop.timers(), BootNow,
      environment.adapter.MakeDutyLog(environment.loop,
                                      environment.memory_budget),
      environment.adapter.MakePlatformApi(environment.loop), environment.logger,
      environment.metrics, std::move(all), std::move(options));
}

void DutyHost::OnHosts(const std::vector<HostRecord>& records) {
  if (!runner_)
    return;
  poller_->OnHosts(records);
  std::vector<duties::KnownHost> hosts;
  std::vector<std::string> names;
  for (const HostRecord& record : records) {
    hosts.push_back({record.host, record.age});
    names.push_back(record.host);
  }
  if (usage_)
    usage_->OnHosts(names);
  runner_->OnHosts(hosts);
}

void DutyHost::StartDrain() {
  if (runner_)
    runner_->StartDrain();
}

}  // namespace teaselhill::gateway
