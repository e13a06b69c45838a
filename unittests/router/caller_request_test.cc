/// \file
/// Tests the validation of callers' requests: each error has its own code.

#include "teaselhill/router/caller_request.h"

#include <catch2/catch.hpp>

namespace teaselhill::router {

TEST_CASE("error for a malformed model body names the invalid field") {
  struct Row {
    std::string body;
    std::string message;
  };
  const auto row = GENERATE(values<Row>({
      {"", "the body is not a JSON object"},
      {"[1]", "the body is not a JSON object"},
      {"{\"model\":", "the body is not a JSON object"},
      {"{}", "model: must be a string"},
      {R"({"model":1})", "model: must be a string"},
      {R"({"model":"m"})", "messages: must be a non-empty array"},
      {R"({"model":"m","messages":[]})", "messages: must be a non-empty array"},
      {R"({"model":"m","messages":[{}]})",
       "messages[0].role: must be a string"},
      {R"({"model":"m","messages":[{"role":"user"}]})",
       "messages[0].content: must be a string or an array"},
      {R"({"model":"m","stream":1,"messages":[{"role":"user","content":"x"}]})",
       "stream: must be true or false"},
      {R"({"model":"m","max_tokens":0,"messages":[]})",
       "max_tokens: must be a whole number from 1 to 1048576"},
  }));
  INFO(row.body);
  const Result<ModelBody> parsed = ParseModelBody(row.body);
  REQUIRE_FALSE(parsed.ok());
  CHECK(parsed.error().code == ResultCode::kMalformedBody);
  CHECK(parsed.error().message == row.message);
}

TEST_CASE("requests with a common prompt prefix have equal prefix hashes") {
  const std::string prefix(600, 'p');
  const auto body = [&](const std::string& tail) {
    return R"({"model":"m","messages":[{"role":"user","content":")" + prefix +
           tail + "\"}]}";
  };
  const auto a = ParseModelBody(body("one"));
  const auto b = ParseModelBody(body("two"));
  REQUIRE(a.ok());
  REQUIRE(b.ok());
  REQUIRE(a->prefix_hashes.size() >= 2);
  CHECK(a->prefix_hashes == b->prefix_hashes);
}

TEST_CASE("request header with an invalid value is rejected") {
  struct Row {
    net::Header header;
    bool valid;
  };
  const auto row = GENERATE(values<Row>({
      {{"X-Teaselhill-Deadline-Ms", "1500"}, true},
      {{"X-Teaselhill-Deadline-Ms", "0"}, false},
      {{"X-Teaselhill-Deadline-Ms", "-1"}, false},
      {{"X-Teaselhill-Deadline-Ms", "1s"}, false},
      {{"X-Teaselhill-Deadline-Ms", "99999999999999999999"}, false},
      {{"X-Teaselhill-Idempotent", "false"}, true},
      {{"X-Teaselhill-Idempotent", "no"}, false},
      {{"Idempotency-Key", "k-1"}, true},
      {{"Idempotency-Key", "two words"}, false},
      {{"X-Request-Id", std::string(129, 'x')}, false},
  }));
  INFO(row.header.name << ": " << row.header.value);
  const Result<RequestHeaders> parsed = ParseRequestHeaders({row.header});
  CHECK(parsed.ok() == row.valid);
  if (!parsed)
    CHECK(parsed.error().code == ResultCode::kBadHeader);
}

TEST_CASE("Retry-After is sent only for errors that a retry can resolve") {
  struct Row {
    ResultCode code;
    bool retry_after;
  };
  const auto row = GENERATE(values<Row>({
      {ResultCode::kQueueFull, true},
      {ResultCode::kLimitExceeded, true},
      {ResultCode::kMalformedBody, false},
      {ResultCode::kUpstreamLost, false},
      {ResultCode::kKeyTooOld, false},
  }));
  const net::Headers headers =
      ErrorHeaders({row.code, ""}, std::chrono::milliseconds(1200));
  const auto value = net::FindHeader(headers, "Retry-After");
  CHECK(value.has_value() == row.retry_after);
  if (value)
    CHECK(*value == "2");
  CHECK(net::FindHeader(headers, "X-Teaselhill-Outcome") ==
        OutcomeName(Describe(row.code).outcome));
}

// Guards against a stack overflow of the traffic thread when a deeply nested
// value is serialized for the engine: a single caller could crash the process.
TEST_CASE("deeply nested body is rejected") {
  const std::string deep(2000000, '[');
  const std::string body =
      GENERATE_REF(R"({"model":"m","messages":[{"role":"user","content":)" +
                       deep + std::string(deep.size(), ']') + "}]}",
                   R"({"model":"m","x":)" + deep, deep);
  const Result<ModelBody> parsed = ParseModelBody(body);
  REQUIRE_FALSE(parsed.ok());
  CHECK(parsed.error().code == ResultCode::kMalformedBody);
}

TEST_CASE("brackets in strings do not count as nesting") {
  const Result<ModelBody> parsed = ParseModelBody(
      R"({"model":"m","messages":[{"role":"user","content":"\"[)" +
      std::string(100, '[') + R"("}]})");
  CHECK(parsed.ok());
}

}  // namespace teaselhill::router
