/// \file
/// RESTinio adapter of the HTTP server.

#include "teaselhill/net/http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <restinio/all.hpp>
#include <set>
#include <unordered_map>

#include "caller_socket.h"
#include "restinio_request.h"
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

class ConnectionTable;

/// Tells the open responses of a connection that it has been closed.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<ConnectionTable> table)
      : table_(std::move(table)) {}
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept;

 private:
  std::shared_ptr<ConnectionTable> table_;
};

/// Errors of RESTinio end a connection without an answer and are told to its
/// logger only, so this is where the kind of a fault in the input is learnt.
class FaultLogger {
 public:
  FaultLogger(std::shared_ptr<ConnectionTable> table,
              std::shared_ptr<SocketPolicy> policy)
      : table_(std::move(table)), policy_(std::move(policy)) {}

  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    OnError(builder());
  }

 private:
  void OnError(const std::string& text) const;

  std::shared_ptr<ConnectionTable> table_;
  std::shared_ptr<SocketPolicy> policy_;
};

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

restinio::http_status_line_t StatusLine(int status) {
  static const std::unordered_map<int, const char*> reasons = {
      {200, "OK"},
      {202, "Accepted"},
      {204, "No Content"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {421, "Misdirected Request"},
      {409, "Conflict"},
      {410, "Gone"},
      {413, "Payload Too Large"},
      {422, "Unprocessable Entity"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"}};
  const auto reason = reasons.find(status);
  return {restinio::http_status_code_t(static_cast<uint16_t>(status)),
          reason == reasons.end() ? "Status" : reason->second};
}

/// Hop-by-hop headers belong to a connection and are set by RESTinio itself.
bool IsManagedByServer(std::string_view name) {
  return SameHeaderName(name, "Connection") ||
         SameHeaderName(name, "Keep-Alive") ||
         SameHeaderName(name, "Content-Length") ||
         SameHeaderName(name, "Transfer-Encoding");
}

class RestinioResponse : public ResponseWriter,
                         public std::enable_shared_from_this<RestinioResponse> {
 public:
  RestinioResponse(restinio::request_handle_t request,
                   std::weak_ptr<ConnectionTable> table,
                   std::shared_ptr<const bool> close_after_response)
      : request_(std::move(request)),
        connection_(request_->connection_id()),
        request_id_(request_->request_id()),
        raw_connection_(restinio::impl::access_req_connection(*request_)),
        table_(std::move(table)),
        close_after_response_(std::move(close_after_response)) {}
  ~RestinioResponse() override;

  void Respond(int status, Headers headers, std::string body) override {
    if (closed_ || ended_)
      return;
    auto response = request_->create_response(StatusLine(status));
    AddHeaders(response, headers);
    response.set_body(std::move(body));
    End();
    response.done(MarkSent());
    request_.reset();
  }

  void Start(int status, Headers headers) override {
    if (closed_ || ended_ || stream_)
      return;
    stream_.emplace(request_->create_response<restinio::chunked_output_t>(
        StatusLine(status)));
    AddHeaders(*stream_, headers);
    stream_->flush();
    request_.reset();
  }

  void Write(std::string data) override {
    if (closed_ || ended_ || data.empty())
      return;
    assert(stream_ && "Write() called before Start()");
    const size_t size = data.size();
    pending_bytes_ += size;
    stream_->append_chunk(std::move(data));
    stream_->flush(
        [self = shared_from_this(), size](const asio::error_code& error) {
          self->OnWritten(size, error);
        });
  }

  void Finish() override {
    if (closed_ || ended_ || !stream_)
      return;
    End();
    stream_->done(MarkSent());
    stream_.reset();
  }

  void Abort() override {
    if (closed_ || ended_)
      return;
    End();
    // A final part without the last chunk makes RESTinio close the connection
    // after what was flushed before.
    restinio::write_group_t nothing{restinio::writable_items_container_t{}};
    if (const auto connection = raw_connection_.lock())
      connection->write_response_parts(
          request_id_,
          {restinio::response_parts_attr_t::final_parts,
           restinio::response_connection_attr_t::connection_close},
          std::move(nothing));
    stream_.reset();
    request_.reset();
  }

  size_t pending_bytes() const override { return pending_bytes_; }

  /// Whether the connection has taken the whole response.
  bool sent() const { return sent_; }

  void SetCloseHandler(std::function<void()> handler) override {
    close_handler_ = std::move(handler);
  }

  void SetDrainHandler(std::function<void()> handler) override {
    drain_handler_ = std::move(handler);
  }

  void OnConnectionClosed() {
    if (closed_)
      return;
    closed_ = true;
    drain_handler_ = nullptr;
    const std::function<void()> handler = std::move(close_handler_);
    close_handler_ = nullptr;
    if (handler && !ended_)
      handler();
  }

 private:
  template <typename Builder>
  void AddHeaders(Builder& response, const Headers& headers) const {
    if (*close_after_response_)
      response.connection_close();
    for (const Header& header : headers) {
      if (!IsManagedByServer(header.name))
        response.append_header(header.name, header.value);
    }
  }

  void End() {
    ended_ = true;
    close_handler_ = nullptr;
    drain_handler_ = nullptr;
  }

  /// Returns a function that is called, and kept alive, until the end of the
  /// response has been written.
  std::function<void(const asio::error_code&)> MarkSent() {
    return [self = shared_from_this()](const asio::error_code&) {
      self->sent_ = true;
    };
  }

  void OnWritten(size_t size, const asio::error_code& error) {
    pending_bytes_ -= size;
    if (error || closed_)
      return;
    // The handler may replace itself or end the response.
    const std::function<void()> handler = drain_handler_;
    if (handler)
      handler();
  }

  restinio::request_handle_t request_;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
      stream_;
  restinio::connection_id_t connection_;
  restinio::request_id_t request_id_;
  std::weak_ptr<restinio::impl::connection_base_t> raw_connection_;
  std::weak_ptr<ConnectionTable> table_;
  std::shared_ptr<const bool> close_after_response_;
  std::function<void()> close_handler_;
  std::function<void()> drain_handler_;
  size_t pending_bytes_ = 0;
  bool closed_ = false;
  bool ended_ = false;
  bool sent_ = false;
};

/// Open responses by connection.
class ConnectionTable {
 public:
  void Add(restinio::connection_id_t connection,
           const std::shared_ptr<RestinioResponse>& response) {
    responses_.emplace(connection, response);
  }

  void Remove(restinio::connection_id_t connection,
              const RestinioResponse* response) {
    auto [entry, last] = responses_.equal_range(connection);
    while (entry != last) {
      const std::shared_ptr<RestinioResponse> other = entry->second.lock();
      if (!other || other.get() == response)
        entry = responses_.erase(entry);
      else
        ++entry;
    }
  }

  void OnOpened(restinio::connection_id_t connection,
                const restinio::endpoint_t& remote) {
    open_.emplace(connection, remote);
  }

  /// Peers of the connections that have no response in progress.
  std::set<restinio::endpoint_t> IdlePeers() const {
    std::set<restinio::endpoint_t> idle;
    for (const auto& [connection, remote] : open_) {
      if (!IsBusy(connection))
        idle.insert(remote);
    }
    return idle;
  }

  /// Whether the connection has a response that is not written whole.
  bool IsBusy(restinio::connection_id_t connection) const {
    const auto [first, last] = responses_.equal_range(connection);
    return std::any_of(first, last, [](const auto& entry) {
      const std::shared_ptr<RestinioResponse> response = entry.second.lock();
      return response && !response->sent();
    });
  }

  /// The connection ends with a refusal; what follows on it is not handled.
  void OnRefused(restinio::connection_id_t connection) {
    refused_.insert(connection);
  }
  bool IsRefused(restinio::connection_id_t connection) const {
    return refused_.count(connection) > 0;
  }

  bool HasUnsent() const {
    return std::any_of(responses_.begin(), responses_.end(),
                       [](const auto& entry) {
                         const std::shared_ptr<RestinioResponse> response =
                             entry.second.lock();
                         return response && !response->sent();
                       });
  }

  // Also called for a connection whose TLS handshake failed.
  void OnClosed(restinio::connection_id_t connection) {
    open_.erase(connection);
    refused_.erase(connection);
    std::vector<std::shared_ptr<RestinioResponse>> affected;
    const auto [first, last] = responses_.equal_range(connection);
    for (auto entry = first; entry != last; ++entry) {
      if (auto response = entry->second.lock())
        affected.push_back(std::move(response));
    }
    responses_.erase(first, last);
    for (const auto& response : affected)
      response->OnConnectionClosed();
  }

  size_t open() const { return open_.size(); }

 private:
  std::unordered_multimap<restinio::connection_id_t,
                          std::weak_ptr<RestinioResponse>>
      responses_;
  std::unordered_map<restinio::connection_id_t, restinio::endpoint_t> open_;
  std::set<restinio::connection_id_t> refused_;
};

ResultCode CodeOfParserError(std::string_view name) {
  const auto is = [name](std::string_view other) { return name == other; };
  if (is("HPE_CB_url") || is("HPE_CB_header_field") ||
      is("HPE_CB_header_value") || is("HPE_HEADER_OVERFLOW"))
    return ResultCode::kHeaderTooLarge;
  if (is("HPE_CB_headers_complete") || is("HPE_CB_body"))
    return ResultCode::kBodyTooLarge;
  return ResultCode::kMalformedRequest;
}

// The text is "[connection:7] parser error HPE_CB_body: ...".
void FaultLogger::OnError(const std::string& text) const {
  constexpr std::string_view kConnection = "[connection:";
  constexpr std::string_view kParserError = "] parser error ";
  restinio::connection_id_t connection = 0;
  const size_t parser_error = text.find(kParserError);
  if (text.compare(0, kConnection.size(), kConnection) == 0)
    std::from_chars(text.data() + kConnection.size(), text.data() + text.size(),
                    connection);
  if (parser_error != std::string::npos) {
    const size_t begin = parser_error + kParserError.size();
    policy_->fault = CodeOfParserError(
        std::string_view(text).substr(begin, text.find(':', begin) - begin));
  }
  // A refusal would run into the answer of an earlier request.
  if (table_->IsBusy(connection))
    policy_->fault.reset();
}

/// Returns a whole response that ends the connection.
std::string RefusalText(ResultCode code) {
  const Error error{code, ""};
  const std::string body = ErrorBody(error);
  const restinio::http_status_line_t line =
      StatusLine(Describe(code).http_status);
  std::string text =
      "HTTP/1.1 " + std::to_string(line.status_code().raw_code()) + " " +
      line.reason_phrase() + "\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n";
  for (const Header& header : ErrorHeaders(error, Duration::zero()))
    text += header.name + ": " + header.value + "\r\n";
  return text + "\r\n" + body;
}

RestinioResponse::~RestinioResponse() {
  if (const auto table = table_.lock())
    table->Remove(connection_, this);
}

void ConnectionListener::state_changed(
    const restinio::connection_state::notice_t& notice) noexcept {
  const auto cause = notice.cause();
  if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
          cause))
    table_->OnOpened(notice.connection_id(), notice.remote_endpoint());
  if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause))
    table_->OnClosed(notice.connection_id());
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop, HttpServerOptions options, HttpHandler& handler)
      : loop_(loop),
        options_(std::move(options)),
        handler_(handler),
        port_(options_.port),
        table_(std::make_shared<ConnectionTable>()),
        policy_(std::make_shared<SocketPolicy>()) {
    policy_->tls = options_.tls;
    policy_->handshake_timeout = options_.read_timeout;
    policy_->refusal = RefusalText;
    policy_->max_unanswered_bytes =
        kPipelinedRequests *
        (options_.max_body_bytes + options_.max_body_bytes / 4 +
         2 * options_.max_header_bytes);
  }

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
    // A request behind a refused one may have been read before the refusal was
    // written. Its caller would get no answer.
    if (table_->IsRefused(request->connection_id()))
      return Refuse(*request, {ResultCode::kMalformedRequest,
                               "the request before it was refused"});
    // RESTinio stops all of its timers for a connection that asks for an
    // upgrade.
    if (request->header().connection() ==
        restinio::http_connection_header_t::upgrade)
      return Refuse(*request, {ResultCode::kBadHeader,
                               "upgrade: other protocols are not supported"});
    if (const auto fault = FindAmbiguity(request->header()))
      return Refuse(*request, *fault);
    if (HeaderBytes(request->header()) > options_.max_header_bytes)
      return Refuse(*request, {ResultCode::kHeaderTooLarge,
                               "all headers together exceed the size limit"});
    auto response = std::make_shared<RestinioResponse>(request, table_,
                                                       close_after_response_);
    table_->Add(request->connection_id(), response);
    handler_.Handle(ToRequest(*request), std::move(response));
    return restinio::request_accepted();
  }

  restinio::request_handling_status_t Refuse(restinio::request_t& request,
                                             const Error& error) {
    table_->OnRefused(request.connection_id());
    auto response =
        request.create_response(StatusLine(Describe(error.code).http_status));
    for (const Header& header : ErrorHeaders(error, Duration::zero()))
      response.append_header(header.name, header.value);
    response.connection_close();
    response.set_body(ErrorBody(error));
    return response.done();
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

bool HttpServer::HasUnsentResponses() const {
  return impl_->HasUnsentResponses();
}

size_t HttpServer::open_connections() const {
  return impl_->open_connections();
}

}  // namespace teaselhill::net
