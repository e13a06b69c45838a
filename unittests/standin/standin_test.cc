/// \file
/// Tests the stand-ins over HTTP: faults, cancellation and long polls.

#include "teaselhill/standin/standin.h"

#include <catch2/catch.hpp>
#include <optional>

#include "teaselhill/net/http_client.h"
#include "teaselhill/standin/engine.h"
#include "teaselhill/standin/log.h"
#include "teaselhill/standin/service.h"

namespace teaselhill::standin {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

template <typename Served>
struct Fixture {
  template <typename Options>
  explicit Fixture(const Options& options)
      : served(loop, options), server(loop, {}, served), client(loop) {
    REQUIRE(server.Start().ok());
  }

  net::ClientRequest Request(const std::string& method,
                             const std::string& path,
                             const std::string& body) {
    net::ClientRequest request;
    request.method = method;
    request.url = "http://127.0.0.1:" + std::to_string(server.port()) + path;
    request.headers = {{"X-Request-Id", "r1"}, {"Idempotency-Key", "k1"}};
    request.body = body;
    return request;
  }

  /// Returns the status, or 0 if no answer was received before `timeout`.
  int Fetch(net::ClientRequest request, Duration timeout = seconds(10)) {
    request.total_timeout = timeout;
    int status = 0;
    client.Fetch(std::move(request), [&](Result<net::ClientResponse> answer) {
      status = answer ? answer->status : 0;
      body = answer ? answer->body : "";
      loop.Stop();
    });
    loop.Run();
    return status;
  }

  int Fetch(const std::string& method,
            const std::string& path,
            const std::string& content = "",
            Duration timeout = seconds(10)) {
    return Fetch(Request(method, path, content), timeout);
  }

  bool JournalHas(const std::string& text) {
    REQUIRE(Fetch("GET", "/control/journal") == 200);
    return body.find(text) != std::string::npos;
  }

  net::EventLoop loop;
  Served served;
  net::HttpServer server;
  net::HttpClient client;
  std::string body;
};

const char kPrompt[] =
    R"({"model":"sheet-small","stream":true,"max_tokens":100000,
        "messages":[{"role":"user","content":"a long answer"}]})";

}  // namespace

TEST_CASE("each fault determines whether a request runs and is answered") {
  struct Row {
    const char* fault;
    const char* source;
    int status;
    bool runs;
  };
  const Row row =
      GENERATE(Row{R"({"kind":"clear"})", "", 200, true},
               Row{R"({"kind":"refuse"})", "", 503, false},
               Row{R"({"kind":"lose_answer"})", "", 0, true},
               Row{R"({"kind":"lose_answer","probability":0})", "", 200, true},
               Row{R"({"kind":"freeze","for_ms":60000})", "", 0, false},
               Row{R"({"kind":"freeze","for_ms":50})", "", 200, true},
               Row{R"({"kind":"cut_off","addresses":["127.0.1.9"]})",
                   "127.0.1.9", 0, false},
               Row{R"({"kind":"cut_off","addresses":["127.0.1.9"]})",
                   "127.0.1.8", 200, true});
  INFO(row.fault);
  ServiceOptions options;
  options.work_time = milliseconds(1);
  Fixture<Service> fixture(options);
  REQUIRE(fixture.Fetch("POST", "/control/fault", row.fault) == 200);
  net::ClientRequest request = fixture.Request("POST", "/x", "body");
  request.source_address = row.source;
  CHECK(fixture.Fetch(request, milliseconds(300)) == row.status);
  CHECK(fixture.JournalHas(R"("key":"k1")") == row.runs);
  REQUIRE(fixture.Fetch("POST", "/control/fault", R"({"kind":"clear"})") ==
          200);
  CHECK(fixture.Fetch("POST", "/x", "body") == 200);
}

TEST_CASE("a run that ends during a freeze is answered after the freeze") {
  ServiceOptions options;
  options.work_time = milliseconds(50);
  Fixture<Service> fixture(options);
  const auto freeze =
      fixture.loop.timers().After(milliseconds(20), [&](TimePoint) {
        fixture.client.Fetch(
            fixture.Request("POST", "/control/fault",
                            R"({"kind":"freeze","for_ms":300})"),
            [](Result<net::ClientResponse>) {});
      });
  const TimePoint start = SteadyNow();
  CHECK(fixture.Fetch("POST", "/x", "body") == 200);
  CHECK(SteadyNow() - start >= milliseconds(300));
}

TEST_CASE("malformed requests are rejected and do not run") {
  const auto [path, body] = GENERATE(table<const char*, const char*>({
      {"/v1/chat/completions", "{"},
      {"/v1/chat/completions", R"({"model":"sheet-small"})"},
      {"/v1/chat/completions", R"({"model":1,"messages":[]})"},
      {"/v1/orders", R"({"kind":"load_model","model":"m"})"},
      {"/v1/orders", R"({"kind":"paint","fencing":1})"},
      {"/v1/kv/x",
       R"({"request_id":"x","blocks":[{"prefix_hash":"zz","tokens":1}]})"},
      {"/control/fault", R"({"kind":"unheard"})"},
      {"/control/fault", R"({"kind":"slow","factor":0})"},
  }));
  INFO(path << " " << body);
  Fixture<Engine> fixture(EngineOptions{});
  CHECK(fixture.Fetch("POST", path, body) == 400);
  CHECK(fixture.JournalHas(R"("runs":[])"));
}

TEST_CASE("a run ends when it is cancelled or its caller disconnects") {
  const bool by_id = GENERATE(true, false);
  EngineOptions options;
  options.batch.token_time = seconds(1);
  Fixture<Engine> fixture(options);
  if (by_id) {
    const auto cancel =
        fixture.loop.timers().After(milliseconds(100), [&](TimePoint) {
          fixture.client.Fetch(
              fixture.Request("POST", "/v1/requests/r1/cancel", ""),
              [](Result<net::ClientResponse>) {});
        });
    CHECK(fixture.Fetch("POST", "/v1/chat/completions", kPrompt) == 499);
  } else {
    CHECK(fixture.Fetch("POST", "/v1/chat/completions", kPrompt,
                        milliseconds(100)) == 0);
  }
  // The first step after the connection was closed removes the run.
  const auto stop = fixture.loop.timers().After(
      milliseconds(50), [&](TimePoint) { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(fixture.JournalHas(R"("end":"cancelled")"));
}

TEST_CASE("a long poll returns after an append or its timeout") {
  const bool appended = GENERATE(true, false);
  Fixture<Log> fixture(LogOptions{});
  const auto append =
      fixture.loop.timers().After(milliseconds(30), [&](TimePoint) {
        if (!appended)
          return;
        fixture.client.Fetch(fixture.Request("POST", "/v1/streams/s/records",
                                             R"({"records":[{"x":1}]})"),
                             [](Result<net::ClientResponse>) {});
      });
  const int wait_ms = appended ? 8000 : 100;
  CHECK(fixture.Fetch(
            "GET",
            "/v1/streams/s/records?from=1&wait_ms=" + std::to_string(wait_ms),
            "", seconds(5)) == 200);
  CHECK((fixture.body.find(R"("data":{"x":1})") != std::string::npos) ==
        appended);
}

TEST_CASE("an append is applied even if its answer is lost") {
  Fixture<Log> fixture(LogOptions{});
  REQUIRE(fixture.Fetch("POST", "/control/fault",
                        R"({"kind":"lose_answer"})") == 200);
  CHECK(fixture.Fetch("POST", "/v1/streams/s/records", R"({"records":[7]})",
                      milliseconds(100)) == 0);
  REQUIRE(fixture.Fetch("POST", "/control/fault", R"({"kind":"clear"})") ==
          200);
  CHECK(fixture.Fetch("GET", "/v1/streams/s/records?from=1") == 200);
  CHECK(fixture.body.find(R"("data":7)") != std::string::npos);
}

}  // namespace teaselhill::standin
