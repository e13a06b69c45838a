/// \file
/// Guards against a configuration that is refused, or a server that is not
/// used, because of what is said of the size of a pool.

#include <catch2/catch.hpp>
#include <string>

#include "platform/decode.h"

namespace platform {

namespace {

using std::chrono::milliseconds;

std::string Config(const std::string& scale) {
  return R"({"version":7,"routes":[],"services":[{"name":"a","engine":{})" +
         (scale.empty() ? "" : ",\"scale\":" + scale) + "}]}";
}

std::string Entry(const std::string& state, const std::string& more) {
  return R"({"service":"a","addr":"10.0.0.9:80","zone":"z","version":"v1",
    "slots":64,"state":")" +
         state + "\"" + more + "}";
}

}  // namespace

// Bounds or prices that are mistaken for others.
TEST_CASE("The pool of a service is read", "[pool]") {
  const auto config = DecodeConfig(Config(
      R"({"min":1,"max":76,"bootS":4.5,"spotPrice":0.18,
          "zonePrices":{"x":0.85,"y":1.2}})"));
  REQUIRE(config.ok());
  CHECK(config->warnings.empty());
  REQUIRE(config->services[0].pool);
  const auto& pool = *config->services[0].pool;
  CHECK(pool.min_servers == 1);
  CHECK(pool.max_servers == 76);
  CHECK(pool.boot_time == milliseconds(4500));
  CHECK(pool.reclaimable_price == 0.18);
  CHECK(pool.PriceIn("x") == 0.85);
  CHECK(pool.PriceIn("z") == 1);
}

// A fault in one field that stops all routes.
TEST_CASE("A service whose pool cannot be read is served", "[pool]") {
  const std::string scale = GENERATE(
      R"([])", R"(7)", R"({})", R"({"min":1,"max":"76","bootS":4})",
      R"({"min":5,"max":4,"bootS":4})", R"({"min":-1,"max":4,"bootS":4})",
      R"({"min":0,"max":0,"bootS":4})", R"({"min":1,"max":4})",
      R"({"min":1,"max":4,"bootS":-1})", R"({"min":1,"max":4,"bootS":1e300})",
      R"({"min":1,"max":4,"bootS":4,"spotPrice":-1})",
      R"({"min":1,"max":4,"bootS":4,"spotPrice":"x"})",
      R"({"min":1,"max":4,"bootS":4,"zonePrices":[1]})",
      R"({"min":1,"max":4,"bootS":4,"zonePrices":{"x":"1"}})");
  CAPTURE(scale);
  const auto config = DecodeConfig(Config(scale));
  REQUIRE(config.ok());
  REQUIRE(config->services.size() == 1);
  CHECK_FALSE(config->services[0].pool);
  CHECK(config->warnings.size() == 1);
}

// A deployment without pools that gets one.
TEST_CASE("A service without bounds has no pool", "[pool]") {
  const std::string scale = GENERATE("", "null");
  const auto config = DecodeConfig(Config(scale));
  REQUIRE(config.ok());
  CHECK_FALSE(config->services[0].pool);
  CHECK(config->warnings.empty());
}

// A reclaim that is not recognised, or an absurd time that overflows.
TEST_CASE("Reclaimable servers are recognised", "[pool]") {
  const auto plain = DecodeEntry("i", Entry("ready", ""));
  REQUIRE(plain.ok());
  CHECK_FALSE(plain->reclaimable);
  CHECK_FALSE(plain->leaves_in);
  const auto leaving =
      DecodeEntry("i", Entry("draining", R"(,"spot":true,"leaves_ms":1900)"));
  REQUIRE(leaving.ok());
  CHECK(leaving->reclaimable);
  CHECK(leaving->draining);
  CHECK(leaving->leaves_in == milliseconds(1900));
  const auto absurd =
      DecodeEntry("i", Entry("draining", R"(,"spot":true,"leaves_ms":1e300)"));
  REQUIRE(absurd.ok());
  CHECK(absurd->leaves_in <= std::chrono::hours(1));
}

}  // namespace platform
