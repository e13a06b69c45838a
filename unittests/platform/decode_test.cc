/// \file
/// Guards against an invalid entry that affects other entries, a forged header
/// that reaches an upstream, and a response that is taken as "not run" although
/// the response does not state that.

#include "platform/decode.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "platform/boot_settings.h"
#include "platform/http_protocol.h"
#include "platform/store_client.h"

namespace platform {

namespace gateway = teaselhill::gateway;
namespace net = teaselhill::net;
using teaselhill::Duration;
using teaselhill::ResultCode;

namespace {

constexpr const char* kConfig = R"({"version":7,"routes":[
  {"name":"r","host":"h.example","pathPrefix":"/p/","kind":"streaming",
   "timeoutMs":5000,"goalMs":800,"priority":1,
   "split":[{"service":"a","weight":90},{"service":"b","weight":10}],
   "attempts":2,"allowAnon":false,"resumable":true,"gapGoalMs":400}],
  "services":[{"name":"a","healthPath":"/h","maxConns":360,
    "engine":{"slots":64,"models":[]}},{"name":"b","maxConns":100}],
  "tenants":[{"name":"t","apiKeys":["k"],"priority":1}],"unknown":1})";

constexpr const char* kEntry = R"({"service":"a","addr":"10.0.0.9:80",
  "zone":"z","version":"v1","slots":64,"state":"ready","coldLeftMs":0,
  "seq":4,"born":1783591597048})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

net::HttpRequest CallerHttp() {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/p/2f?x=%2F";
  request.path = "/p/2f";
  request.headers = {{"Host", "h.example"},
                     {"X-Attempt-Id", "9c41"},
                     {"X-Token-Counts", "1460,80"},
                     {"X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410"},
                     {"X-Deadline-Ms", "5000"},
                     {"Authorization", "Bearer k"},
                     {"Connection", "keep-alive, X-Own"},
                     {"X-Own", "1"},
                     {"X-Kept", ""},
                     {"X-Tenant", "forged"},
                     {"X-Expect-Instance", "forged"},
                     {"X-Kv-Hold", "forged"},
                     {"Kv-From", "forged"},
                     {"X-Request-Priority", "0"}};
  return request;
}

}  // namespace

TEST_CASE("every field of a configuration is decoded") {
  const auto config = DecodeConfig(kConfig);
  REQUIRE(config.ok());
  CHECK(config->version == 7);
  REQUIRE(config->routes.size() == 1);
  const gateway::Route& route = config->routes[0];
  CHECK(route.kind == gateway::RouteKind::kStream);
  CHECK(route.timeout == std::chrono::seconds(5));
  CHECK(route.event_gap_target == std::chrono::milliseconds(400));
  CHECK(route.services.size() == 2);
  CHECK(route.max_attempts == 2);
  CHECK(route.retryable());
  CHECK(config->services[0].is_engine);
  CHECK(config->services[0].engine_spec.slots == 64);
  CHECK(config->services[0].engine_spec.memory_tokens == 0);
  CHECK_FALSE(config->services[1].is_engine);
  CHECK(config->requires_key);
  CHECK(config->teams[0].tier == 1);
}

// Guards a configuration that is rejected, or an engine that is taken for one
// of few slots, because of a figure that cannot be used.
TEST_CASE("an engine's figures are read where they can be used") {
  struct Row {
    const char* engine;
    int64_t slots;
    int64_t event_tokens;
    int64_t memory_tokens;
    int64_t token_bytes;
  };
  const Row row = GENERATE(values<Row>({
      {R"({"slots":12,"stride":5,"kvCapTokens":289176,"kvTokenBytes":327680})",
       12, 5, 289176, 327680},
      {R"({"models":[]})", 0, 0, 0, 0},
      {R"({"slots":"12","stride":null,"kvCapTokens":-1,"kvTokenBytes":1.5})", 0,
       0, 0, 0},
  }));
  const auto config =
      DecodeConfig(Replace(kConfig, R"({"slots":64,"models":[]})", row.engine));
  REQUIRE(config.ok());
  const teaselhill::gateway::EngineSpec& spec = config->services[0].engine_spec;
  CHECK(config->services[0].is_engine);
  CHECK(spec.slots == row.slots);
  CHECK(spec.event_tokens == row.event_tokens);
  CHECK(spec.memory_tokens == row.memory_tokens);
  CHECK(spec.token_bytes == row.token_bytes);
}

TEST_CASE("an invalid configuration is an error that names the field") {
  struct Row {
    const char* from;
    const char* to;
    const char* error_text;
  };
  const Row row = GENERATE(values<Row>({
      {R"("version":7)", R"("version":"7")", "version"},
      {R"("kind":"streaming")", R"("kind":"other")", "kind"},
      {R"("host":"h.example",)", "", "host"},
      {R"("timeoutMs":5000)", R"("timeoutMs":null)", "timeoutMs"},
      {R"("allowAnon":false)", R"("allowAnon":0)", "allowAnon"},
      {R"(["k"])", "[1]", "key"},
      {R"("unknown":1})", "", "not JSON"},
  }));
  const auto config = DecodeConfig(Replace(kConfig, row.from, row.to));
  REQUIRE_FALSE(config.ok());
  CHECK(config.error().code == ResultCode::kUnreadableRecord);
  CHECK_THAT(config.error().message, Catch::Contains(row.error_text));
}

TEST_CASE("an upstream entry with an invalid field is an error") {
  struct Row {
    const char* from;
    const char* to;
    bool good;
  };
  const Row row = GENERATE(values<Row>({
      {"", "", true},
      {R"("state":"ready")", R"("state":"draining")", true},
      {R"("state":"ready")", R"("state":"resting")", false},
      {R"("state":"ready",)", "", false},
      {R"("slots":64)", R"("slots":"64")", false},
      {R"("born":1783591597048)", R"("born":1.5)", false},
      {R"("addr":"10.0.0.9:80")", R"("addr":7)", false},
      {R"("addr":"10.0.0.9:80")", R"("addr":"")", false},
      {R"("service":"a")", R"("service":null)", false},
      {R"("version":"v1")", R"("version":1)", false},
      {R"("version":"v1",)", "", false},
      {R"({"service")", R"(["service")", false},
  }));
  CAPTURE(row.from, row.to);
  CHECK(DecodeEntry("i", Replace(kEntry, row.from, row.to)).ok() == row.good);
}

// Guards against a process that ends, or sends requests to nowhere, because of
// an entry that another writer left among those of the upstreams.
TEST_CASE("an entry with values out of range names no upstream") {
  struct Row {
    const char* from;
    std::string to;
  };
  const Row row = GENERATE_COPY(values<Row>({
      {"10.0.0.9:80", "10.0.0.9:0"},
      {"10.0.0.9:80", "10.0.0.9:-1"},
      {"10.0.0.9:80", "10.0.0.9:65536"},
      {"10.0.0.9:80", "10.0.0.9:100000000000000000000"},
      {"10.0.0.9:80", "10.0.0.9:80x"},
      {"10.0.0.9:80", "10.0.0.9:"},
      {"10.0.0.9:80", "10.0.0.9"},
      {"10.0.0.9:80", "10.0.0.256:80"},
      {"10.0.0.9:80", "10.0.0.9:80/path:80"},
      {"10.0.0.9:80", "host.example:80"},
      {R"("slots":64)", R"("slots":-1)"},
      {R"("slots":64)", R"("slots":0)"},
      {R"("slots":64)", R"("slots":4294967360)"},
      {R"("slots":64)", R"("slots":18446744073709551680)"},
      {R"("slots":64)", R"("slots":1e400)"},
      {R"("seq":4)", R"("seq":1e99999)"},
      {R"("seq":4)", R"("seq":)" + std::string(400'000, '[')},
  }));
  CAPTURE(row.from, row.to.substr(0, 40));
  REQUIRE(DecodeEntry("i", kEntry).ok());
  CHECK_FALSE(DecodeEntry("i", Replace(kEntry, row.from, row.to)).ok());
}

// Guards against a stack that overflows while nested values are parsed or
// freed.
TEST_CASE("a deeply nested value does not end the process") {
  constexpr size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string entry = Replace(kEntry, R"("seq":4)", R"("seq":)" + nested);
  CHECK(DecodeEntry("i", entry).ok());
  CHECK_FALSE(DecodeEntry("i", nested).ok());
  CHECK_FALSE(DecodeConfig(nested).ok());
  CHECK_FALSE(DecodeListPage(nested).ok());
}

TEST_CASE("decoding arbitrary bytes does not crash the process") {
  rc::prop("any bytes", [](const std::string& bytes) {
    (void)DecodeConfig(bytes).ok();
    (void)DecodeEntry("i", bytes).ok();
    (void)DecodeReadPage(bytes, 0).ok();
    (void)DecodeListPage(bytes).ok();
    (void)ParseBootSettings(bytes).ok();
  });
}

TEST_CASE("records of a read page are numbered from the requested offset") {
  const std::string body(
      "\0\0\0\0\0\0\0\x0c\0\0\0\0\0\0\0\x04"
      "\0\0\0\x04\x01k12\0\0\0\x02\x01q\0\0\0\0",
      34);
  const auto page = DecodeReadPage(body, 9);
  REQUIRE(page.ok());
  CHECK(page->end_offset == 12);
  CHECK(page->first_retained_offset == 4);
  REQUIRE(page->records.size() == 2);
  CHECK(page->records[0].key == "k");
  CHECK(page->records[0].value == "12");
  CHECK(page->records[1].offset == 10);
  CHECK_FALSE(page->records[1].value);
  CHECK_FALSE(DecodeReadPage(body.substr(0, 33), 9).ok());
}

// The store's answers may be cut off anywhere, and a length may be any number.
TEST_CASE("a read page that is cut off or claims too much is refused") {
  struct Row {
    const char* name;
    std::string records;
    bool good;
  };
  const Row row = GENERATE(values<Row>({
      {"no record", "", true},
      {"a record", std::string("\0\0\0\x03\x01kv", 7), true},
      {"half of a length", std::string("\0\0", 2), false},
      {"half of a record", std::string("\0\0\0\x03\x01k", 6), false},
      {"a length of 4 GB", std::string("\xff\xff\xff\xff\x01kv", 7), false},
      {"a length of 4 GB alone", std::string("\xff\xff\xff\xff", 4), false},
  }));
  INFO(row.name);
  CHECK(DecodeReadPage(std::string(16, '\0') + row.records, 0).ok() ==
        row.good);
}

TEST_CASE("values in a listing page may contain any bytes") {
  const auto page = DecodeListPage(
      R"({"items":[{"key":"a","value":"AAH/","offset":3},
                   {"key":"b","value":"eA==","offset":4}],
          "hasMore":true,"end":6})");
  REQUIRE(page.ok());
  CHECK(page->end_offset == 6);
  CHECK(page->has_more);
  CHECK(page->records[0].value == std::string("\0\x01\xff", 3));
  CHECK(page->records[1].value == "x");
}

TEST_CASE(
    "the caller's request is forwarded without forged or hop-by-hop headers") {
  const CallerHeaders callers;
  const UpstreamHeaders upstreams;
  const net::HttpRequest request = CallerHttp();
  const auto caller = callers.ReadRequest(request);
  REQUIRE(caller.ok());
  CHECK(caller->attempt_id == "9c41");
  CHECK(caller->api_key == "k");
  CHECK(caller->deadline == std::chrono::seconds(5));
  REQUIRE(caller->prompt_segments.size() == 2);
  CHECK(caller->prompt_segments[1].id == 0x91bd3f06);
  CHECK(caller->max_output_tokens == 80);
  gateway::AttemptContext context;
  context.upstream.id = "i-1";
  context.upstream.address = "10.0.0.9:80";
  context.team = "crew";
  context.tier = 12;
  context.is_engine = true;
  context.time_left = std::chrono::milliseconds(4321);
  const net::ClientRequest sent =
      upstreams.BuildRequest(request, *caller, context);
  CHECK(sent.target == "/p/2f?x=%2F");
  const auto value = [&sent](const char* name) {
    std::string joined;
    for (const net::Header& header : sent.headers) {
      if (net::SameHeaderName(header.name, name))
        joined += "[" + header.value + "]";
    }
    return joined;
  };
  CHECK(value("X-Attempt-Id") == "[9c41]");
  CHECK(value("X-Tenant") == "[crew]");
  CHECK(value("X-Expect-Instance") == "[i-1]");
  CHECK(value("X-Deadline-Ms") == "[4321]");
  CHECK(value("X-Request-Priority") == "[9]");
  CHECK(value("X-Prompt-Prefix") == "[5c1e07a2:800, 91bd3f06:410]");
  CHECK(value("X-Kept") == "[]");
  for (const char* dropped : {"Authorization", "X-Kv-Hold", "Kv-From", "X-Own",
                              "Connection", "Last-Event-Id"})
    CHECK(value(dropped).empty());
}

TEST_CASE("a request for another host reads like the caller's") {
  const CallerHeaders callers;
  net::HttpRequest request = CallerHttp();
  request.body = "{}";
  request.headers.push_back({"Last-Event-Id", "3"});
  gateway::ForwardContext context;
  context.address = "10.0.0.2:7215";
  context.time_left = std::chrono::milliseconds(1500);
  context.resume_after = 7;
  context.resumed_attempt_id = "77aa";
  const net::ClientRequest forwarded =
      callers.BuildForwardRequest(request, context);
  CHECK(forwarded.url == "http://10.0.0.2:7215");
  CHECK(forwarded.target == "/p/2f?x=%2F");
  CHECK(forwarded.body == "{}");
  net::HttpRequest received = request;
  received.headers = forwarded.headers;
  const auto caller = callers.ReadRequest(received);
  REQUIRE(caller);
  CHECK(caller->attempt_id == "9c41");
  CHECK(caller->host == "h.example");
  CHECK(caller->api_key == "k");
  CHECK(caller->deadline == std::chrono::milliseconds(1500));
  CHECK(caller->resume_after == 7);
  CHECK(caller->resumed_attempt_id == "77aa");
  CHECK(caller->prompt_segments.size() == 2);
  CHECK_FALSE(net::FindHeader(forwarded.headers, "Connection"));
  CHECK_FALSE(net::FindHeader(forwarded.headers, "X-Own"));
  CHECK(net::FindHeader(forwarded.headers, "X-Kept"));
}

TEST_CASE("a response head is classified by its status and headers") {
  struct Row {
    const char* description;
    int status;
    net::Headers headers;
    gateway::ResponseKind kind;
  };
  const net::Header id{"X-Attempt-Id", "9c41"};
  const net::Header checksum{"X-Server-Seal", "s"};
  const net::Header not_run{"X-Not-Run", "1"};
  using gateway::ResponseKind;
  const Row row = GENERATE_COPY(values<Row>({
      {"good", 200, {id, checksum}, ResponseKind::kResponse},
      {"of another request",
       200,
       {{"X-Attempt-Id", "77"}, checksum},
       ResponseKind::kUnrelated},
      {"without a checksum", 200, {id}, ResponseKind::kUnrelated},
      {"without an id", 200, {checksum}, ResponseKind::kUnrelated},
      {"encoded",
       200,
       {id, checksum, {"Content-Encoding", "gzip"}},
       ResponseKind::kUnrelated},
      {"failed", 500, {id, checksum}, ResponseKind::kResponse},
      {"full", 503, {id, not_run}, ResponseKind::kNotRun},
      {"full, and may have run", 503, {id}, ResponseKind::kUnconfirmedNotRun},
      {"limited, and may have run",
       429,
       {id},
       ResponseKind::kUnconfirmedNotRun},
      {"another instance", 421, {}, ResponseKind::kWrongUpstream},
  }));
  CAPTURE(row.description);
  gateway::CallerRequest caller;
  caller.attempt_id = "9c41";
  const auto head = UpstreamHeaders().ReadHead(row.status, row.headers, caller);
  CHECK(head.kind == row.kind);
}

TEST_CASE("the limit of an upstream is a decimal number in its answer") {
  struct Row {
    const char* name;
    std::vector<std::string> values;
    std::optional<double> limit;
    bool unreadable;
  };
  const Row row = GENERATE(values<Row>({
      {"none", {}, std::nullopt, false},
      {"whole", {"3"}, 3, false},
      {"fraction", {" 1.1 "}, 1.1, false},
      {"zero", {"0"}, 0, false},
      {"huge", {"99999999999999999999999"}, 99999999999999999999999.0, false},
      {"twice the same", {"2", "2"}, 2, false},
      {"two limits", {"5", "2"}, 2, false},
      {"one of two can be read", {"much", "2"}, 2, false},
      {"empty", {""}, std::nullopt, true},
      {"negative", {"-1"}, std::nullopt, true},
      {"a word", {"inf"}, std::nullopt, true},
      {"with a unit", {"3/s"}, std::nullopt, true},
      {"exponent", {"1e3"}, std::nullopt, true},
      {"two points", {"1.2.3"}, std::nullopt, true},
      {"a list", {"1, 2"}, std::nullopt, true},
  }));
  CAPTURE(row.name);
  gateway::CallerRequest caller;
  caller.attempt_id = "9c41";
  teaselhill::net::Headers headers = {{"X-Attempt-Id", "9c41"}};
  for (const std::string& value : row.values)
    headers.push_back({"Server-Limit", value});
  const auto head = UpstreamHeaders().ReadHead(500, headers, caller);
  CHECK(head.notice.limit.requests_per_second == row.limit);
  CHECK(head.notice.limit.unreadable == row.unreadable);
  headers[0].value = "another";
  CHECK_FALSE(UpstreamHeaders()
                  .ReadHead(500, headers, caller)
                  .notice.limit.requests_per_second);
}

TEST_CASE("an answer says that its upstream leaves or wants a pause") {
  struct Row {
    const char* name;
    int status;
    std::vector<teaselhill::net::Header> headers;
    bool leaving;
    Duration pause;
  };
  const Row row = GENERATE(values<Row>({
      {"neither", 200, {}, false, {}},
      {"leaving", 200, {{"Server-Leaving", "1"}}, true, {}},
      {"not leaving", 200, {{"Server-Leaving", "0"}}, false, {}},
      {"pause", 503, {{"Retry-After", "4"}}, false, std::chrono::seconds(4)},
      {"fraction",
       503,
       {{"Retry-After", "0.5"}},
       false,
       std::chrono::milliseconds(500)},
      {"long", 503, {{"Retry-After", "90"}}, false, std::chrono::seconds(90)},
      {"longer than a day", 503, {{"Retry-After", "9e9999"}}, false, {}},
      {"many digits",
       503,
       {{"Retry-After", std::string(400, '9')}},
       false,
       std::chrono::hours(24)},
      {"date",
       503,
       {{"Retry-After", "Fri, 04 Dec 2026 12:00:00 GMT"}},
       false,
       {}},
      {"negative", 503, {{"Retry-After", "-1"}}, false, {}},
      {"another status", 429, {{"Retry-After", "4"}}, false, {}},
  }));
  INFO(row.name);
  gateway::CallerRequest caller;
  caller.attempt_id = "9c41";
  teaselhill::net::Headers headers = row.headers;
  headers.push_back({"X-Attempt-Id", "9c41"});
  const auto notice =
      UpstreamHeaders().ReadHead(row.status, headers, caller).notice;
  CHECK(notice.leaving == row.leaving);
  CHECK(teaselhill::ToMilliseconds(notice.pause) ==
        teaselhill::ToMilliseconds(row.pause));
  // An answer to another request, and one of another upstream, say nothing.
  headers.back().value = "another";
  CHECK_FALSE(
      UpstreamHeaders().ReadHead(row.status, headers, caller).notice.leaving);
  headers.back().value = "9c41";
  CHECK_FALSE(UpstreamHeaders().ReadHead(421, headers, caller).notice.leaving);
}

TEST_CASE("an upstream says in each answer that it is brittle") {
  gateway::CallerRequest caller;
  caller.attempt_id = "9c41";
  teaselhill::net::Headers headers = {{"X-Attempt-Id", "9c41"}};
  const int status = GENERATE(200, 500, 503);
  const auto tolerated_refusals = [&] {
    return UpstreamHeaders()
        .ReadHead(status, headers, caller)
        .notice.tolerated_refusals;
  };
  CHECK_FALSE(tolerated_refusals());
  headers.push_back({"Server-Brittle", "3"});
  CHECK(tolerated_refusals() == 3);
  headers.back().value = "unreadable";
  CHECK(tolerated_refusals() == 0);
}

TEST_CASE("a load report without its counts is an error") {
  struct Row {
    int status;
    const char* body;
    bool good;
  };
  const Row row = GENERATE(values<Row>({
      {200, R"({"queued":3,"active":12,"stage":"unified"})", true},
      {200, R"({"queued":3})", false},
      {200, R"({"queued":"3","active":12})", false},
      {200, "[]", false},
      {503, R"({"queued":3,"active":12})", false},
  }));
  net::ClientResponse response;
  response.status = row.status;
  response.body = row.body;
  const auto report = UpstreamHeaders().ReadReport(response);
  REQUIRE(report.ok() == row.good);
  if (report)
    CHECK(report->queued_requests == 3);
}

TEST_CASE("the error for invalid settings lists every invalid field") {
  const std::string good = R"({"node":"n","zone":"z","ip":"10.1.0.19",
    "listen":{"front":"10.1.0.19:8740","ready":"10.1.0.19:8749"},
    "limits":{"maxFds":4100},
    "bounds":{"graceS":8,"retryRatio":0.2,"retryWindowS":10,"retryExtra":54,
              "drainMs":2000},
    "provider":{"addr":"10.200.1.7:8742"},"new":{"field":1}})";
  const auto settings = ParseBootSettings(good);
  REQUIRE(settings.ok());
  CHECK(settings->gateway.caller_endpoint.port == 8740);
  CHECK(settings->gateway.shutdown_grace == std::chrono::seconds(8));
  CHECK(settings->gateway.crash_stop_delay == std::chrono::seconds(3));
  const auto with_contact = ParseBootSettings(
      Replace(good, R"("graceS":8)", R"("graceS":8,"contactMs":1200)"));
  REQUIRE(with_contact.ok());
  CHECK(teaselhill::ToMilliseconds(with_contact->gateway.crash_stop_delay) ==
        Approx(1200));
  CHECK(settings->gateway.max_memory_bytes == 110'000'000);
  const auto with_memory = ParseBootSettings(
      Replace(good, R"("maxFds":4100)", R"("maxFds":4100,"ramMb":260)"));
  REQUIRE(with_memory.ok());
  CHECK(with_memory->gateway.max_memory_bytes == 260'000'000);
  CHECK_FALSE(ParseBootSettings(Replace(good, R"("maxFds":4100)",
                                        R"("maxFds":4100,"ramMb":0)"))
                  .ok());
  const auto invalid_settings = ParseBootSettings(
      Replace(Replace(good, R"("graceS":8)", R"("graceS":"8")"), ":8740", ""));
  REQUIRE_FALSE(invalid_settings.ok());
  CHECK_THAT(invalid_settings.error().message,
             Catch::Contains("bounds.graceS"));
  CHECK_THAT(invalid_settings.error().message, Catch::Contains("listen.front"));
}

}  // namespace platform
