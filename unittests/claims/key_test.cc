/// \file
/// Guards against forged tokens, wrong key ages and log records that change
/// when they are encoded and decoded.

#include "teaselhill/claims/key.h"

#include <catch2/catch.hpp>

#include "teaselhill/claims/messages.h"

namespace teaselhill::claims {

TEST_CASE("malformed keys and forged tokens are rejected") {
  const std::string token = FormatToken("brazos", {"host.a", 7}, 3, "secret");
  std::string forged = token;
  forged.replace(forged.find(".3."), 3, ".4.");
  const auto [customer, text, ok] =
      GENERATE_COPY(table<std::string, std::string, bool>({
          {"brazos", token, true},
          {"punjab", token, false},  // issued to another customer
          {"brazos", forged, false},
          {"brazos", "thk1.", false},
          {"brazos", "018bcfe5-6800-7000-8000-000000000001", true},
          {"brazos", "018BCFE5-6800-7000-8000-000000000001", true},
          {"brazos", "018bcfe5-6800-4000-8000-000000000001", false},
          {"brazos", "018bcfe5-6800-7000-c000-000000000001", false},
          {"brazos", "018bcfe5-68000-700-8000-000000000001", false},
          {"brazos", "", false},
      }));
  INFO(text);
  CHECK(ParseKey(customer, text, "secret").ok() == ok);
}

// If the hashes were equal, one customer would get the answer to the other
// customer's request.
TEST_CASE("the same key text of two customers gives different keys") {
  const std::string text = "018bcfe5-6800-7000-8000-000000000001";
  const auto a = ParseKey("brazos", text, "s");
  const auto b = ParseKey("punjab", text, "s");
  REQUIRE(a.ok());
  REQUIRE(b.ok());
  CHECK_FALSE(std::get<UuidKey>(*a).hash == std::get<UuidKey>(*b).hash);
}

TEST_CASE("parsing returns a token's issuer and number and a UUID's time") {
  const auto token =
      ParseKey("c", FormatToken("c", {"host.a", 7}, 3, "s"), "s");
  REQUIRE(token.ok());
  CHECK(std::get<TokenKey>(*token).issuer == HostIncarnation{"host.a", 7});
  CHECK(std::get<TokenKey>(*token).number == 3);
  const auto uuid = ParseKey("c", "018bcfe5-6800-7000-8000-000000000001", "s");
  REQUIRE(uuid.ok());
  CHECK(std::get<UuidKey>(*uuid).time.time_since_epoch().count() ==
        0x018bcfe56800);
}

TEST_CASE("a batch round-trips through JSON; a damaged batch fails to decode") {
  ClaimBatch batch;
  batch.holder = {"a", 2};
  batch.number = 9;
  batch.claims = {{{1, 2}, ~uint64_t{0}, WallTime(std::chrono::seconds(5)), 4}};
  batch.releases = {{{3, 4}, 11}};
  const std::string text = EncodeBatch(batch);
  const auto read = DecodeBatch(text);
  REQUIRE(read.ok());
  CHECK(EncodeBatch(*read) == text);
  CHECK(read->claims[0].body_hash == ~uint64_t{0});
  CHECK(read->releases[0].claim_offset == 11);
  CHECK_FALSE(DecodeBatch(text.substr(0, text.size() / 2)).ok());
  CHECK_FALSE(DecodeBatch("{}").ok());
}

}  // namespace teaselhill::claims
