/// \file
/// Implementation of a traffic thread.

#include "teaselhill/router/traffic_worker.h"

#include <pthread.h>

#include <unordered_map>

#include "contract_check.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/router/relay.h"
#include "teaselhill/support/hash.h"
#include "teaselhill/support/logger.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::router {

namespace {

constexpr std::chrono::milliseconds kProgressPeriod{100};

/// Period of the check for answers that have not left their sockets, at the end
/// of a drain.
constexpr std::chrono::milliseconds kUnsentPeriod{10};

/// Request ids carry the worker's index in their upper bits, so that workers
/// need no shared counter.
constexpr int kWorkerIndexShift = 48;

net::Headers AnsweredJsonHeaders() {
  return {{"Content-Type", "application/json"},
          {"X-Teaselhill-Outcome", "answered"}};
}

}  // namespace

class TrafficWorker::Impl : public net::HttpHandler {
 public:
  Impl(int index,
       TrafficOptions options,
       const PublishedState& shared,
       ControlPort& control,
       std::atomic<size_t>& open_requests)
      : index_(index),
        options_(std::move(options)),
        shared_(shared),
        control_(control),
        open_requests_(open_requests),
        budget_(options_.max_unfinished_bytes,
                [this](std::function<void()> relief) {
                  loop_.Post(std::move(relief));
                }),
        client_(loop_),
        server_(loop_, ServerOptions(), *this) {
    client_.UseTls(options_.tls_files);
    context_.client = &client_;
    context_.budget = &budget_;
    context_.control = &control_;
    context_.host_secret = options_.host_secret;
    context_.source_address = options_.address;
  }

  ~Impl() override { StopThread(); }

  Status Start() {
    const Status started = server_.Start();
    if (!started)
      return started;
    progress_timer_ = loop_.timers().Subscribe(
        kProgressPeriod, [this](TimePoint) { ReportProgress(); });
    thread_ = std::thread([this] { loop_.Run(); });
    // Names this thread, so that processor time can be attributed to it. The
    // control thread keeps the name of the process.
    pthread_setname_np(thread_.native_handle(),
                       ("traffic-" + std::to_string(index_)).c_str());
    return Ok{};
  }

  void StopThread() {
    if (!thread_.joinable())
      return;
    loop_.Stop();
    thread_.join();
    relays_.clear();
  }

  net::EventLoop& loop() { return loop_; }
  net::HttpServer& server() { return server_; }
  size_t held_bytes() const { return budget_.held_bytes(); }

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    if (request.path == "/healthz")
      return response->Respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
    if (request.path == "/readyz")
      return response->Respond(shared_.IsReady() ? 200 : 503,
                               {{"Content-Type", "text/plain"}},
                               shared_.IsReady() ? "ready\n" : "not ready\n");
    const Status accepted = AcceptRequest(request, response);
    if (!accepted)
      RejectRequest(*response,
                    AdjustErrorForKey(request.headers, accepted.error()));
  }

  void WithRelay(RequestId id, const std::function<void(Relay&)>& action) {
    const auto found = relays_.find(id);
    if (found == relays_.end())
      return;
    const std::shared_ptr<Relay> relay = found->second;
    action(*relay);
    if (relay->finished())
      EraseRelay(id);
  }

  void CancelRequest(RequestId id) {
    const auto found = relays_.find(id);
    if (found == relays_.end())
      return;
    const std::shared_ptr<Relay> relay = found->second;
    relay->DetachCaller();
    relay->Fail(Error{ResultCode::kCallerGone, ""}, Duration::zero());
    EraseRelay(id);
  }

  void SendIdempotencyToken(RequestId id, const std::string& token) {
    const auto found = token_requests_.find(id);
    if (found == token_requests_.end())
      return;
    std::string body = R"({"token":)";
    AppendJsonString(token, &body);
    found->second->Respond(200, AnsweredJsonHeaders(), body + "}");
    token_requests_.erase(found);
  }

  /// Reports from now on whether an answer has not left its socket.
  void EndConnections(std::function<void(bool)> report_unsent) {
    server_.Stop();
    server_.CloseAfterResponses();
    EndUnusedConnections();
    unsent_timer_ = loop_.timers().Subscribe(
        kUnsentPeriod,
        [this, report_unsent = std::move(report_unsent)](TimePoint) {
          EndUnusedConnections();
          ReportProgress();
          report_unsent(!token_requests_.empty() ||
                        server_.HasUnsentResponses());
        });
  }

  void EraseRelay(RequestId id) {
    if (relays_.erase(id) > 0)
      --open_requests_;
  }

 private:
  net::HttpServerOptions ServerOptions() {
    net::HttpServerOptions server;
    server.address = options_.address;
    server.port = options_.port;
    server.share_port = true;
    server.max_body_bytes = options_.max_body_bytes;
    server.read_timeout = options_.read_timeout;
    server.tls = options_.tls;
    server.max_connections = options_.max_connections;
    server.memory_budget = &budget_;
    return server;
  }

  /// Replaces errors that only concern this host by kClaimUnknown if the
  /// request has an idempotency key. Another host may have run an earlier
  /// request with the same key, so the caller must not be told that the request
  /// was not run.
  static Error AdjustErrorForKey(const net::Headers& headers,
                                 const Error& error) {
    const bool host_error = error.code == ResultCode::kNoConfiguration ||
                            error.code == ResultCode::kContractClosed;
    if (!host_error || !net::FindHeader(headers, "Idempotency-Key"))
      return error;
    return {ResultCode::kClaimUnknown, std::string(Describe(error.code).name)};
  }

  static void RejectRequest(net::ResponseWriter& response, const Error& error) {
    response.Respond(Describe(error.code).http_status,
                     ErrorHeaders(error, std::chrono::seconds(1)),
                     ErrorBody(error));
  }

  /// Authorizes and validates a request and passes it to the control thread.
  Status AcceptRequest(net::HttpRequest& request,
                       const std::shared_ptr<net::ResponseWriter>& response) {
    const auto view = shared_.config();
    if (!view)
      return {ResultCode::kNoConfiguration, ""};
    const Result<std::string> key = ParseBearerKey(request.headers);
    if (!key)
      return key.error();
    Result<RequestHeaders> headers = ParseRequestHeaders(request.headers);
    if (!headers)
      return headers.error();
    if (headers->forwarded && !HasHostSecret(request.headers))
      return {ResultCode::kNotPermitted,
              "x-teaselhill-forwarded is for hosts only"};
    const Result<Grant> grant = Authorize(*view, *key, *headers);
    if (!grant)
      return grant.error();
    if (request.path == "/v1/models")
      return ListModels(request, *grant, *response);
    if (request.path == "/v1/tokens")
      return RequestIdempotencyToken(request, *grant, response);
    return SubmitRequest(request, *headers, *grant, response);
  }

  bool HasHostSecret(const net::Headers& headers) const {
    const auto secret = net::FindHeader(headers, "X-Teaselhill-Forwarded");
    return secret && !options_.host_secret.empty() &&
           SameSecret(*secret, options_.host_secret);
  }

  static Status ListModels(const net::HttpRequest& request,
                           const Grant& grant,
                           net::ResponseWriter& response) {
    if (request.method != "GET")
      return {ResultCode::kMethodNotAllowed, "/v1/models takes GET"};
    response.Respond(200, AnsweredJsonHeaders(), ModelList(*grant.contract));
    return Ok{};
  }

  Status RequestIdempotencyToken(
      const net::HttpRequest& request,
      const Grant& grant,
      const std::shared_ptr<net::ResponseWriter>& response) {
    if (request.method != "POST")
      return {ResultCode::kMethodNotAllowed, "/v1/tokens takes POST"};
    // Only this host could run a request with the token.
    if (shared_.draining)
      return {ResultCode::kDraining, ""};
    const RequestId id = NextId();
    token_requests_[id] = response;
    control_.OnIdempotencyTokenRequested(index_, id, grant.contract->customer);
    return Ok{};
  }

  Status SubmitRequest(net::HttpRequest& request,
                       const RequestHeaders& headers,
                       const Grant& grant,
                       const std::shared_ptr<net::ResponseWriter>& response) {
    RequestInfo info;
    info.id = NextId();
    info.worker = index_;
    info.external_id = headers.external_id.empty()
                           ? "r" + std::to_string(info.id) + "-" + process_tag_
                           : headers.external_id;
    info.customer = grant.contract->customer;
    info.team = grant.team->name;
    info.class_name = grant.request_class->name;
    info.idempotent =
        headers.idempotent.value_or(grant.request_class->idempotent);
    info.idempotency_key = headers.idempotency_key;
    info.deadline = headers.deadline > Duration::zero()
                        ? headers.deadline
                        : grant.request_class->default_deadline;
    info.forwarded = headers.forwarded;
    if (!info.idempotency_key.empty())
      info.body_hash = Hash64(request.method + " " + PathAndQuery(request) +
                              "\n" + request.body);
    OutgoingRequest outgoing;
    outgoing.caller_target = PathAndQuery(request);
    outgoing.caller_headers = request.headers;
    const Status described =
        request.path == "/v1/chat/completions"
            ? DescribeModelCall(request, *grant.contract, info, outgoing)
            : DescribeServiceCall(request, *grant.contract, info, outgoing);
    if (!described)
      return described;
    StartRelay(std::move(info), std::move(outgoing), std::move(request.body),
               response);
    return Ok{};
  }

  void StartRelay(RequestInfo info,
                  OutgoingRequest outgoing,
                  std::string caller_body,
                  const std::shared_ptr<net::ResponseWriter>& response) {
    const RequestId id = info.id;
    // Only a non-idempotent request with an idempotency key may be forwarded to
    // another host, so only such a request needs the caller's body and headers.
    // Only its answer is stored.
    const bool keyed = !info.idempotent && !info.idempotency_key.empty();
    if (keyed)
      outgoing.caller_body = std::move(caller_body);
    else
      outgoing.caller_headers.clear();
    response->SetCloseHandler([this, id] { OnCallerDisconnected(id); });
    relays_.emplace(id, std::make_shared<Relay>(context_, info,
                                                std::move(outgoing), response,
                                                /*store_answer=*/keyed));
    ++open_requests_;
    control_.OnArrived(std::move(info));
  }

  /// A connection may have got its answer before it was to be its last one.
  void EndUnusedConnections() {
    server_.RefuseUnread(ResultCode::kDraining);
    server_.CloseIdle();
  }

  void OnCallerDisconnected(RequestId id) {
    const auto found = relays_.find(id);
    if (found == relays_.end())
      return;
    found->second->DetachCaller();
    control_.OnCallerDisconnected(id);
  }

  void ReportProgress() {
    std::vector<TokenProgress> progress;
    for (auto entry = relays_.begin(); entry != relays_.end();) {
      entry->second->CollectProgress(&progress);
      if (entry->second->finished()) {
        entry = relays_.erase(entry);
        --open_requests_;
        continue;
      }
      ++entry;
    }
    if (!progress.empty())
      control_.OnProgress(std::move(progress));
  }

  RequestId NextId() {
    return (static_cast<RequestId>(index_) << kWorkerIndexShift) | ++last_id_;
  }

  int index_;
  TrafficOptions options_;
  const PublishedState& shared_;
  ControlPort& control_;
  std::atomic<size_t>& open_requests_;
  net::EventLoop loop_;
  net::MemoryBudget budget_;
  net::HttpClient client_;
  net::HttpServer server_;
  RelayContext context_;
  RequestId last_id_ = 0;
  /// Distinguishes generated external ids of this process from those of others.
  std::string process_tag_ = ToHex(Hash128{EntropySeed(), 0}).substr(0, 8);
  std::unordered_map<RequestId, std::shared_ptr<Relay>> relays_;
  std::unordered_map<RequestId, std::shared_ptr<net::ResponseWriter>>
      token_requests_;
  TimerSubscription progress_timer_;
  TimerSubscription unsent_timer_;
  std::thread thread_;
};

TrafficWorker::TrafficWorker(int index,
                             TrafficOptions options,
                             const PublishedState& shared,
                             ControlPort& control)
    : impl_(std::make_unique<Impl>(index,
                                   std::move(options),
                                   shared,
                                   control,
                                   open_requests_)) {}

TrafficWorker::~TrafficWorker() = default;

Status TrafficWorker::Start() {
  return impl_->Start();
}

uint16_t TrafficWorker::port() const {
  return impl_->server().port();
}

size_t TrafficWorker::held_bytes() const {
  return impl_->held_bytes();
}

void TrafficWorker::EndConnections() {
  has_unsent_answers_ = true;
  impl_->loop().Post([this] {
    impl_->EndConnections(
        [this](bool unsent) { has_unsent_answers_ = unsent; });
  });
}

void TrafficWorker::Stop() {
  impl_->StopThread();
}

void TrafficWorker::StartAttempt(const AttemptCommand& command) {
  impl_->loop().Post([this, command] {
    impl_->WithRelay(command.request,
                     [&](Relay& relay) { relay.StartAttempt(command); });
  });
}

void TrafficWorker::CancelAttempt(RequestId request, int attempt) {
  impl_->loop().Post([this, request, attempt] {
    impl_->WithRelay(request,
                     [&](Relay& relay) { relay.CancelAttempt(attempt); });
  });
}

void TrafficWorker::ResumeAttempt(RequestId request, int attempt) {
  impl_->loop().Post([this, request, attempt] {
    impl_->WithRelay(request,
                     [&](Relay& relay) { relay.ResumeAttempt(attempt); });
  });
}

void TrafficWorker::FailRequest(RequestId request,
                                const Error& error,
                                Duration retry_after) {
  impl_->loop().Post([this, request, error, retry_after] {
    impl_->WithRelay(request,
                     [&](Relay& relay) { relay.Fail(error, retry_after); });
  });
}

void TrafficWorker::ReplayAnswer(RequestId request,
                                 std::shared_ptr<const StoredAnswer> answer) {
  impl_->loop().Post([this, request, answer] {
    impl_->WithRelay(request, [&](Relay& relay) { relay.Replay(*answer); });
  });
}

void TrafficWorker::CancelRequest(RequestId request) {
  impl_->loop().Post([this, request] { impl_->CancelRequest(request); });
}

void TrafficWorker::SendIdempotencyToken(RequestId request,
                                         const std::string& token) {
  impl_->loop().Post(
      [this, request, token] { impl_->SendIdempotencyToken(request, token); });
}

}  // namespace teaselhill::router
