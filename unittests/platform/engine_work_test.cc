/// \file
/// Guards against requests whose work the duty that sizes the pool never sees,
/// or that stay open in its counts.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "gateway_fixture.h"

namespace platform {

namespace {

using teaselhill::duties::EngineWork;

/// A gateway with one service of one upstream.
class EngineWorkFixture {
 public:
  EngineWorkFixture(AnswerScript script, bool has_pool)
      : log_(logger_),
        upstream_(loop_, "u1", {std::move(script)}),
        gateway_(loop_,
                 MakeOptions(),
                 callers_,
                 upstream_headers_,
                 shared_state_,
                 log_,
                 metrics_) {
    gateway_.SetFleetPosition({/*index=*/0, /*hosts=*/1});
    gateway::RouteConfig config;
    config.version = 1;
    config.routes.resize(1);
    gateway::Route& route = config.routes[0];
    route.name = "route";
    route.host = kRouteHost;
    route.path_prefix = "/";
    route.kind = gateway::RouteKind::kStream;
    route.timeout = std::chrono::seconds(2);
    route.answer_target = std::chrono::milliseconds(60);
    route.tier = 1;
    route.anonymous = true;
    route.services = {{"service"}};
    config.services.resize(1);
    config.services[0].name = "service";
    config.services[0].is_engine = true;
    config.services[0].health_path = "/healthz";
    if (has_pool)
      config.services[0].pool.emplace();
    shared_state_.SetRoutes(
        std::make_shared<gateway::RouteTable>(std::move(config)));
    gateway::UpstreamEntry entry;
    entry.id = "u1";
    entry.service = "service";
    entry.address = upstream_.address();
    entry.domain = kDomain;
    entry.slots = 8;
    auto list = std::make_shared<gateway::UpstreamList>();
    list->by_service["service"] = {entry};
    shared_state_.SetUpstreams(std::move(list));
    shared_state_.SetUpstreamsReadAt(teaselhill::BootNow());
  }

  /// Sends a request with a shared part of 600 tokens and an own one of 200,
  /// and runs until it has ended or `time` has passed.
  ReceivedAnswer Send(std::chrono::milliseconds time) {
    ReceivedAnswer answer;
    net::HttpRequest request;
    request.method = "GET";
    request.target = request.path = "/x";
    request.headers = {{"Host", kRouteHost},
                       {"X-Attempt-Id", kRequestId},
                       {"X-Deadline-Ms", "2000"},
                       {"X-Prompt-Prefix", "5c1e07a2:600, 91bd3f06:200"}};
    writer_ = std::make_shared<RecordingWriter>(&answer);
    gateway_.Handle(std::move(request), writer_);
    const auto poll = loop_.timers().Subscribe(std::chrono::milliseconds(1),
                                               [&](teaselhill::TimePoint) {
                                                 if (answer.has_ended())
                                                   loop_.Stop();
                                               });
    const auto limit = loop_.timers().After(
        time, [&](teaselhill::TimePoint) { loop_.Stop(); });
    loop_.Run();
    return answer;
  }

  std::vector<EngineWork> TakeWork() {
    return gateway_.engine_work().TakeWork(teaselhill::BootNow());
  }

 private:
  static gateway::GatewayOptions MakeOptions() {
    gateway::GatewayOptions options;
    options.host = "host";
    options.placement.own_domain = kDomain;
    return options;
  }

  net::EventLoop loop_;
  RecordingLogger logger_;
  gateway::EventLog log_;
  teaselhill::Metrics metrics_;
  CallerHeaders callers_;
  UpstreamHeaders upstream_headers_;
  gateway::SharedState shared_state_;
  ScriptedUpstream upstream_;
  std::shared_ptr<RecordingWriter> writer_;
  gateway::Gateway gateway_;
};

constexpr std::chrono::seconds kToTheEnd{3};

AnswerScript TwoEventsAfter(std::chrono::milliseconds pause) {
  return {{{}, StreamHead()},
          {pause, Chunk(EventText(1))},
          {{}, Chunk(EventText(2)) + kLastChunk}};
}

}  // namespace

// Prompts whose shared part is cached that count in full, or events that are
// not counted.
TEST_CASE("the work of an answered request is counted", "[pool]") {
  EngineWorkFixture fixture(TwoEventsAfter({}), /*has_pool=*/true);
  REQUIRE(fixture.Send(kToTheEnd).status == 200);
  std::vector<EngineWork> work = fixture.TakeWork();
  REQUIRE(work.size() == 1);
  CHECK(work[0].service == "service");
  CHECK(work[0].domain == kDomain);
  CHECK(work[0].tier == 1);
  CHECK(work[0].requests == 1);
  CHECK(work[0].prompt_tokens == 800);
  CHECK(work[0].generated_tokens == 2);
  CHECK(work[0].started == 1);
  CHECK(work[0].started_late == 0);
  CHECK(work[0].running + work[0].waiting == 0);
  REQUIRE(fixture.Send(kToTheEnd).status == 200);
  work = fixture.TakeWork();
  REQUIRE(work.size() == 1);
  CHECK(work[0].prompt_tokens == 200);
}

// A lack of servers that does not show in the reports.
TEST_CASE("late starts are counted against the route's target", "[pool]") {
  EngineWorkFixture fixture(TwoEventsAfter(std::chrono::milliseconds(150)),
                            /*has_pool=*/true);
  REQUIRE(fixture.Send(kToTheEnd).status == 200);
  const std::vector<EngineWork> work = fixture.TakeWork();
  REQUIRE(work.size() == 1);
  CHECK(work[0].started_late == 1);
}

// Requests at an engine that does not answer, or refuses, count as nothing.
TEST_CASE("open and refused requests are counted", "[pool]") {
  SECTION("open") {
    EngineWorkFixture fixture(TwoEventsAfter(std::chrono::milliseconds(1500)),
                              /*has_pool=*/true);
    fixture.Send(std::chrono::milliseconds(50));
    const std::vector<EngineWork> work = fixture.TakeWork();
    REQUIRE(work.size() == 1);
    CHECK(work[0].waiting == 1);
    CHECK(work[0].started == 0);
  }
  SECTION("refused") {
    EngineWorkFixture fixture(
        {{{}, AnswerHead("503 Full", "X-Not-Run: 1\r\nContent-Length: 0\r\n")}},
        /*has_pool=*/true);
    CHECK(fixture.Send(kToTheEnd).status == 503);
    const std::vector<EngineWork> work = fixture.TakeWork();
    REQUIRE(work.size() == 1);
    CHECK(work[0].refused == 1);
    CHECK(work[0].waiting == 0);
  }
}

// Counting that costs a deployment without pools.
TEST_CASE("no work is counted without a pool", "[pool]") {
  EngineWorkFixture fixture(TwoEventsAfter({}), /*has_pool=*/false);
  REQUIRE(fixture.Send(kToTheEnd).status == 200);
  CHECK(fixture.TakeWork().empty());
}

}  // namespace platform
