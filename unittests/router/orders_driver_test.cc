/// \file
/// Guards against a failure domain in which no host ever acquires the order
/// lease, and against orders to load a model that an engine has already loaded.

#include "teaselhill/router/orders_driver.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace teaselhill::router {

namespace {

/// A log that answers each call at once and stores all records.
class InstantLog : public services::LogClient {
 public:
  void Append(const std::string&,
              std::vector<std::string> added,
              services::AppendCallback callback) override {
    const LogOffset first = records.size() + 1;
    records.insert(records.end(), added.begin(), added.end());
    callback(first);
  }

  void Read(const services::LogRead& read,
            services::ReadCallback callback) override {
    services::LogPage page;
    page.first_retained = 1;
    page.next_offset = records.size() + 1;
    for (LogOffset at = std::max<LogOffset>(read.from, 1); at <= records.size();
         ++at)
      page.records.push_back({at, {}, records[at - 1]});
    callback(page);
  }

  std::vector<std::string> records;
};

}  // namespace

TEST_CASE("host acquires the order lease of a domain without a holder") {
  InstantLog log;
  ManualTimerService timers;
  Rng rng{1};
  NullLogger logger;
  OrdersContext context;
  context.self = {"h1", 1};
  context.domain = "d1";
  context.log = &log;
  context.timers = &timers;
  context.rng = &rng;
  context.logger = &logger;
  OrdersDriver driver(context);
  driver.Start();
  for (int i = 0; i < 40; ++i)
    timers.Advance(std::chrono::milliseconds(500));
  CHECK(driver.holds_lease());
}

TEST_CASE("engine state lists ready models and a load in progress") {
  const auto state =
      ParseEngineState("e1", R"({"fencing":2,"role":"mixed","models":[
        {"name":"clause","state":"ready","adapters":[],"version":""},
        {"name":"sheet","state":"loading","adapters":[],"version":""}]})");
  REQUIRE(state.ok());
  CHECK(state->models == std::vector<std::string>{"clause"});
  CHECK(state->loading);
  CHECK_FALSE(ParseEngineState("e1", R"({"models":[{}]})").ok());
  CHECK_FALSE(ParseEngineState("e1", R"({"models":3})").ok());
}

}  // namespace teaselhill::router
