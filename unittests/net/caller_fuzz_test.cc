/// \file
/// Seeded random callers. Guards against requests that are read wrong when they
/// arrive torn, pipelined or in chunks, and against requests smuggled inside
/// others by ambiguous framing.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "raw_connection.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::net {

using std::chrono::milliseconds;

namespace {

/// A complete request that must never be taken out of another one's body.
constexpr const char* kSmuggled =
    "\r\n\r\nPOST /smuggled HTTP/1.1\r\nHost: h\r\nX-Id: "
    "smuggled\r\nContent-Length: 0\r\n\r\n";

struct Sent {
  std::string id;
  std::string target;
  std::string body;
  std::string bytes;  ///< on the wire
};

/// Keeps what it was handed and answers with the id.
class RecordingHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    const std::string id(FindHeader(request.headers, "X-Id").value_or(""));
    for (const Header& header : request.headers)
      CHECK(header.value.find_first_of("\r\n") == std::string::npos);
    handled.push_back({id, request.target, request.body, ""});
    response->Respond(200, {}, "<" + id + ">");
  }

  std::vector<Sent> handled;
};

size_t Below(Rng& rng, size_t bound) {
  return std::min(bound - 1, static_cast<size_t>(rng.Uniform() *
                                                 static_cast<double>(bound)));
}

std::string RandomBody(Rng& rng) {
  std::string body;
  const size_t size = rng.Below(4) == 0 ? 0 : rng.Below(300);
  for (size_t i = 0; i < size; ++i)
    body.push_back(static_cast<char>(rng.Below(256)));
  if (rng.Below(3) == 0)
    body.insert(rng.Below(body.size() + 1), kSmuggled);
  return body;
}

std::string Chunked(const std::string& body, Rng& rng) {
  std::string text;
  for (size_t at = 0; at < body.size();) {
    const size_t size = 1 + rng.Below(body.size() - at);
    char length[32];
    std::snprintf(length, sizeof(length), rng.Below(2) ? "%zx" : "%zX", size);
    text += length;
    if (rng.Below(4) == 0)
      text += ";name=value";
    text += "\r\n" + body.substr(at, size) + "\r\n";
    at += size;
  }
  return text + "0\r\n\r\n";
}

std::string Frame(const Sent& request,
                  const std::string& framing,
                  const std::string& payload) {
  return "POST " + request.target +
         " HTTP/1.1\r\nHost: h\r\nX-Id: " + request.id + "\r\n" + framing +
         "\r\n" + payload;
}

Sent RandomRequest(const std::string& id, Rng& rng) {
  Sent request;
  request.id = id;
  request.target = "/p/" + std::to_string(rng.Below(1000));
  if (rng.Below(2))
    request.target += "?q=%2F" + std::to_string(rng.Below(10));
  request.body = RandomBody(rng);
  request.bytes =
      rng.Below(2)
          ? Frame(request, "Transfer-Encoding: chunked\r\n",
                  Chunked(request.body, rng))
          : Frame(request,
                  "Content-Length: " + std::to_string(request.body.size()) +
                      "\r\n",
                  request.body);
  return request;
}

/// Draws `count` requests and appends their bytes to `bytes`.
std::vector<Sent> RandomRequests(size_t count, Rng& rng, std::string* bytes) {
  std::vector<Sent> requests;
  for (size_t i = 0; i < count; ++i) {
    requests.push_back(RandomRequest("r" + std::to_string(i), rng));
    *bytes += requests.back().bytes;
  }
  return requests;
}

/// Sends the bytes in random pieces, some of them apart.
void SendTorn(RawConnection& caller,
              EventLoop& loop,
              const std::string& bytes,
              Rng& rng) {
  for (size_t at = 0; at < bytes.size();) {
    const size_t size = 1 + rng.Below(std::min<size_t>(bytes.size() - at, 90));
    caller.Send(bytes.substr(at, size));
    at += size;
    if (rng.Below(4) == 0) {
      const TimePoint until = loop.timers().Now() + milliseconds(1);
      RunUntil(loop, [&] { return loop.timers().Now() >= until; });
    }
  }
}

struct Fixture {
  Fixture() : server(loop, HttpServerOptions(), handler) {
    REQUIRE(server.Start().ok());
  }

  EventLoop loop;
  RecordingHandler handler;
  HttpServer server;
};

void CheckHandled(const std::vector<Sent>& handled,
                  const std::vector<Sent>& sent) {
  REQUIRE(handled.size() == sent.size());
  for (size_t i = 0; i < sent.size(); ++i) {
    CHECK(handled[i].id == sent[i].id);
    CHECK(handled[i].target == sent[i].target);
    CHECK(handled[i].body == sent[i].body);
  }
}

}  // namespace

TEST_CASE("torn and pipelined requests of any bytes are read as sent") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Rng rng(seed);
    Fixture fixture;
    RawConnection caller(fixture.loop, fixture.server.port());
    caller.Read();
    std::string bytes;
    const std::vector<Sent> sent =
        RandomRequests(1 + rng.Below(6), rng, &bytes);
    SendTorn(caller, fixture.loop, bytes, rng);
    RunUntil(fixture.loop, [&] {
      return caller.closed() || caller.Count("<" + sent.back().id + ">") == 1;
    });
    CheckHandled(fixture.handler.handled, sent);
    size_t place = 0;
    for (const Sent& request : sent) {
      const size_t found = caller.received().find("<" + request.id + ">");
      REQUIRE(found != std::string::npos);
      CHECK(found >= place);
      place = found;
    }
  }
}

// A line break inside a value would become a header of its own when the gateway
// passes the value on.
TEST_CASE("a folded header value reaches the handler without line breaks") {
  Fixture fixture;
  RawConnection caller(fixture.loop, fixture.server.port());
  caller.Read();
  const Sent request{"folded", "/p/1", "hello", ""};
  caller.Send(Frame(request,
                    "X-Folded: a\r\n X-Tenant: forged\r\nContent-Length: "
                    "5\r\n",
                    request.body));
  RunUntil(fixture.loop,
           [&] { return caller.closed() || caller.Count("<folded>") == 1; });
  CheckHandled(fixture.handler.handled, {request});
}

// A proxy and a server that read such a request differently see different
// requests behind it, so the gateway must refuse it.
TEST_CASE("ambiguous framing is refused and hides no request") {
  const std::string framing = GENERATE(
      as<std::string>(), "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n",
      "Content-Length: +5\r\n", "Content-Length: -5\r\n",
      "Content-Length: 0x5\r\n", "Content-Length: 5 5\r\n",
      "Content-Length: \r\n", "Content-Length: 99999999999999999999\r\n",
      "Content-Length : 5\r\n", "Transfer-Encoding: identity, chunked\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
      "Transfer-Encoding : chunked\r\n",
      "Transfer-Encoding:\x0b"
      "chunked\r\n");
  CAPTURE(framing);
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    Rng rng(seed);
    Fixture fixture;
    RawConnection caller(fixture.loop, fixture.server.port());
    caller.Read();
    std::string bytes;
    const std::vector<Sent> before = RandomRequests(rng.Below(3), rng, &bytes);
    Sent ambiguous{"ambiguous", "/p/1", "", ""};
    bytes += Frame(ambiguous, framing, std::string("0\r\n\r\n") + kSmuggled);
    SendTorn(caller, fixture.loop, bytes, rng);
    RunUntil(fixture.loop, [&] { return caller.closed(); });
    CheckHandled(fixture.handler.handled, before);
  }
}

}  // namespace teaselhill::net
