/// \file
/// Connects the duties to the platform and to the known hosts.

#include "duty_host.h"

#include <utility>

#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

DutyHost::DutyHost(const GatewaySettings& settings,
                   Adapter& adapter,
                   net::EventLoop& loop,
                   net::MemoryBudget& memory_budget,
                   Logger& logger,
                   Metrics& metrics,
                   std::vector<std::unique_ptr<duties::Duty>> duties) {
  if (!settings.duties_fault.empty())
    logger.Write(
        LogLine(LogLevel::kError, "duty_settings_refused")
            .Field("code", static_cast<int>(ResultCode::kSettingInvalid))
            .Field("fault", settings.duties_fault));
  if (!settings.duties)
    return;
  duties::DutyRunnerOptions options;
  options.host = settings.host;
  options.writer = EntropySeed();
  options.lease.min_return = settings.duties->min_return;
  options.calls_per_second = settings.duties->calls_per_second;
  runner_ = std::make_unique<duties::DutyRunner>(
      loop.timers(), BootNow, adapter.MakeDutyLog(loop, memory_budget),
      adapter.MakePlatformApi(loop), logger, metrics, std::move(duties),
      std::move(options));
}

void DutyHost::OnHosts(const std::vector<HostRecord>& records) {
  if (!runner_)
    return;
  std::vector<duties::KnownHost> hosts;
  hosts.reserve(records.size());
  for (const HostRecord& record : records)
    hosts.push_back({record.host, record.age});
  runner_->OnHosts(hosts);
}

void DutyHost::StartDrain() {
  if (runner_)
    runner_->StartDrain();
}

}  // namespace teaselhill::gateway
