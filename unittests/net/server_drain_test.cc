/// \file
/// Guards shutdown and broken answers: an answer that is cut short and looks
/// complete, and kept connections that outlive their host.

#include <catch2/catch.hpp>
#include <memory>

#include "raw_connection.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

namespace {

/// Streams one piece and leaves the rest to the test; /whole answers at once.
class PieceHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    target = request.target;
    if (request.path == "/whole")
      return response->Respond(200, {}, "whole");
    response->Start(200, {});
    response->Write("piece");
    open = std::move(response);
  }

  std::string target;
  std::shared_ptr<ResponseWriter> open;
};

struct Fixture {
  Fixture() : server(loop, {}, handler) { REQUIRE(server.Start().ok()); }

  bool Received(const RawConnection& caller, const std::string& text) const {
    return caller.received().find(text) != std::string::npos;
  }

  EventLoop loop;
  PieceHandler handler;
  HttpServer server;
};

/// Keeps all responses for the test.
class HoldHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    behind_unanswered.push_back(request.behind_unanswered);
    held.push_back(std::move(response));
  }

  std::vector<bool> behind_unanswered;
  std::vector<std::shared_ptr<ResponseWriter>> held;
};

struct ChunkedBody {
  std::string data;
  size_t chunks = 0;
};

/// Decodes the chunks that have arrived in full, but for the last one.
ChunkedBody DecodeChunks(const std::string& response) {
  ChunkedBody body;
  size_t at = response.find("\r\n\r\n") + 4;
  while (at < response.size()) {
    const size_t size = std::stoul(response.substr(at), nullptr, 16);
    at = response.find("\r\n", at) + 2;
    if (size == 0 || at + size > response.size())
      break;
    body.data += response.substr(at, size);
    ++body.chunks;
    at += size + 2;
  }
  return body;
}

constexpr const char* kLastChunk = "\r\n0\r\n";
constexpr const char* kGet = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";

}  // namespace

TEST_CASE("an aborted answer closes without the last chunk") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.Received(caller, "piece"); });
  const bool finished = GENERATE(false, true);
  if (finished)
    fixture.handler.open->Finish();
  else
    fixture.handler.open->Abort();
  RunUntil(fixture.loop, [&] {
    return finished ? fixture.Received(caller, kLastChunk) : caller.closed();
  });
  CHECK(fixture.Received(caller, kLastChunk) == finished);
}

// Each chunk is a write of its own. An answer of many small pieces held up the
// ends of this and other answers for seconds.
TEST_CASE("pieces that come faster than they are written share a chunk") {
  constexpr int kPieces = 10'000;
  constexpr size_t kMostChunks = 10;
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  caller.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.Received(caller, "piece"); });
  std::string expected = "piece";
  for (int i = 0; i < kPieces; ++i) {
    const std::string piece = std::to_string(i) + ";";
    fixture.handler.open->Write(piece);
    expected += piece;
  }
  const bool finished = GENERATE(false, true);
  if (finished)
    fixture.handler.open->Finish();
  else
    fixture.handler.open->Abort();
  RunUntil(fixture.loop, [&] {
    return finished ? fixture.Received(caller, kLastChunk) : caller.closed();
  });
  const ChunkedBody body = DecodeChunks(caller.received());
  CHECK(body.data == expected);
  CHECK(body.chunks <= kMostChunks);
}

TEST_CASE("idle connections are closed and busy ones are not") {
  Fixture fixture;
  RawConnection idle(fixture.loop, fixture.server.port());
  RawConnection busy(fixture.loop, fixture.server.port());
  idle.Read();
  busy.Read();
  idle.Send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
  busy.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop, [&] {
    return fixture.Received(idle, "whole") && fixture.Received(busy, "piece");
  });
  fixture.server.CloseIdle();
  RunUntil(fixture.loop, [&] { return idle.closed(); });
  CHECK_FALSE(busy.closed());
  fixture.handler.open->Finish();
  RunUntil(fixture.loop, [&] { return fixture.Received(busy, kLastChunk); });
}

TEST_CASE("each answer ends its connection once the server is told to") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  const bool draining = GENERATE(false, true);
  if (draining)
    fixture.server.CloseAfterResponses();
  caller.Send("GET /whole?a=%2F..&b HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop, [&] {
    return fixture.Received(caller, "whole") && (!draining || caller.closed());
  });
  CHECK(fixture.Received(caller, "Connection: close") == draining);
  CHECK(caller.closed() == draining);
  CHECK(fixture.handler.target == "/whole?a=%2F..&b");
}

// Guards against a request that is passed on though its answer would be lost
// with the one before it.
TEST_CASE("a request tells whether it stands behind an unanswered one") {
  EventLoop loop;
  HoldHandler handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send(std::string(kGet) + kGet);
  RunUntil(loop, [&] { return handler.held.size() == 2; });
  CHECK(handler.behind_unanswered == std::vector<bool>{false, true});
  for (const auto& response : handler.held)
    response->Respond(200, {}, "whole");
  RunUntil(loop, [&] { return !server.HasUnsentResponses(); });
  caller.Send(kGet);
  RunUntil(loop, [&] { return handler.held.size() == 3; });
  CHECK_FALSE(handler.behind_unanswered.back());
}

// Guards against a request that is run while the answer before it may still end
// the connection.
TEST_CASE("a response has its turn once those before it have been written") {
  EventLoop loop;
  HoldHandler handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send(std::string(kGet) + kGet);
  RunUntil(loop, [&] { return handler.held.size() == 2; });
  bool first_has_turn = false;
  bool second_has_turn = false;
  handler.held[0]->SetTurnHandler([&] { first_has_turn = true; });
  handler.held[1]->SetTurnHandler([&] { second_has_turn = true; });
  RunUntil(loop, [&] { return first_has_turn; });
  handler.held[0]->Start(200, {});
  handler.held[0]->Write("first");
  RunUntil(loop, [&] { return caller.Count("first") == 1; });
  CHECK_FALSE(second_has_turn);
  const bool is_cut = GENERATE(false, true);
  if (is_cut)
    handler.held[0]->Abort();
  else
    handler.held[0]->Finish();
  RunUntil(loop, [&] { return caller.closed() || second_has_turn; });
  CHECK(second_has_turn == !is_cut);
}

// Guards against a request that ran and gets no answer, because the answer
// before it ended the connection of a host that stops.
TEST_CASE("a drain answers all requests that a connection has passed on") {
  EventLoop loop;
  HoldHandler handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send(std::string(kGet) + kGet);
  RunUntil(loop, [&] { return handler.held.size() == 2; });
  const bool second_is_first = GENERATE(false, true);
  const bool is_stream = GENERATE(false, true);
  const auto answer = [&](size_t number) {
    const std::string body = "answer-" + std::to_string(number);
    if (!is_stream)
      return handler.held[number]->Respond(200, {}, body);
    handler.held[number]->Start(200, {});
    handler.held[number]->Write(body);
    handler.held[number]->Finish();
  };
  server.CloseAfterResponses();
  answer(second_is_first ? 1 : 0);
  answer(second_is_first ? 0 : 1);
  handler.held.clear();
  RunUntil(loop, [&] { return caller.closed(); });
  CHECK(caller.Count("answer-0") == 1);
  CHECK(caller.Count("answer-1") == 1);
  CHECK(caller.Count("Connection: close") == 1);
}

// Guards against a request that runs although its caller has been told that the
// connection ends before it.
TEST_CASE("a request behind an answer that ends the connection does not run") {
  EventLoop loop;
  HoldHandler handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  server.CloseAfterResponses();
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send(kGet);
  RunUntil(loop, [&] { return handler.held.size() == 1; });
  const bool aborted = GENERATE(false, true);
  handler.held[0]->Start(200, {});
  handler.held[0]->Write("one");
  RunUntil(loop, [&] { return caller.Count("one") == 1; });
  caller.Send(kGet);
  handler.held[0]->Write("two");
  RunUntil(loop, [&] { return caller.Count("two") == 1; });
  if (aborted)
    handler.held[0]->Abort();
  else
    handler.held[0]->Finish();
  RunUntil(loop, [&] { return caller.closed(); });
  CHECK(handler.held.size() == 1);
  CHECK(caller.Count("HTTP/1.1") == 1);
}

// Guards the end of a host that stops when its last answer is over: the caller
// of an answer whose last bytes are still queued would lose them.
TEST_CASE("an answer counts as unsent until the system has taken all of it") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.handler.open != nullptr; });
  // More than the socket buffers of both sides hold.
  const std::string large(16 << 20, 'x');
  fixture.handler.open->Write(large);
  fixture.handler.open->Finish();
  fixture.handler.open.reset();
  RunUntil(fixture.loop, [&] { return true; });
  CHECK(fixture.server.HasUnsentResponses());
  caller.Read();
  RunUntil(fixture.loop, [&] { return fixture.Received(caller, kLastChunk); });
  RunUntil(fixture.loop, [&] { return !fixture.server.HasUnsentResponses(); });
}

}  // namespace teaselhill::net
