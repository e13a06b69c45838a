/// \file
/// One traffic thread: caller connections, upstream transfers and their relays.

#ifndef TEASELHILL_ROUTER_TRAFFIC_WORKER_H_
#define TEASELHILL_ROUTER_TRAFFIC_WORKER_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "teaselhill/config/config_view.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/tls.h"
#include "teaselhill/router/ports.h"

namespace teaselhill::router {

/// State that the control thread publishes and traffic threads read.
class PublishedState {
 public:
  std::shared_ptr<const config::ConfigView> config() const {
    return std::atomic_load(&config_);
  }
  void SetConfig(std::shared_ptr<const config::ConfigView> view) {
    std::atomic_store(&config_, std::move(view));
  }

  std::atomic<bool> draining{false};

  /// False until a configuration is in force, and while draining.
  bool IsReady() const { return !draining && config() != nullptr; }

 private:
  std::shared_ptr<const config::ConfigView> config_;
};

struct TrafficOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  size_t max_body_bytes = 4 << 20;
  /// Bound on what all unfinished requests and answers hold together.
  size_t max_unfinished_bytes = 4 << 20;
  Duration read_timeout = std::chrono::seconds(15);
  size_t max_connections = 20000;
  std::string host_secret;
  net::TlsFiles tls_files;               ///< for connections to upstreams
  std::shared_ptr<net::TlsContext> tls;  ///< of the listener; null: no TLS
};

/// Owns its event loop and thread. The functions that mirror `TrafficPort` may
/// be called from any thread.
class TrafficWorker {
 public:
  TrafficWorker(int index,
                TrafficOptions options,
                const PublishedState& shared,
                ControlPort& control);
  ~TrafficWorker();
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;

  /// Binds the listener and starts the thread.
  Status Start();
  uint16_t port() const;

  /// Stops accepting connections, refuses requests that have not arrived whole,
  /// and closes each connection after its last answer. Requests in flight
  /// continue.
  void EndConnections();

  /// Stops and joins the thread. Requests still in flight are aborted.
  void Stop();

  void StartAttempt(const AttemptCommand& command);
  void CancelAttempt(RequestId request, int attempt);
  void ResumeAttempt(RequestId request, int attempt);
  void FailRequest(RequestId request, const Error& error, Duration retry_after);
  void ReplayAnswer(RequestId request,
                    std::shared_ptr<const StoredAnswer> answer);
  void CancelRequest(RequestId request);
  void SendIdempotencyToken(RequestId request, const std::string& token);

  /// Number of requests whose relay still exists; a relay may outlive its
  /// answer by up to 100 ms. After EndConnections(), one more if an answer has
  /// not left its socket. Callable from any thread.
  size_t open_requests() const { return open_requests_ + has_unsent_answers_; }

  /// Bytes that unfinished messages hold. Callable from any thread.
  size_t held_bytes() const;

 private:
  class Impl;
  std::atomic<size_t> open_requests_{0};
  std::atomic<bool> has_unsent_answers_{false};
  std::unique_ptr<Impl> impl_;
};

/// Dispatches the calls of the traffic port to the addressed worker, and those
/// of the drain port to all.
class WorkerPool : public TrafficPort, public DrainPort {
 public:
  void AddWorker(TrafficWorker* worker) { workers_.push_back(worker); }

  void StartAttempt(int worker, const AttemptCommand& command) override {
    workers_[worker]->StartAttempt(command);
  }
  void CancelAttempt(int worker, RequestId request, int attempt) override {
    workers_[worker]->CancelAttempt(request, attempt);
  }
  void ResumeAttempt(int worker, RequestId request, int attempt) override {
    workers_[worker]->ResumeAttempt(request, attempt);
  }
  void FailRequest(int worker,
                   RequestId request,
                   const Error& error,
                   Duration retry_after) override {
    workers_[worker]->FailRequest(request, error, retry_after);
  }
  void ReplayAnswer(int worker,
                    RequestId request,
                    std::shared_ptr<const StoredAnswer> answer) override {
    workers_[worker]->ReplayAnswer(request, std::move(answer));
  }
  void CancelRequest(int worker, RequestId request) override {
    workers_[worker]->CancelRequest(request);
  }
  void SendIdempotencyToken(int worker,
                            RequestId request,
                            const std::string& token) override {
    workers_[worker]->SendIdempotencyToken(request, token);
  }

  size_t open_requests() const override {
    size_t open = 0;
    for (const TrafficWorker* worker : workers_)
      open += worker->open_requests();
    return open;
  }
  size_t held_bytes() const {
    size_t held = 0;
    for (const TrafficWorker* worker : workers_)
      held += worker->held_bytes();
    return held;
  }
  void EndConnections() override {
    for (TrafficWorker* worker : workers_)
      worker->EndConnections();
  }

 private:
  std::vector<TrafficWorker*> workers_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_TRAFFIC_WORKER_H_
