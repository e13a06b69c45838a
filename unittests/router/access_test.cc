/// \file
/// Tests the access control of callers, operators, hosts and customers.

#include <catch2/catch.hpp>
#include <mutex>
#include <optional>

#include "coordinator_fixture.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/router/admin_api.h"
#include "teaselhill/router/traffic_worker.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::router {

namespace {

constexpr char kOperatorKey[] = "operator-key";
constexpr char kHostSecret[] = "0123456789abcdef";

/// Fails each request at once, with the customer's name as the message.
class CountingControl : public ControlPort {
 public:
  void OnArrived(RequestInfo info) override {
    ++arrived;
    worker->FailRequest(info.id, {ResultCode::kQueueFull, info.customer},
                        Duration::zero());
  }
  void OnFirstToken(RequestId, int) override {}
  void OnProgress(std::vector<TokenProgress>) override {}
  void OnAttemptEnded(AttemptEnd,
                      std::shared_ptr<const StoredAnswer>) override {}
  void OnCallerDisconnected(RequestId) override {}
  void OnIdempotencyTokenRequested(int,
                                   RequestId request,
                                   const std::string& customer) override {
    worker->SendIdempotencyToken(request, customer);
  }

  TrafficWorker* worker = nullptr;
  std::atomic<int> arrived{0};
};

/// A listener for callers with the customers `brazos` and `punjab`, whose keys
/// are their names and whose only models are `<name>-model`.
struct CallerPort {
  CallerPort() : worker(0, Options(), shared, control) {
    control.worker = &worker;
    auto view = std::make_shared<config::ConfigView>();
    for (const std::string name : {"brazos", "punjab"}) {
      auto contract = std::make_shared<config::Contract>();
      contract->customer = name;
      contract->teams.push_back({"t", 1, {}});
      contract->models = {name + "-model"};
      config::ClassPolicy only;
      only.name = "only";
      contract->classes = {only};
      contract->default_class = "only";
      view->keys[Sha256Hex(name)] = {contract, &contract->teams[0], false};
    }
    shared.SetConfig(view);
    REQUIRE(worker.Start().ok());
  }
  ~CallerPort() { worker.Stop(); }

  static TrafficOptions Options() {
    TrafficOptions options;
    options.host_secret = kHostSecret;
    return options;
  }

  net::ClientResponse Fetch(const std::string& method,
                            const std::string& path,
                            const std::string& key,
                            net::Headers headers = {},
                            const std::string& body = "") {
    net::ClientRequest request;
    request.method = method;
    request.url = "http://127.0.0.1:" + std::to_string(worker.port()) + path;
    request.headers = std::move(headers);
    if (!key.empty())
      request.headers.push_back({"Authorization", "Bearer " + key});
    request.body = body;
    request.total_timeout = std::chrono::seconds(5);
    const auto answer = net::BlockingFetch(std::move(request));
    REQUIRE(answer.ok());
    return *answer;
  }

  PublishedState shared;
  CountingControl control;
  TrafficWorker worker;
};

std::string Chat(const std::string& model) {
  return R"({"model":")" + model +
         R"(","messages":[{"role":"user","content":"x"}]})";
}

class FakeBackend : public AdminBackend {
 public:
  std::string StatusJson() override { return "{}"; }
  std::vector<std::string> FindDecisions(const std::string&,
                                         const std::string&) override {
    return {};
  }
  std::string MetricsText() override { return "brazos"; }
  void SetBlockedPeers(std::set<std::string>) override { ++changes; }

  int changes = 0;
};

class RecordedResponse : public net::ResponseWriter {
 public:
  void Respond(int answered, net::Headers, std::string text) override {
    status = answered;
    body = std::move(text);
  }
  void Start(int, net::Headers) override {}
  void Write(std::string) override {}
  void Finish() override {}
  void Abort() override {}
  size_t pending_bytes() const override { return 0; }
  void SetCloseHandler(std::function<void()>) override {}
  void SetDrainHandler(std::function<void()>) override {}
  void SetTurnHandler(std::function<void()>) override {}

  int status = 0;
  std::string body;
};

}  // namespace

TEST_CASE("callers' port rejects every key but a caller's") {
  CallerPort port;
  const std::string key =
      GENERATE(as<std::string>(), "", kOperatorKey, kHostSecret, "Brazos");
  const std::string path =
      GENERATE(as<std::string>(), "/v1/chat/completions", "/v1/models",
               "/v1/tokens", "/services/x/", "/metrics", "/admin/v1/status");
  const auto answer = port.Fetch("POST", path, key, {}, Chat("brazos-model"));
  CHECK(answer.status == 401);
  CHECK(net::FindHeader(answer.headers, "X-Teaselhill-Code") == "1004");
  CHECK(port.control.arrived == 0);
}

TEST_CASE("forwarded request without the host secret is rejected") {
  CallerPort port;
  // The first row sends no such header, the second one an empty value.
  const std::optional<std::string> secret =
      GENERATE(as<std::optional<std::string>>(), std::nullopt, "", "true",
               "brazos", "0123456789abcdeX", "0123456789abcde");
  net::Headers headers;
  if (secret)
    headers.push_back({"X-Teaselhill-Forwarded", *secret});
  const auto answer = port.Fetch("POST", "/v1/chat/completions", "brazos",
                                 headers, Chat("brazos-model"));
  CHECK(answer.status == (secret ? 403 : 503));
  CHECK(port.control.arrived == (secret ? 0 : 1));
}

TEST_CASE("customer gets only its own models, answers and tokens") {
  CallerPort port;
  const auto models = port.Fetch("GET", "/v1/models", "punjab");
  CHECK(net::FindHeader(models.headers, "X-Teaselhill-Outcome") == "answered");
  const std::string& body = models.body;
  CHECK(body.find("punjab-model") != std::string::npos);
  CHECK(body.find("brazos") == std::string::npos);
  const auto foreign = port.Fetch("POST", "/v1/chat/completions", "punjab", {},
                                  Chat("brazos-model"));
  CHECK(net::FindHeader(foreign.headers, "X-Teaselhill-Code") == "1003");
  const auto own = port.Fetch("POST", "/v1/chat/completions", "punjab",
                              {{"X-Request-Id", "same"}}, Chat("punjab-model"));
  CHECK(own.body.find("\"message\":\"punjab\"") != std::string::npos);
  CHECK(port.Fetch("POST", "/v1/tokens", "punjab").body ==
        R"({"token":"punjab"})");
}

TEST_CASE("operators' port rejects every key but an operator's") {
  FakeBackend backend;
  AdminApi api(backend, {Sha256Hex("other"), Sha256Hex(kOperatorKey)});
  const auto [key, allowed] =
      GENERATE(table<std::string, bool>({{kOperatorKey, true},
                                         {"brazos", false},
                                         {kHostSecret, false},
                                         {"", false},
                                         {Sha256Hex(kOperatorKey), false}}));
  const auto [method, path] = GENERATE(
      table<std::string, std::string>({{"GET", "/admin/v1/status"},
                                       {"GET", "/admin/v1/requests/r1"},
                                       {"GET", "/metrics"},
                                       {"PUT", "/admin/v1/blocked-peers"}}));
  net::HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = "[]";
  request.headers = {{"Authorization", "Bearer " + key}};
  const auto response = std::make_shared<RecordedResponse>();
  api.Handle(request, response);
  CHECK(response->status == (allowed ? 200 : 401));
  if (!allowed) {
    CHECK(backend.changes == 0);
    CHECK(response->body.find("brazos") == std::string::npos);
  }
}

// Guards against returning one customer's decisions to another, and against a
// customer whose many lines for a request id leave no room for the lines of
// another customer with the same id.
TEST_CASE("decisions of customers with the same request id are separate") {
  NullLogger logger;
  DecisionLog log(logger);
  RequestInfo a;
  a.external_id = "same";
  a.customer = "brazos";
  RequestInfo b = a;
  b.customer = "punjab";
  for (int i = 0; i < 100; ++i)
    log.AddLine(a, DecisionLog::MakeLine("pick", a));
  log.AddLine(b, DecisionLog::MakeLine("outcome", b));
  REQUIRE(log.FindLines("same", "punjab").size() == 1);
  CHECK(log.FindLines("same", "punjab")[0].find("brazos") == std::string::npos);
  for (const std::string& line : log.FindLines("same", "brazos"))
    CHECK(line.find("punjab") == std::string::npos);
  CHECK(log.FindLines("same").size() ==
        log.FindLines("same", "brazos").size() + 1);
  CHECK(log.FindLines("sam").empty());
}

TEST_CASE("single-use token works only for its customer and is not logged") {
  CoordinatorFixture fixture;
  const std::string owner = GENERATE(as<std::string>(), "c", "other");
  fixture.coordinator.OnIdempotencyTokenRequested(0, 99, owner);
  REQUIRE(fixture.traffic.tokens.size() == 1);
  RequestInfo info;
  info.id = 50;
  info.external_id = "r50";
  info.customer = "c";
  info.team = "t";
  info.class_name = "report";
  info.model = "m";
  info.idempotent = false;
  info.idempotency_key = fixture.traffic.tokens[0];
  fixture.coordinator.OnArrived(info, fixture.now);
  if (owner == "c") {
    REQUIRE(fixture.traffic.started.size() == 1);
    fixture.EndAttempt(50, 0, ResultCode::kConnectionLost, /*sent=*/true);
  }
  REQUIRE(fixture.traffic.failures[50].size() == 1);
  CHECK(fixture.traffic.failures[50][0] ==
        (owner == "c" ? ResultCode::kUpstreamLost
                      : ResultCode::kInvalidIdempotencyKey));
  const std::vector<std::string> lines = fixture.log.FindLines("r50");
  REQUIRE_FALSE(lines.empty());
  for (const std::string& line : lines) {
    CHECK(line.find(info.idempotency_key) == std::string::npos);
    CHECK(line.find(kHostSecret) == std::string::npos);
  }
}

TEST_CASE("SameSecret compares every byte") {
  const auto [a, b, same] =
      GENERATE(table<std::string, std::string, bool>({{"abc", "abc", true},
                                                      {"abc", "abd", false},
                                                      {"abc", "xbc", false},
                                                      {"abc", "ab", false},
                                                      {"", "a", false}}));
  CHECK(SameSecret(a, b) == same);
}

}  // namespace teaselhill::router
