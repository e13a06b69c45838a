/// \file
/// Guards the server against callers that break the protocol or stall.

#include <catch2/catch.hpp>

#include "raw_connection.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

using std::chrono::milliseconds;

namespace {

constexpr size_t kMaxBody = 1000;
constexpr size_t kMaxHeader = 2000;

/// Answers with the body; keeps /hold open; writes /flood without end.
class EchoHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    ++requests;
    if (request.path == "/echo")
      return response->Respond(200, {}, "<" + request.body + ">");
    response->Start(200, {});
    response->SetCloseHandler([this] { ++closed; });
    held = std::move(response);
    if (request.path == "/flood")
      held->Write(std::string(16 << 20, 'x'));
  }

  std::shared_ptr<ResponseWriter> held;
  int requests = 0;
  int closed = 0;
};

HttpServerOptions SmallLimits() {
  HttpServerOptions options;
  options.max_body_bytes = kMaxBody;
  options.max_header_bytes = kMaxHeader;
  options.read_timeout = milliseconds(200);
  options.write_timeout = milliseconds(200);
  return options;
}

struct Fixture {
  explicit Fixture(HttpServerOptions options = SmallLimits())
      : server(loop, std::move(options), handler) {
    REQUIRE(server.Start().ok());
  }

  EventLoop loop;
  EchoHandler handler;
  HttpServer server;
};

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /echo HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

std::string Repeat(const std::string& text, size_t times) {
  std::string repeated;
  for (size_t i = 0; i < times; ++i)
    repeated += text;
  return repeated;
}

struct Refused {
  std::string what;
  std::string input;
  std::string status;
  int code;
};

}  // namespace

// Without an answer a caller cannot tell its own fault from a lost host, and
// sends the same request again.
TEST_CASE("input over a limit is refused with its number") {
  const auto refused = GENERATE(values<Refused>(
      {{"content length", Post("Content-Length: 1001\r\n", ""), "413", 1002},
       {"content length and body",
        Post("Content-Length: 300000\r\n", std::string(300000, 'x')), "413",
        1002},
       {"chunked body",
        Post("Transfer-Encoding: chunked\r\n",
             "3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n"),
        "413", 1002},
       {"tiny chunks",
        Post("Transfer-Encoding: chunked\r\n", Repeat("1\r\nx\r\n", 5000)),
        "413", 1002},
       {"one header", Post("X: " + std::string(2001, 'x') + "\r\n", ""), "431",
        1006},
       {"header name", Post(std::string(300, 'x') + ": x\r\n", ""), "431",
        1006},
       {"all headers",
        Post(Repeat("X-Some: " + std::string(200, 'x') + "\r\n", 12), ""),
        "431", 1006},
       {"header count", Post(Repeat("X: x\r\n", 101), ""), "431", 1006},
       {"path", "GET /" + std::string(2001, 'x') + " HTTP/1.1\r\n\r\n", "431",
        1006},
       {"no HTTP", "\x16\x03\x01 hello\r\n\r\n", "400", 1014},
       {"two lengths",
        Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "x"), "400",
        1014},
       {"chunk size", Post("Transfer-Encoding: chunked\r\n", "zz\r\n"), "400",
        1014},
       {"upgrade", Post("Connection: Upgrade\r\nUpgrade: h2c\r\n", ""), "400",
        1005}}));
  INFO(refused.what);
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  RawConnection other(fixture.loop, fixture.server.port());
  other.Read();
  other.Send("GET /hold HTTP/1.1\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.handler.held != nullptr; });
  caller.Read();
  caller.Send(refused.input);
  RunUntil(fixture.loop, [&] { return caller.closed(); });
  INFO(caller.received());
  CHECK(caller.received().substr(0, 13) == "HTTP/1.1 " + refused.status + " ");
  CHECK(caller.Count("X-Teaselhill-Outcome: not-run\r\n") == 1);
  CHECK(caller.Count("\"code\":" + std::to_string(refused.code) + ",") == 1);
  CHECK(caller.Count("HTTP/1.1") == 1);
  CHECK(fixture.handler.closed == 0);
  CHECK(fixture.handler.requests == 1);
  RunUntil(fixture.loop,
           [&] { return fixture.server.open_connections() == 1; });
}

// A refusal in the middle of a stream would be read as part of its answer.
TEST_CASE("faulty input behind a running answer closes without a refusal") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send("GET /hold HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
  RunUntil(fixture.loop, [&] { return caller.closed(); });
  CHECK(caller.Count("1014") == 0);
  CHECK(fixture.handler.closed == 1);
}

TEST_CASE("pipelined requests are answered in order") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send(Post("Content-Length: 1\r\n", "a") +
              Post("Content-Length: 1\r\n", "b") +
              Post("Content-Length: 1\r\n", "c"));
  RunUntil(fixture.loop, [&] { return caller.Count("<c>") == 1; });
  const std::string& text = caller.received();
  CHECK(text.find("<a>") < text.find("<b>"));
  CHECK(text.find("<b>") < text.find("<c>"));
}

// RESTinio reads on before it writes the last answer, so that a refusal took
// the place of an answer and told the caller that its request had not run.
TEST_CASE("a refusal never takes the place of a pipelined answer") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send(Post("Content-Length: 1\r\n", "a") +
              Post("Content-Length: 1\r\n", "b") +
              Post("Content-Length: 1\r\n", "c") + "nonsense\r\n\r\n");
  RunUntil(fixture.loop, [&] { return caller.closed(); });
  INFO(caller.received());
  const size_t answers = caller.Count("HTTP/1.1 200");
  CHECK((caller.Count("1014") == 0 || answers == 3));
}

// Each byte used to be able to extend the wait in servers that time single
// reads.
TEST_CASE("a request that trickles in ends within the read timeout") {
  const std::string start =
      GENERATE(as<std::string>(), "GET /echo HTTP/1.1\r\nX: ",
               "POST /echo HTTP/1.1\r\nContent-Length: 900\r\n\r\n");
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send(start);
  const auto trickle = fixture.loop.timers().Subscribe(
      milliseconds(20), [&](TimePoint) { caller.Send("x"); });
  RunUntil(
      fixture.loop, [&] { return caller.closed(); }, std::chrono::seconds(4));
  INFO(caller.received());
  CHECK(caller.received().substr(0, 13) == "HTTP/1.1 408 ");
  CHECK(caller.Count("\"code\":1007,") == 1);
  CHECK(fixture.handler.requests == 0);
}

TEST_CASE("idle connections close silently and cost no place afterwards") {
  HttpServerOptions options = SmallLimits();
  options.max_connections = 20;
  Fixture fixture(options);
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (int i = 0; i < 40; ++i) {
    idle.push_back(
        std::make_unique<RawConnection>(fixture.loop, fixture.server.port()));
    idle.back()->Read();
  }
  RawConnection late(fixture.loop, fixture.server.port());
  late.Read();
  late.Send("GET /echo HTTP/1.1\r\n\r\n");
  size_t most = 0;
  RunUntil(fixture.loop, [&] {
    most = std::max(most, fixture.server.open_connections());
    return late.Count("<>") == 1;
  });
  CHECK(most <= 20);
  for (const auto& connection : idle)
    CHECK(connection->received().empty());
}

TEST_CASE("a half-closed connection ends its answer at once") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send("GET /hold HTTP/1.1\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.handler.held != nullptr; });
  caller.ShutdownSend();
  RunUntil(fixture.loop, [&] { return caller.closed(); });
  CHECK(fixture.handler.closed == 1);
}

TEST_CASE("a caller that stops reading is cut off by the write timeout") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Send("GET /flood HTTP/1.1\r\n\r\n");
  RunUntil(
      fixture.loop, [&] { return fixture.handler.closed == 1; },
      std::chrono::seconds(4));
  CHECK(fixture.server.open_connections() == 0);
}

}  // namespace teaselhill::net
