/// \file
/// Start and shutdown of the router daemon.

#include "teaselhill/router/daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "teaselhill/router/control.h"
#include "teaselhill/router/memory_shares.h"
#include "teaselhill/router/tls_setup.h"
#include "teaselhill/router/traffic_worker.h"
#include "teaselhill/support/allocator.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

namespace {

constexpr int kResultCodesPerClass = 1000;
constexpr std::chrono::seconds kGaugePeriod{1};

/// Period of the check for replaced certificate files, which are reloaded
/// without a signal.
constexpr std::chrono::seconds kTlsCheckPeriod{5};

/// File descriptors reserved for listeners, platform services, other hosts and
/// load reports.
constexpr rlim_t kReservedDescriptors = 256;

constexpr rlim_t kMaxConnectionsPerThread = 20000;

/// Returns the maximum number of caller connections for each traffic thread.
/// RESTinio stops accepting permanently once accept() has failed, so callers
/// must not use the last file descriptor. Each caller may need a second
/// descriptor for its upstream.
size_t ConnectionsPerThread(int threads) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return kMaxConnectionsPerThread;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  const rlim_t usable =
      limit.rlim_cur - std::min(limit.rlim_cur / 2, kReservedDescriptors);
  return std::clamp<rlim_t>(usable / (2 * static_cast<rlim_t>(threads)), 1,
                            kMaxConnectionsPerThread);
}

TrafficOptions ToTrafficOptions(const Settings& settings, const TlsSetup& tls) {
  TrafficOptions options;
  options.address = settings.address;
  options.port = settings.http_port;
  options.max_body_bytes = settings.max_body_bytes;
  options.max_unfinished_bytes = UnfinishedBytesPerThread(
      settings.memory_bytes, settings.traffic_threads, settings.max_body_bytes);
  options.host_secret = settings.peer_secret;
  options.tls_files = settings.tls;
  options.tls = tls.clients;
  options.max_connections = ConnectionsPerThread(settings.traffic_threads);
  return options;
}

int ReportFailure(Logger& logger, const Error& error) {
  logger.Write(LogLine(LogLevel::kError, "start_failed")
                   .Field("code", static_cast<int>(error.code))
                   .Field("fault", error.message));
  return static_cast<int>(error.code) / kResultCodesPerClass;
}

}  // namespace

int RunDaemon(const Settings& settings) {
  ConfigureAllocator();
  JsonLogger logger("teaselhilld/" + settings.host, settings.log_level);
  Metrics metrics;
  PublishedState shared;
  WorkerPool pool;
  const Result<TlsSetup> tls = LoadTls(settings.tls);
  if (!tls)
    return ReportFailure(logger, tls.error());
  Control control(settings, *tls, shared, pool, logger, metrics);
  std::vector<std::unique_ptr<TrafficWorker>> workers;
  TrafficOptions options = ToTrafficOptions(settings, *tls);
  for (int i = 0; i < settings.traffic_threads; ++i) {
    workers.push_back(
        std::make_unique<TrafficWorker>(i, options, shared, control));
    pool.AddWorker(workers.back().get());
  }
  const Status started = control.Start();
  if (!started)
    return ReportFailure(logger, started.error());
  for (const auto& worker : workers) {
    const Status bound = worker->Start();
    if (!bound)
      return ReportFailure(logger, bound.error());
  }
  logger.Write(LogLine(LogLevel::kInfo, "started")
                   .Field("host", settings.host)
                   .Field("domain", settings.domain)
                   .Field("port", static_cast<int>(workers[0]->port()))
                   .Field("version", TEASELHILL_VERSION));
  MemoryReleaseSchedule memory_release;
  const auto gauges =
      control.loop().timers().Subscribe(kGaugePeriod, [&](TimePoint) {
        metrics.SetGauge("teaselhill_log_lines_dropped",
                         "Own log lines lost because the output was full",
                         static_cast<double>(logger.dropped()));
        metrics.SetGauge("teaselhill_held_bytes",
                         "Bytes that unfinished requests and answers hold",
                         static_cast<double>(pool.held_bytes()));
        if (memory_release.IsDue(pool.held_bytes()))
          ReleaseFreeMemory();
      });
  bool stopping = false;
  const auto signals = net::HandleTermination(control.loop(), [&](int) {
    if (std::exchange(stopping, true))
      return;
    control.Drain(pool, [&control] { control.loop().Stop(); });
  });
  std::shared_ptr<void> hangups;
  TimerSubscription tls_check;
  if (tls->enabled()) {
    hangups = net::HandleHangup(control.loop(), [&](int) {
      ReloadTls(*tls, /*log_unchanged=*/true, logger);
    });
    tls_check = control.loop().timers().Subscribe(
        kTlsCheckPeriod,
        [&](TimePoint) { ReloadTls(*tls, /*log_unchanged=*/false, logger); });
  }
  control.loop().Run();
  for (const auto& worker : workers)
    worker->Stop();
  return 0;
}

}  // namespace teaselhill::router
