/// \file
/// Guards against a placement that waits forever for the report of an
/// unresponsive engine, and against a report request for each of many
/// concurrent placements.

#include "teaselhill/gateway/report_fetcher.h"

#include <catch2/catch.hpp>

#include "teaselhill/net/http_server.h"

namespace teaselhill::gateway {

namespace {

/// Protocol whose load report is the number of waiting requests, written as
/// text.
class TextReports : public UpstreamProtocol {
 public:
  net::ClientRequest BuildRequest(const net::HttpRequest&,
                                  const CallerRequest&,
                                  const AttemptContext&) const override {
    return {};
  }
  ResponseHead ReadHead(int,
                        const net::Headers&,
                        const CallerRequest&) const override {
    return {};
  }
  net::ClientRequest BuildReportRequest(
      const UpstreamEntry& upstream) const override {
    net::ClientRequest request;
    request.url = "http://" + upstream.address;
    return request;
  }
  Result<LoadReport> ReadReport(
      const net::ClientResponse& response) const override {
    return LoadReport{std::stoi(response.body), 0};
  }
  net::ClientRequest BuildHealthRequest(const UpstreamEntry&,
                                        const std::string&) const override {
    return {};
  }
  UpstreamIdentity ReadIdentity(const net::ClientResponse&) const override {
    return {};
  }
};

class Engine : public net::HttpHandler {
 public:
  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    ++report_requests;
    if (unresponsive)
      pending_response = response;
    else
      response->Respond(200, {}, "5" + padding);
  }

  std::string padding;

  int report_requests = 0;
  bool unresponsive = false;
  std::shared_ptr<net::ResponseWriter> pending_response;
};

}  // namespace

TEST_CASE(
    "concurrent placements share one report request and wait no longer than "
    "the limit") {
  net::EventLoop loop;
  Engine engine;
  engine.unresponsive = GENERATE(false, true);
  net::HttpServer server(loop, {}, engine);
  REQUIRE(server.Start().ok());
  net::HttpClient client(loop);
  TextReports protocol;
  UpstreamHealth health;
  ReportOptions options;
  // If a report is expected, the maximum wait is long enough for a busy
  // machine.
  if (!engine.unresponsive)
    options.max_wait = std::chrono::seconds(10);
  ReportFetcher reports(loop, client, protocol, health, options);
  UpstreamEntry upstream;
  upstream.id = "e";
  upstream.address = "127.0.0.1:" + std::to_string(server.port());
  int finished = 0;
  const auto on_finished = [&] {
    if (++finished == 3)
      loop.Stop();
  };
  for (int i = 0; i < 3; ++i)
    reports.RefreshReports({upstream}, on_finished);
  CHECK(finished == 0);
  loop.Run();
  CHECK(finished == 3);
  CHECK(engine.report_requests <= 1);
  CHECK(health.HasRecentReport("e", BootNow()) == !engine.unresponsive);
  if (!engine.unresponsive)
    CHECK(health.ExpectedDelay("e", BootNow()) ==
          5 * reports.options().queued_request_delay);
}

// A report whose beginning can be read but that does not end filled the memory
// of the host, and its placement relied on it.
TEST_CASE("a report that is too long is not read") {
  struct Row {
    size_t padding;
    bool is_read;
  };
  const Row row = GENERATE(values<Row>({{100, true}, {200'000, false}}));
  CAPTURE(row.padding);
  net::EventLoop loop;
  Engine engine;
  engine.padding = std::string(row.padding, ' ');
  net::HttpServer server(loop, {}, engine);
  REQUIRE(server.Start().ok());
  net::HttpClient client(loop);
  TextReports protocol;
  UpstreamHealth health;
  ReportOptions options;
  options.max_wait = std::chrono::seconds(10);
  ReportFetcher reports(loop, client, protocol, health, options);
  UpstreamEntry upstream;
  upstream.id = "e";
  upstream.address = "127.0.0.1:" + std::to_string(server.port());
  reports.RefreshReports({upstream}, [&] { loop.Stop(); });
  loop.Run();
  CHECK(health.HasRecentReport("e", BootNow()) == row.is_read);
}

}  // namespace teaselhill::gateway
