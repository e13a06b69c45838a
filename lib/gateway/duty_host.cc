/// \file
/// Connects the duties to the platform and to the known hosts.

#include "duty_host.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "teaselhill/duties/pool_duty.h"
#include "teaselhill/gateway/pool_view.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

namespace {

std::vector<duties::PoolService> PoolsOf(const SharedState& state) {
  const auto routes = state.routes();
  const auto upstreams = state.upstreams();
  return routes && upstreams ? ListPools(*routes, *upstreams)
                             : std::vector<duties::PoolService>();
}

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
  auto poller =
      std::make_unique<DutyPoller>(environment.calls, environment.loop.timers(),
                                   environment.log, settings.host, sources);
  poller_ = poller.get();
  std::vector<std::unique_ptr<duties::Duty>> all;
  all.push_back(std::move(poller));
  if (settings.duties->usage) {
    duties::UsageDutyOptions options;
    options.window = settings.duties->report_window;
    options.report_delay = settings.duties->report_delay;
    auto usage = std::make_unique<duties::UsageDuty>(
        options, environment.logger, environment.metrics);
    usage_ = usage.get();
    poller_->AddHandler(*usage);
    all.push_back(std::move(usage));
  }
  if (settings.duties->pool) {
    auto pool = std::make_unique<duties::PoolDuty>(
        duties::PoolDutyOptions(),
        [&state = environment.state] { return PoolsOf(state); },
        environment.logger, environment.metrics);
    poller_->AddHandler(*pool);
    all.push_back(std::move(pool));
  }
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
  // A host that has not announced itself for long is gone.
  std::vector<HostRecord> running;
  std::copy_if(records.begin(), records.end(), std::back_inserter(running),
               [](const HostRecord& record) {
                 return record.age < FleetSize::kHostRetention;
               });
  poller_->OnHosts(running);
  std::vector<duties::KnownHost> hosts;
  std::vector<std::string> names;
  for (const HostRecord& record : running) {
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
