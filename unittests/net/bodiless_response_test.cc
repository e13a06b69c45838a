/// \file
/// Guards against a body behind the head of a response that has none: a caller
/// reads it as the beginning of its next response.

#include <catch2/catch.hpp>
#include <string>

#include "raw_connection.h"
#include "teaselhill/net/error_response.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

namespace {

/// Answers with the status in the path; /s/STATUS as a stream.
class StatusHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    const bool is_stream = request.path.rfind("/s/", 0) == 0;
    const int status = std::stoi(request.path.substr(is_stream ? 3 : 1));
    if (!is_stream)
      return response->Respond(status, {{"X-Own", "1"}}, "<the body>");
    response->Start(status, {{"X-Own", "1"}});
    response->Write("<the body>");
    response->Finish();
  }
};

}  // namespace

TEST_CASE("a response without a body ends with its head") {
  struct Row {
    const char* method;
    const char* path;
    const char* status;
  };
  const Row row = GENERATE(values<Row>({
      {"HEAD", "/200", "200"},
      {"HEAD", "/s/200", "200"},
      {"HEAD", "/401", "401"},
      {"HEAD", "/404", "404"},
      {"HEAD", "/429", "429"},
      {"HEAD", "/502", "502"},
      {"HEAD", "/503", "503"},
      {"HEAD", "/504", "504"},
      {"GET", "/204", "204"},
      {"GET", "/s/204", "204"},
      {"GET", "/304", "304"},
  }));
  CAPTURE(row.method, row.path);
  EventLoop loop;
  StatusHandler handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send(std::string(row.method) + " " + row.path +
              " HTTP/1.1\r\nHost: h\r\n\r\n");
  caller.Send("GET /200 HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(loop, [&] { return caller.Count("<the body>") >= 1; });
  const std::string& text = caller.received();
  INFO(text);
  CHECK(text.rfind(std::string("HTTP/1.1 ") + row.status, 0) == 0);
  CHECK(caller.Count("X-Own: 1") == 2);
  // Directly behind the first head.
  const size_t head_end = text.find("\r\n\r\n") + 4;
  CHECK(text.compare(head_end, 12, "HTTP/1.1 200") == 0);
}

// The server's own refusals are written before a handler sees the request.
TEST_CASE("a refusal of a HEAD request has no body") {
  struct Row {
    const char* name;
    std::string lines;
    std::string status;
  };
  const Row row = GENERATE(values<Row>({
      {"upgrade", "Connection: Upgrade\r\nUpgrade: h2c\r\n", "400"},
      {"headers together",
       "A: " + std::string(900, 'x') + "\r\nB: " + std::string(900, 'x') +
           "\r\nC: " + std::string(900, 'x') + "\r\n",
       "431"},
      {"one header", "A: " + std::string(3000, 'x') + "\r\n", "431"},
      {"body", "Content-Length: 2000\r\n", "413"},
      {"pause", "A: ", "408"},
  }));
  INFO(row.name);
  HttpServerOptions options;
  options.max_header_bytes = 2000;
  options.max_body_bytes = 1000;
  options.read_timeout = std::chrono::milliseconds(200);
  EventLoop loop;
  StatusHandler handler;
  HttpServer server(loop, options, handler);
  REQUIRE(server.Start().ok());
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send("HEAD /200 HTTP/1.1\r\nHost: h\r\n" + row.lines +
              (row.status == "408" ? "" : "\r\n"));
  RunUntil(loop, [&] { return caller.closed(); });
  const std::string& text = caller.received();
  INFO(text);
  CHECK(text.rfind("HTTP/1.1 " + row.status, 0) == 0);
  CHECK(caller.Count("Connection: close\r\n") == 1);
  CHECK(text.find("\r\n\r\n") + 4 == text.size());
}

}  // namespace teaselhill::net
