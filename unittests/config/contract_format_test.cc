/// \file
/// Guards against invalid contracts that are accepted or reported without the
/// location of each error, and against changes in a format and parse round
/// trip.

#include "teaselhill/config/contract_format.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace teaselhill::config {

namespace {

const char* const kContract = R"({
  // Comments are allowed.
  "customer": "brazos",
  "limits": {"requests_per_second": 40, "concurrency": 64},
  "teams": [{"name": "east", "weight": 2, "key_hashes": [
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]}],
  "classes": [
    {"name": "urgent", "tier": 0, "target_first_token": "1800ms"},
    {"name": "sheets", "tier": 5, "idempotent": false}],
  "default_class": "sheets",
  "models": ["org/sheet:7b"]
})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("a contract with comments is parsed and survives a round trip") {
  const auto contract = ParseContract(kContract);
  REQUIRE(contract.ok());
  CHECK(contract->FindClass("urgent")->target_first_token ==
        std::chrono::milliseconds(1800));
  CHECK_FALSE(contract->FindClass("sheets")->idempotent);
  CHECK(contract->teams[0].weight == 2);
  const std::string text = FormatContract(*contract);
  const auto again = ParseContract(text);
  REQUIRE(again.ok());
  CHECK(FormatContract(*again) == text);
}

TEST_CASE("an invalid contract is rejected with the location of the error") {
  struct Row {
    const char* from;
    const char* to;
    const char* expected;
  };
  const auto row = GENERATE(values<Row>({
      {"\"limits\"", "limits", "line 4"},
      {"\"tier\": 5", "\"tier\": 10", "classes[1].tier: must be"},
      {"\"tier\": 5", "\"tier\": -1", "classes[1].tier: must be"},
      {"\"tier\": 5", "\"tier\": 1.5", "classes[1].tier: must be"},
      {"\"tier\": 5", "\"tier\": 18446744073709551615", "classes[1].tier"},
      {"\"tier\": 5", "\"teir\": 5", "classes[1].teir: is not a known field"},
      {"\"1800ms\"", "\"fast\"", "classes[0].target_first_token: 'fast'"},
      {"\"1800ms\"", "1800", "classes[0].target_first_token: must be a string"},
      {"\"concurrency\": 64", "\"concurrency\": -1", "limits.concurrency"},
      {"\"weight\": 2", "\"weight\": 0", "teams[0].weight"},
      {"0123456789abcdef\"", "xyz\"", "teams[0].key_hashes[0]"},
      {"\"default_class\": \"sheets\"", "\"default_class\": \"x\"",
       "default_class: 'x' is not in classes"},
      {"\"name\": \"sheets\"", "\"name\": \"urgent\"", "classes[1].name"},
      {"\"customer\": \"brazos\"", "\"customer\": \"b w\"", "customer: must"},
      {"\"models\"", "\"customer\": \"x\", \"models\"", "appears twice"},
  }));
  const auto result = ParseContract(Replaced(kContract, row.from, row.to));
  INFO(row.to);
  REQUIRE_FALSE(result.ok());
  CHECK(result.error().code == ResultCode::kChangeInvalid);
  CHECK_THAT(result.error().message, Catch::Contains(row.expected));
}

TEST_CASE("all errors of a document are reported at once") {
  const auto result = ParseContract(R"({"customer": 1, "classes": [{"tier": 99,
      "name": "a"}], "default_class": "a", "weight": "x", "extra": 0})");
  REQUIRE_FALSE(result.ok());
  for (const char* part :
       {"customer:", "classes[0].tier:", "weight:", "extra:"})
    CHECK_THAT(result.error().message, Catch::Contains(part));
}

TEST_CASE("an invalid assignment is rejected with the field of the error") {
  struct Row {
    const char* text;
    const char* expected;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"name":"e1","url":"ftp://127.0.0.1:1","domain":"d","kind":"engine"})",
       "url: must be"},
      {R"({"name":"e1","url":"http://127.0.0.1:70000","domain":"d","kind":"engine"})",
       "url: must be"},
      {R"({"name":"e1","url":"http://127.0.0.1:1","domain":"d","kind":"gpu"})",
       "kind: must be"},
      {R"({"name":"e1","url":"http://127.0.0.1:1","domain":"d","kind":"service"})",
       "service: must name"},
      {R"({"name":"e1","url":"http://127.0.0.1:1","domain":"d","kind":"engine",
           "service":"s"})",
       "service: only"},
      {"[]", "document: must be an object"},
  }));
  const auto result = ParseAssignment(row.text);
  INFO(row.text);
  REQUIRE_FALSE(result.ok());
  CHECK_THAT(result.error().message, Catch::Contains(row.expected));
}

TEST_CASE(
    "durations are parsed by unit; malformed and too long ones are rejected") {
  struct Row {
    const char* text;
    int64_t nanoseconds;  ///< -1: rejected
  };
  const auto row = GENERATE(values<Row>({{"1800ms", 1'800'000'000},
                                         {"2s", 2'000'000'000},
                                         {"1.5s", 1'500'000'000},
                                         {"0", 0},
                                         {"24h", -1},
                                         {"1440m", 86'400'000'000'000},
                                         {"1441m", -1},
                                         {"99999999999999m", -1},
                                         {"-1s", -1},
                                         {"1.s", -1},
                                         {"5", -1},
                                         {"s", -1},
                                         {"", -1}}));
  const auto parsed = ParseDuration(row.text);
  INFO(row.text);
  CHECK(parsed.ok() == (row.nanoseconds >= 0));
  if (parsed)
    CHECK(parsed->count() == row.nanoseconds);
}

TEST_CASE("a formatted duration parses back to the same value") {
  rc::prop("round trip", [] {
    const auto count =
        *rc::gen::inRange<int64_t>(0, int64_t{86'400'000'000'000} + 1);
    const auto parsed = ParseDuration(FormatDuration(Duration(count)));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(parsed->count() == count);
  });
}

}  // namespace teaselhill::config
