/// \file
/// Guards against engines that fill the memory of a host with their reports.

#include "teaselhill/router/report_poller.h"

#include <catch2/catch.hpp>

#include "../net/raw_connection.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::router {

namespace {

class PaddingEngine : public net::HttpHandler {
 public:
  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    requests += request.path == "/v1/load";
    response->Respond(200, {},
                      R"({"running":1,"waiting":0,"max_batch":4})" +
                          std::string(padding, ' '));
  }

  size_t padding = 0;
  int requests = 0;
};

}  // namespace

TEST_CASE("a load report that exceeds its bound is not taken for a good one") {
  const size_t padding = GENERATE(size_t{60} << 10, size_t{64} << 10);
  CAPTURE(padding);
  net::EventLoop loop;
  PaddingEngine engine;
  engine.padding = padding;
  net::HttpServer server(loop, {}, engine);
  REQUIRE(server.Start().ok());
  net::HttpClient client(loop);
  routing::UpstreamTable table({"h", 1});
  int reports = 0;
  ReportPoller poller(
      client, loop.timers(), table, std::chrono::milliseconds(20), "",
      [&](const std::string&, const routing::LoadReport&) { ++reports; });
  poller.SetEngines(
      {{"e", "http://127.0.0.1:" + std::to_string(server.port())}});
  net::RunUntil(loop, [&] { return engine.requests >= 3; });
  CHECK((reports > 0) == (padding < size_t{64} << 10));
}

}  // namespace teaselhill::router
