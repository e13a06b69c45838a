/// \file
/// Router daemon.

#include "teaselhill/router/daemon.h"

#include <memory>
#include <vector>

#include "teaselhill/router/control.h"
#include "teaselhill/router/traffic_worker.h"
#include "teaselhill/support/logger.h"

namespace teaselhill::router {

namespace {

constexpr int kCodeClass = 1000;
constexpr std::chrono::seconds kDroppedLinesTick{1};

TrafficOptions ToTrafficOptions(const Settings& settings) {
  TrafficOptions options;
  options.address = settings.address;
  options.port = settings.http_port;
  options.max_body_bytes = settings.max_body_bytes;
  options.host_secret = settings.peer_secret;
  return options;
}

int ReportFailure(Logger& logger, const Error& error) {
  logger.Write(LogLine(LogLevel::kError, "start_failed")
                   .Field("code", static_cast<int>(error.code))
                   .Field("fault", error.message));
  return static_cast<int>(error.code) / kCodeClass;
}

}  // namespace

int RunDaemon(const Settings& settings) {
  JsonLogger logger("teaselhilld/" + settings.host, settings.log_level);
  Metrics metrics;
  SharedView shared;
  WorkerPool pool;
  Control control(settings, shared, pool, logger, metrics);
  std::vector<std::unique_ptr<TrafficWorker>> workers;
  TrafficOptions options = ToTrafficOptions(settings);
  for (int i = 0; i < settings.traffic_threads; ++i) {
    workers.push_back(
        std::make_unique<TrafficWorker>(i, options, shared, control, metrics));
    pool.Add(workers.back().get());
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
  const auto dropped_lines =
      control.loop().timers().Subscribe(kDroppedLinesTick, [&](TimePoint) {
        metrics.SetGauge("teaselhill_log_lines_dropped",
                         "Own log lines lost because the output was full",
                         static_cast<double>(logger.dropped()));
      });
  bool stopping = false;
  const auto signals = net::HandleTermination(control.loop(), [&](int) {
    if (std::exchange(stopping, true))
      return;
    const auto open_requests = [&workers] {
      size_t open = 0;
      for (const auto& worker : workers)
        open += worker->open_requests();
      return open;
    };
    control.Drain(open_requests, [&control] { control.loop().Stop(); });
  });
  control.loop().Run();
  for (const auto& worker : workers)
    worker->Stop();
  return 0;
}

}  // namespace teaselhill::router
