/// \file
/// Tests flow control: a slow caller pauses its upstream and uses bounded
/// memory.

#include <malloc.h>

#include <catch2/catch.hpp>
#include <sstream>

#include "../net/raw_connection.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/router/relay.h"

namespace teaselhill::router {

namespace {

constexpr size_t kStreams = 40;
constexpr size_t kMaxBytesPerStream = 64 << 10;

class NoControl : public ControlPort {
 public:
  void OnArrived(RequestInfo) override {}
  void OnFirstToken(RequestId, int) override {}
  void OnProgress(std::vector<TokenProgress>) override {}
  void OnAttemptEnded(AttemptEnd,
                      std::shared_ptr<const StoredAnswer>) override {
    ++ended;
  }
  void OnCallerDisconnected(RequestId) override {}
  void OnIdempotencyTokenRequested(int,
                                   RequestId,
                                   const std::string&) override {}

  int ended = 0;
};

/// Sends an endless stream of token events from one shared buffer, so that a
/// connection uses no memory of its own.
class EndlessEngine {
 public:
  explicit EndlessEngine(net::EventLoop& loop)
      : acceptor_(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
    const std::string event =
        "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n";
    while (events_.size() < 16000)
      events_ += event;
    std::ostringstream size;
    size << std::hex << events_.size() << "\r\n";
    events_ = size.str() + events_ + "\r\n";
    Accept();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port());
  }

  uint64_t sent = 0;

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept() {
    auto socket =
        std::make_shared<asio::ip::tcp::socket>(acceptor_.get_executor());
    acceptor_.async_accept(*socket, [this, socket](const asio::error_code& e) {
      if (e)
        return;
      asio::async_write(*socket, asio::buffer(head_),
                        [this, socket](const asio::error_code& error, size_t) {
                          if (!error)
                            Flood(socket);
                        });
      Accept();
    });
  }

  void Flood(const Socket& socket) {
    asio::async_write(
        *socket, asio::buffer(events_),
        [this, socket](const asio::error_code& error, size_t size) {
          sent += size;
          if (!error)
            Flood(socket);
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string head_ =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  std::string events_;
};

/// Relays each request to the engine.
class RelayingHandler : public net::HttpHandler {
 public:
  RelayingHandler(const RelayContext& context, std::string url)
      : context_(context), url_(std::move(url)) {}

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    RequestInfo info;
    info.id = responses.size() + 1;
    info.external_id = "r" + std::to_string(info.id);
    info.model = "m";
    info.stream = true;
    AttemptCommand command;
    command.request = info.id;
    command.url = url_;
    relays.push_back(std::make_shared<Relay>(context_, info, OutgoingRequest{},
                                             response, false));
    relays.back()->StartAttempt(command);
    responses.push_back(std::move(response));
  }

  std::vector<std::shared_ptr<Relay>> relays;
  std::vector<std::shared_ptr<net::ResponseWriter>> responses;

 private:
  RelayContext context_;
  std::string url_;
};

}  // namespace

TEST_CASE("streams to slow callers are paused and memory is bounded") {
  net::EventLoop loop;
  net::HttpClient client(loop);
  NoControl control;
  EndlessEngine engine(loop);
  RelayContext context;
  context.client = &client;
  context.control = &control;
  RelayingHandler handler(context, engine.url());
  net::HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  const size_t before = mallinfo2().uordblks;
  std::vector<std::unique_ptr<net::RawConnection>> callers;
  for (size_t i = 0; i < kStreams; ++i) {
    callers.push_back(
        std::make_unique<net::RawConnection>(loop, server.port()));
    callers.back()->Send("GET / HTTP/1.1\r\n\r\n");
  }
  // The upstreams are paused once nothing was sent for a while.
  uint64_t last_sent = 0;
  TimePoint last_change = SteadyNow();
  size_t max_pending = 0;
  net::RunUntil(loop, [&] {
    for (const auto& response : handler.responses)
      max_pending = std::max(max_pending, response->pending_bytes());
    if (engine.sent != last_sent)
      last_change = SteadyNow();
    last_sent = engine.sent;
    return handler.responses.size() == kStreams && engine.sent > 0 &&
           SteadyNow() - last_change > std::chrono::milliseconds(300);
  });
  const size_t per_stream = (mallinfo2().uordblks - before) / kStreams;
  INFO(per_stream << " bytes a stream, maximum pending " << max_pending);

  CHECK(per_stream < kMaxBytesPerStream);
  CHECK(max_pending < kMaxBytesPerStream);
  CHECK(control.ended == 0);
  // The stream resumes when its caller reads.
  const uint64_t sent = engine.sent;
  callers[0]->Read();
  net::RunUntil(loop, [&] { return engine.sent > sent + (1 << 20); });
  for (const auto& relay : handler.relays)
    relay->Fail({ResultCode::kCallerGone, ""}, Duration::zero());
}

}  // namespace teaselhill::router
