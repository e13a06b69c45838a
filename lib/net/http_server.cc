/// \file
/// RESTinio adapter of the HTTP server.

#include "teaselhill/net/http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <restinio/all.hpp>
#include <set>

#include "caller_socket.h"
#include "connection_table.h"
#include "request_fault.h"
#include "restinio_request.h"
#include "restinio_response.h"
#include "teaselhill/net/error_response.h"

namespace teaselhill::net {

namespace {

/// The router's own deadlines (24 h at most) end an answer, not RESTinio: the
/// socket could not tell this timeout from that of a request that trickles in,
/// and would say "not run" of a request that is running.
constexpr std::chrono::hours kHandlingTimeout{24 * 365};

/// With a second request allowed in the pipeline RESTinio keeps reading while
/// the first is handled, and so notices that the caller has disconnected.
constexpr size_t kPipelinedRequests = 2;

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                         FaultLogger,
                                         restinio::default_request_handler_t,
                                         restinio::noop_strand_t,
                                         CallerSocket> {
  using connection_state_listener_t = ConnectionListener;
  // RESTinio looks this name up.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop, HttpServerOptions options, HttpHandler& handler)
      : loop_(loop),
        options_(std::move(options)),
        handler_(handler),
        port_(options_.port),
        table_(std::make_shared<ConnectionTable>(
            [&loop](std::function<void()> function) {
              loop.Post(std::move(function));
            })),
        policy_(std::make_shared<SocketPolicy>()) {
    policy_->tls = options_.tls;
    policy_->handshake_timeout = options_.read_timeout;
    policy_->refusal = RefusalText;
    policy_->owes_answer = [table =
                                table_](const restinio::endpoint_t& remote) {
      return table->IsPeerBusy(remote);
    };
    policy_->max_unanswered_bytes =
        kPipelinedRequests *
        (options_.max_body_bytes + options_.max_body_bytes / 4 +
         2 * options_.max_header_bytes);
    if (options_.memory_budget)
      policy_->read_gate =
          std::make_shared<ReadGate>(*options_.memory_budget, loop_.timers());
  }

  ~Impl() {
    // Connections may outlive the server, the budget and the timers.
    if (policy_->read_gate)
      policy_->read_gate->Close();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Status Start() {
    try {
      server_ = std::make_unique<RestinioServer>(
          restinio::external_io_context(loop_.context()),
          [this](auto& settings) { Configure(settings); });
      server_->open_sync();
    } catch (const std::exception& failure) {
      server_.reset();
      return {ResultCode::kBindFailed, "cannot listen on " + options_.address +
                                           ":" + std::to_string(options_.port) +
                                           ": " + failure.what()};
    }
    return Ok{};
  }

  void Stop() {
    if (server_)
      server_->close_sync();
  }

  void CloseAfterResponses() { *close_after_response_ = true; }

  void CloseIdle() {
    const std::set<restinio::endpoint_t> idle = table_->IdlePeers();
    policy_->channels.ForEach([&idle](Channel& channel) {
      asio::error_code error;
      const auto remote = channel.tcp.remote_endpoint(error);
      // Part of a request may have arrived.
      if (!error && channel.unanswered_bytes == 0 && idle.count(remote) > 0)
        channel.tcp.close(error);
    });
  }

  void RefuseUnread(ResultCode code) {
    const std::set<restinio::endpoint_t> idle = table_->IdlePeers();
    policy_->channels.ForEach([&idle, code](Channel& channel) {
      asio::error_code error;
      const auto remote = channel.tcp.remote_endpoint(error);
      if (!error && channel.unanswered_bytes > 0 && idle.count(remote) > 0)
        channel.Refuse(code);
    });
  }

  bool HasUnsentResponses() const { return table_->HasUnsent(); }

  uint16_t port() const { return port_; }
  size_t open_connections() const { return table_->open(); }

 private:
  void Configure(restinio::server_settings_t<ServerTraits>& settings) {
    settings.socket_policy = policy_;
    settings.address(options_.address)
        .port(options_.port)
        .acceptor_options_setter([this](auto& acceptor) {
          acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          if (options_.share_port)
            acceptor.set_option(ReusePort(true));
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          port_ = acceptor.local_endpoint().port();
        })
        .socket_options_setter([](auto& socket) {
          socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .logger(table_, policy_)
        .max_parallel_connections(options_.max_connections)
        .connection_state_listener(std::make_shared<ConnectionListener>(table_))
        .max_pipelined_requests(kPipelinedRequests)
        .concurrent_accepts_count(4)
        .read_next_http_message_timelimit(options_.read_timeout)
        .write_http_response_timelimit(options_.write_timeout)
        .handle_request_timeout(kHandlingTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(options_.max_header_bytes)
                .max_field_name_size(256)
                .max_field_value_size(options_.max_header_bytes)
                .max_field_count(100)
                .max_body_size(options_.max_body_bytes))
        .request_handler([this](restinio::request_handle_t request) {
          return Handle(std::move(request));
        });
  }

  restinio::request_handling_status_t Handle(
      restinio::request_handle_t request) {
    std::unique_ptr<ReadGate::HeldRequest> held;
    if (policy_->read_gate)
      held = policy_->read_gate->OnRequestComplete(
          HeaderBytes(request->header()) + request->body().size());
    // A request behind the last answer of a connection may have been read
    // before that answer was written. Its caller would get none.
    if (table_->IsClosing(request->connection_id()))
      return Refuse(std::move(request),
                    {ResultCode::kMalformedRequest,
                     "the connection ends with the answer before it"});
    // RESTinio stops all of its timers for a connection that asks for an
    // upgrade.
    if (request->header().connection() ==
        restinio::http_connection_header_t::upgrade)
      return Refuse(std::move(request),
                    {ResultCode::kBadHeader,
                     "upgrade: other protocols are not supported"});
    if (const auto fault = FindAmbiguity(request->header()))
      return Refuse(std::move(request), *fault);
    if (HeaderBytes(request->header()) > options_.max_header_bytes)
      return Refuse(std::move(request),
                    {ResultCode::kHeaderTooLarge,
                     "all headers together exceed the size limit"});
    auto response = std::make_shared<RestinioResponse>(request, table_,
                                                       close_after_response_);
    HttpRequest received = ToRequest(*request);
    received.behind_unanswered = table_->IsBusy(request->connection_id());
    if (held)
      response->UseBudget(*options_.memory_budget, std::move(held), policy_);
    table_->Add(request->connection_id(), response);
    handler_.Handle(std::move(received), std::move(response));
    return restinio::request_accepted();
  }

  /// The connection ends with the refusal.
  restinio::request_handling_status_t Refuse(restinio::request_handle_t request,
                                             const Error& error) {
    std::make_shared<RestinioResponse>(std::move(request), table_,
                                       std::make_shared<const bool>(true))
        ->Respond(Describe(error.code).http_status,
                  ErrorHeaders(error, Duration::zero()), ErrorBody(error));
    return restinio::request_accepted();
  }

  EventLoop& loop_;
  HttpServerOptions options_;
  HttpHandler& handler_;
  uint16_t port_;
  std::shared_ptr<ConnectionTable> table_;
  std::shared_ptr<SocketPolicy> policy_;
  std::shared_ptr<bool> close_after_response_ = std::make_shared<bool>(false);
  std::unique_ptr<RestinioServer> server_;
};

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerOptions options,
                       HttpHandler& handler)
    : impl_(std::make_unique<Impl>(loop, std::move(options), handler)) {}

HttpServer::~HttpServer() = default;

Status HttpServer::Start() {
  return impl_->Start();
}

uint16_t HttpServer::port() const {
  return impl_->port();
}

void HttpServer::Stop() {
  impl_->Stop();
}

void HttpServer::CloseAfterResponses() {
  impl_->CloseAfterResponses();
}

void HttpServer::CloseIdle() {
  impl_->CloseIdle();
}

void HttpServer::RefuseUnread(ResultCode code) {
  impl_->RefuseUnread(code);
}

bool HttpServer::HasUnsentResponses() const {
  return impl_->HasUnsentResponses();
}

size_t HttpServer::open_connections() const {
  return impl_->open_connections();
}

}  // namespace teaselhill::net
