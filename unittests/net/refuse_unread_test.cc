/// \file
/// Guards a planned stop against requests that arrive slowly and end with their
/// connection without an answer.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "raw_connection.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

namespace {

using std::chrono::milliseconds;

constexpr const char* kGet = "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* kHeldGet = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* kPartOfHead = "POST /whole HTTP/1.1\r\nHo";
constexpr const char* kPartOfBody =
    "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\npart";
constexpr const char* kPartOfChunks =
    "POST /whole HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nfirst\r\n5\r\nse";

/// Answers at once but for /hold, which it keeps.
class HoldHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    ++requests;
    if (request.path == "/hold")
      held = std::move(response);
    else
      response->Respond(200, {}, "whole");
  }

  int requests = 0;
  std::shared_ptr<ResponseWriter> held;
};

struct Fixture {
  Fixture() : server(loop, {}, handler) { REQUIRE(server.Start().ok()); }

  void RunFor(milliseconds duration) {
    bool is_over = false;
    const auto timer =
        loop.timers().After(duration, [&](TimePoint) { is_over = true; });
    RunUntil(loop, [&] { return is_over; });
  }

  EventLoop loop;
  HoldHandler handler;
  HttpServer server;
};

}  // namespace

TEST_CASE("a request that has arrived in part is refused as not run") {
  const char* const part = GENERATE(kPartOfHead, kPartOfBody, kPartOfChunks);
  const bool is_later = GENERATE(false, true);
  INFO(part);
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  if (is_later) {
    caller.Send(kGet);
    RunUntil(fixture.loop, [&] { return caller.Count("whole") == 1; });
  }
  caller.Send(part);
  fixture.RunFor(milliseconds(50));
  fixture.server.RefuseUnread(ResultCode::kDraining);
  RunUntil(fixture.loop, [&] { return caller.closed(); });
  CHECK(caller.Count("HTTP/1.1 503") == 1);
  CHECK(caller.Count("Connection: close") == 1);
  CHECK(caller.Count("\"code\":2005") == 1);
  CHECK(caller.Count("\"outcome\":\"not-run\"") == 1);
  CHECK(fixture.handler.requests == (is_later ? 1 : 0));
}

TEST_CASE("only unread requests are refused, by each call again") {
  Fixture fixture;
  RawConnection idle(fixture.loop, fixture.server.port());
  RawConnection busy(fixture.loop, fixture.server.port());
  RawConnection late(fixture.loop, fixture.server.port());
  for (RawConnection* caller : {&idle, &busy, &late})
    caller->Read();
  busy.Send(std::string(kHeldGet) + kPartOfBody);
  RunUntil(fixture.loop, [&] { return fixture.handler.held != nullptr; });
  fixture.server.RefuseUnread(ResultCode::kDraining);
  fixture.RunFor(milliseconds(50));
  CHECK(idle.received().empty());
  CHECK(busy.received().empty());
  CHECK_FALSE(idle.closed());
  CHECK_FALSE(busy.closed());

  late.Send(kPartOfBody);
  idle.Send(kGet);
  RunUntil(fixture.loop, [&] { return idle.Count("whole") == 1; });
  fixture.RunFor(milliseconds(50));
  fixture.server.RefuseUnread(ResultCode::kDraining);
  RunUntil(fixture.loop, [&] { return late.closed(); });
  CHECK(late.Count("HTTP/1.1 503") == 1);
  CHECK_FALSE(idle.closed());

  fixture.handler.held->Respond(200, {}, "held");
  fixture.handler.held.reset();
  RunUntil(fixture.loop, [&] { return busy.Count("held") == 1; });
  busy.Send("s");
  fixture.RunFor(milliseconds(50));
  fixture.server.RefuseUnread(ResultCode::kDraining);
  RunUntil(fixture.loop, [&] { return busy.closed(); });
  CHECK(busy.Count("HTTP/1.1 200") == 1);
  CHECK(busy.Count("HTTP/1.1 503") == 1);
}

}  // namespace teaselhill::net
