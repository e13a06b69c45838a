/// \file
/// A gateway between a caller and upstreams whose bytes a test decides.

#ifndef TEASELHILL_UNITTESTS_PLATFORM_GATEWAY_FIXTURE_H_
#define TEASELHILL_UNITTESTS_PLATFORM_GATEWAY_FIXTURE_H_

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/http_protocol.h"
#include "teaselhill/gateway/gateway.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/support/logger.h"

namespace platform {

namespace gateway = teaselhill::gateway;
namespace net = teaselhill::net;

constexpr char kRequestId[] = "a1";
constexpr char kRouteHost[] = "h.example";
constexpr char kDomain[] = "d1";
constexpr char kTeamKey[] = "key";

/// Bytes of an answer after a pause; an empty text after a pause closes the
/// connection.
struct AnswerPiece {
  std::chrono::milliseconds pause{};
  std::string bytes;
};
using AnswerScript = std::vector<AnswerPiece>;

/// Lines by which a host that serves a forwarded request tells what it sent.
constexpr char kRelayedLines[] =
    "X-Teaselhill-Service: service\r\n"
    "X-Teaselhill-Version: v1\r\n"
    "X-Teaselhill-Runs: 1\r\n";

/// Head lines of an answer to the fixture's request, up to the empty line.
inline std::string AnswerHead(const std::string& status,
                              const std::string& further_lines) {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + kRequestId +
         "\r\nX-Server-Seal: s\r\n" + further_lines + "\r\n";
}

inline std::string StreamHead(const std::string& further_lines = "") {
  return AnswerHead("200 OK", further_lines +
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n");
}

inline std::string EventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

inline std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

constexpr char kLastChunk[] = "0\r\n\r\n";

/// Answers its requests by one script after the other, the last one again and
/// again. Answers health checks, unless it is told not to.
class ScriptedUpstream {
 public:
  ScriptedUpstream(net::EventLoop& loop,
                   std::string id,
                   std::vector<AnswerScript> scripts,
                   bool answers_health_checks = true)
      : id_(std::move(id)),
        scripts_(std::move(scripts)),
        answers_health_checks_(answers_health_checks),
        acceptor_(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  const std::string& id() const { return id_; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Heads of the requests, without health checks.
  const std::vector<std::string>& requests() const { return requests_; }
  int health_checks() const { return health_checks_; }
  /// When the last request came.
  std::optional<teaselhill::TimePoint> requested_at() const {
    return requested_at_;
  }
  /// When the connection of a request last ended that was held open.
  std::optional<teaselhill::TimePoint> closed_at() const { return closed_at_; }

 private:
  struct Connection {
    explicit Connection(asio::io_context& context)
        : socket(context), timer(context) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string request;
    AnswerScript script;
    size_t next_piece = 0;
  };

  static bool IsHealthCheck(const Connection& connection) {
    return connection.request.rfind("GET /healthz ", 0) == 0;
  }

  void Accept() {
    const auto connection = std::make_shared<Connection>(
        static_cast<asio::io_context&>(acceptor_.get_executor().context()));
    acceptor_.async_accept(connection->socket,
                           [this, connection](const asio::error_code& error) {
                             if (error)
                               return;
                             Read(connection);
                             Accept();
                           });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->request),
        "\r\n\r\n", [this, connection](const asio::error_code& error, size_t) {
          if (!error)
            Answer(connection);
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    if (IsHealthCheck(*connection)) {
      ++health_checks_;
      if (answers_health_checks_)
        connection->script = {{{},
                               "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ +
                                   "\r\nContent-Length: 0\r\n\r\n"}};
      return Continue(connection);
    }
    const size_t number = std::min(requests_.size(), scripts_.size() - 1);
    requests_.push_back(connection->request);
    requested_at_ = teaselhill::BootNow();
    connection->script = scripts_[number];
    Continue(connection);
  }

  void Continue(const std::shared_ptr<Connection>& connection) {
    if (connection->next_piece == connection->script.size())
      return Hold(connection);
    const AnswerPiece& piece = connection->script[connection->next_piece++];
    connection->timer.expires_after(piece.pause);
    connection->timer.async_wait(
        [this, connection, bytes = piece.bytes](asio::error_code) {
          if (bytes.empty())
            return connection->socket.close();
          const auto kept = std::make_shared<std::string>(bytes);
          asio::async_write(
              connection->socket, asio::buffer(*kept),
              [this, connection, kept](const asio::error_code& error, size_t) {
                if (!error)
                  Continue(connection);
              });
        });
  }

  /// Keeps the connection open until the other side closes it.
  void Hold(const std::shared_ptr<Connection>& connection) {
    asio::async_read(connection->socket,
                     asio::dynamic_buffer(connection->request),
                     [this, connection](const asio::error_code& error, size_t) {
                       if (error != asio::error::operation_aborted &&
                           !IsHealthCheck(*connection))
                         closed_at_ = teaselhill::BootNow();
                     });
  }

  std::string id_;
  std::vector<AnswerScript> scripts_;
  bool answers_health_checks_;
  std::vector<std::string> requests_;
  int health_checks_ = 0;
  std::optional<teaselhill::TimePoint> requested_at_;
  std::optional<teaselhill::TimePoint> closed_at_;
  asio::ip::tcp::acceptor acceptor_;
};

/// A port that refuses connections. It stays bound, since the system gives a
/// free port to the next listener, of this test or of another process.
class RefusingPort {
 public:
  explicit RefusingPort(net::EventLoop& loop)
      : socket_(loop.context(), asio::ip::tcp::v4()) {
    socket_.bind({asio::ip::make_address("127.0.0.1"), 0});
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(socket_.local_endpoint().port());
  }

 private:
  asio::ip::tcp::socket socket_;
};

/// What the caller of the request has got.
struct ReceivedAnswer {
  int status = 0;
  std::string body;
  bool complete = false;
  bool aborted = false;

  bool has_ended() const { return complete || aborted; }
};

class RecordingWriter : public net::ResponseWriter {
 public:
  explicit RecordingWriter(ReceivedAnswer* answer) : answer_(*answer) {}

  void Respond(int status, net::Headers, std::string body) override {
    answer_.status = status;
    answer_.body = std::move(body);
    answer_.complete = true;
  }
  void Start(int status, net::Headers) override { answer_.status = status; }
  void Write(std::string data) override { answer_.body += data; }
  void Finish() override { answer_.complete = true; }
  void Abort() override { answer_.aborted = true; }
  size_t pending_bytes() const override { return 0; }
  void SetCloseHandler(std::function<void()> handler) override {
    on_closed_ = std::move(handler);
  }
  void SetDrainHandler(std::function<void()>) override {}
  void SetTurnHandler(std::function<void()> handler) override {
    on_turn_ = std::move(handler);
  }

  /// The answers before this one have been written.
  void GiveTurn() {
    if (const auto handler = std::exchange(on_turn_, nullptr))
      handler();
  }

  /// The caller closes its connection.
  void Close() {
    if (on_closed_)
      on_closed_();
  }

 private:
  ReceivedAnswer& answer_;
  std::function<void()> on_closed_;
  std::function<void()> on_turn_;
};

/// A route of streams that may go on at another upstream. `target`: until the
/// first event, and between two.
inline gateway::Route ResumableRoute(std::chrono::milliseconds target) {
  gateway::Route route;
  route.kind = gateway::RouteKind::kStream;
  route.resumable = true;
  route.anonymous = true;
  route.timeout = std::chrono::seconds(4);
  route.answer_target = target;
  route.event_gap_target = target;
  route.max_attempts = 3;
  return route;
}

/// Keeps the log of a gateway.
class RecordingLogger : public teaselhill::Logger {
 public:
  void Write(const teaselhill::LogLine& line) override {
    text += line.Finish() + "\n";
  }
  std::string text;
};

/// The first upstream that is added is preferred: the others are in another
/// failure domain.
class GatewayFixture {
 public:
  explicit GatewayFixture(gateway::Route route,
                          gateway::GatewayOptions options = {})
      : log_(logger_), route_(std::move(route)) {
    options.host = "host";
    options.placement.own_domain = kDomain;
    gateway_ = std::make_unique<gateway::Gateway>(
        loop_, std::move(options), callers_, upstream_headers_, shared_state_,
        log_, metrics_);
    gateway_->SetFleetPosition({/*index=*/0, /*hosts=*/1});
    route_.name = "route";
    route_.host = kRouteHost;
    route_.path_prefix = "/";
    if (route_.services.empty())
      route_.services = {{"service"}};
    gateway::RouteConfig config;
    config.version = 1;
    config.routes = {route_};
    config.services = {{"service", /*is_engine=*/false, "/healthz"}};
    config.teams = {{"team", {kTeamKey}, std::nullopt}};
    shared_state_.SetRoutes(
        std::make_shared<gateway::RouteTable>(std::move(config)));
  }

  ScriptedUpstream& AddUpstream(std::vector<AnswerScript> scripts,
                                bool answers_health_checks = true) {
    upstreams_.push_back(std::make_unique<ScriptedUpstream>(
        loop_, NextId(), std::move(scripts), answers_health_checks));
    AddEntry(upstreams_.back()->address());
    return *upstreams_.back();
  }

  /// Adds an upstream whose address refuses connections.
  void AddUnreachableUpstream() {
    refusing_ports_.push_back(std::make_unique<RefusingPort>(loop_));
    AddEntry(refusing_ports_.back()->address());
  }

  /// Upstreams that are added from now on have a start time in their entries.
  void SetStartTime(uint64_t start_time) { start_time_ = start_time; }

  /// Upstreams that are added from now on have another software version.
  void SetVersion(std::string version) { version_ = std::move(version); }

  /// Upstreams that are added from now on are in this failure domain.
  void SetDomain(std::string domain) { domain_ = std::move(domain); }

  /// Adds an upstream that runs elsewhere.
  void AddUpstreamAt(const std::string& address) { AddEntry(address); }

  /// Of the last request.
  RecordingWriter& writer() { return *writer_; }
  const std::string& log() const { return logger_.text; }
  gateway::Gateway& gateway() { return *gateway_; }
  net::EventLoop& loop() { return loop_; }

  /// Another host could not connect to any upstream.
  void ReportAllUnreachable() {
    gateway::UpstreamObservations observations;
    for (const gateway::UpstreamEntry& entry : entries_)
      observations.unreachable.push_back({entry.id, entry.incarnation});
    gateway_->OnUpstreamObservations(observations);
  }

  /// Adds a host for each script, which serve requests while this one reaches
  /// no upstream. The host that is asked first answers by the first script.
  ScriptedUpstream& AddPeers(const std::vector<AnswerScript>& scripts) {
    peers_ = std::make_unique<ScriptedUpstream>(loop_, "peers", scripts);
    for (size_t i = 0; i < scripts.size(); ++i) {
      gateway::HostRecord record;
      record.host = "p" + std::to_string(i);
      record.relay_address = peers_->address();
      gateway_->relay_peers().OnHosts({record});
    }
    return *peers_;
  }

  /// Starts a request that Send() plays beside its own.
  void Begin(const std::string& path,
             ReceivedAnswer* answer,
             std::chrono::milliseconds deadline = std::chrono::seconds(4),
             net::Headers further = {},
             bool behind_unanswered = false) {
    net::HttpRequest request;
    request.behind_unanswered = behind_unanswered;
    request.method = "GET";
    request.target = request.path = path;
    request.headers = {{"Host", kRouteHost},
                       {"X-Attempt-Id", kRequestId},
                       {"X-Deadline-Ms", std::to_string(deadline.count())}};
    for (net::Header& header : further)
      request.headers.push_back(std::move(header));
    writer_ = std::make_shared<RecordingWriter>(answer);
    gateway_->Handle(std::move(request), writer_);
  }

  /// Sends a request and returns what has come once it has ended.
  ReceivedAnswer Send(
      std::chrono::milliseconds deadline = std::chrono::seconds(4),
      net::Headers further = {}) {
    ReceivedAnswer answer;
    Begin("/x", &answer, deadline, std::move(further));
    const auto poll = loop_.timers().Subscribe(std::chrono::milliseconds(1),
                                               [&](teaselhill::TimePoint) {
                                                 if (answer.has_ended())
                                                   loop_.Stop();
                                               });
    const auto limit = loop_.timers().After(
        2 * deadline, [&](teaselhill::TimePoint) { loop_.Stop(); });
    loop_.Run();
    return answer;
  }

 private:
  std::string NextId() const {
    return "u" + std::to_string(entries_.size() + 1);
  }

  void AddEntry(const std::string& address) {
    gateway::UpstreamEntry entry;
    entry.id = NextId();
    entry.service = "service";
    entry.address = address;
    entry.domain = entries_.empty() ? kDomain : domain_;
    entry.slots = 8;
    entry.version = version_;
    entry.incarnation = start_time_;
    entries_.push_back(entry);
    auto list = std::make_shared<gateway::UpstreamList>();
    list->by_service["service"] = entries_;
    shared_state_.SetUpstreams(std::move(list));
    shared_state_.SetUpstreamsReadAt(teaselhill::BootNow());
  }

  net::EventLoop loop_;
  RecordingLogger logger_;
  gateway::EventLog log_;
  teaselhill::Metrics metrics_;
  CallerHeaders callers_;
  UpstreamHeaders upstream_headers_;
  gateway::SharedState shared_state_;
  gateway::Route route_;
  std::vector<gateway::UpstreamEntry> entries_;
  uint64_t start_time_ = 0;
  std::string version_ = "v1";
  std::shared_ptr<RecordingWriter> writer_;
  std::string domain_ = "d2";
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
  std::vector<std::unique_ptr<RefusingPort>> refusing_ports_;
  std::unique_ptr<ScriptedUpstream> peers_;
  std::unique_ptr<gateway::Gateway> gateway_;
};

}  // namespace platform

#endif  // TEASELHILL_UNITTESTS_PLATFORM_GATEWAY_FIXTURE_H_
