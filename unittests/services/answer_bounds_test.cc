/// \file
/// Guards against platform services that fill the memory of a host, and against
/// an answer that is taken for a good one though it exceeds its bound.

#include <catch2/catch.hpp>

#include "../net/raw_connection.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/services/host_list_client.h"
#include "teaselhill/services/log_client.h"
#include "teaselhill/services/weight_store_client.h"

namespace teaselhill::services {

namespace {

/// Answers each request with a valid body to which spaces are appended.
class PaddingService : public net::HttpHandler {
 public:
  void Handle(net::HttpRequest,
              std::shared_ptr<net::ResponseWriter> response) override {
    response->Respond(200, {}, body + std::string(padding, ' '));
  }

  std::string body;
  size_t padding = 0;
};

struct Fixture {
  Fixture() : server(loop, {}, service), client(loop) {
    REQUIRE(server.Start().ok());
    url = "http://127.0.0.1:" + std::to_string(server.port());
  }

  net::EventLoop loop;
  Rng rng{1};
  PaddingService service;
  net::HttpServer server;
  net::HttpClient client;
  std::string url;
};

/// Code of the answer that a client takes; kOk for a good one.
using Call = std::function<ResultCode(Fixture&)>;

template <typename T>
ResultCode WaitFor(Fixture& fixture, const std::optional<Result<T>>& answer) {
  net::RunUntil(fixture.loop, [&] { return answer.has_value(); });
  return *answer ? ResultCode::kOk : answer->error().code;
}

ResultCode FetchWeights(Fixture& fixture) {
  HttpWeightStoreClient store(fixture.client, fixture.url);
  std::optional<Result<Duration>> answer;
  store.Fetch("m", [&](Result<Duration> ready) { answer = ready; });
  return WaitFor(fixture, answer);
}

ResultCode PollHostList(Fixture& fixture) {
  HostListOptions options;
  options.base_url = fixture.url;
  HttpHostListClient list(fixture.client, fixture.loop.timers(), fixture.rng,
                          options);
  std::optional<Result<HostList>> answer;
  list.Start([&](Result<HostList> hosts) { answer = std::move(hosts); });
  return WaitFor(fixture, answer);
}

ResultCode Append(Fixture& fixture) {
  HttpLogClient log(fixture.client, fixture.url);
  std::optional<Result<LogOffset>> answer;
  log.Append("config", {"{}"}, [&](Result<LogOffset> at) { answer = at; });
  return WaitFor(fixture, answer);
}

ResultCode ReadBounds(Fixture& fixture) {
  HttpLogClient log(fixture.client, fixture.url);
  std::optional<Result<LogPage>> answer;
  log.ReadBounds("config",
                 [&](Result<LogPage> page) { answer = std::move(page); });
  return WaitFor(fixture, answer);
}

}  // namespace

TEST_CASE("an answer that exceeds its bound is not taken for a good one") {
  struct Row {
    const char* name;
    Call call;
    const char* body;
    size_t bound;
    ResultCode code;  ///< of a larger answer
  };
  const Row row = GENERATE(values<Row>({
      {"weight store", FetchWeights, R"({"ready_in_ms":1})", 16 << 10,
       ResultCode::kProtocolError},
      {"host list", PollHostList, R"({"hosts":[],"upstreams":[]})", 4 << 20,
       ResultCode::kHostListUnavailable},
      {"append that may have taken effect", Append, R"({"first_offset":1})",
       64 << 10, ResultCode::kAppendUnknown},
      {"bounds of a stream", ReadBounds,
       R"({"first_retained":0,"next_offset":1,"records":[]})", 64 << 10,
       ResultCode::kLogUnavailable},
  }));
  CAPTURE(row.name);
  Fixture fixture;
  fixture.service.body = row.body;
  fixture.service.padding = row.bound - fixture.service.body.size();
  CHECK(row.call(fixture) == ResultCode::kOk);
  fixture.service.padding += 1;
  CHECK(row.call(fixture) == row.code);
}

}  // namespace teaselhill::services
