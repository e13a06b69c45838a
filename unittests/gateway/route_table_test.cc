/// \file
/// Guards against a request that gets the wrong route, team or service.

#include "teaselhill/gateway/route_table.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

RouteTable MakeTable() {
  RouteConfig config;
  config.version = 3;
  config.routes = {MakeRoute("a.example", "/"), MakeRoute("a.example", "/x/"),
                   MakeRoute("a.example", "/x/y/"),
                   MakeRoute("b.example", "/x/")};
  config.teams = {{"crew", {"k1", "k2"}, 1}, {"office", {"k3"}, std::nullopt}};
  config.services = {{"s", true}};
  return RouteTable(std::move(config));
}

}  // namespace

TEST_CASE(
    "the route of the host with the longest matching path prefix is selected") {
  struct Row {
    const char* host;
    const char* path;
    const char* route;  ///< null: none
  };
  const Row row = GENERATE(values<Row>({
      {"a.example", "/", "a.example/"},
      {"a.example", "/x", "a.example/"},
      {"a.example", "/x/", "a.example/x/"},
      {"A.Example:8740", "/x/z", "a.example/x/"},
      {"a.example", "/x/y/z", "a.example/x/y/"},
      {"b.example", "/x/y/z", "b.example/x/"},
      {"b.example", "/y", nullptr},
      {"b.example", "", nullptr},
      {"c.example", "/x/", nullptr},
  }));
  CAPTURE(row.host, row.path);
  const RouteTable table = MakeTable();
  const Route* route = table.FindRoute(row.host, row.path);
  REQUIRE((route != nullptr) == (row.route != nullptr));
  if (route)
    CHECK(route->name == row.route);
}

TEST_CASE("an API key is found only by its full text and identifies its team") {
  const RouteTable table = MakeTable();
  REQUIRE(table.FindTeam("k2"));
  CHECK(table.FindTeam("k2")->name == "crew");
  CHECK(table.FindTeam("k3")->name == "office");
  CHECK_FALSE(table.FindTeam("k"));
  CHECK_FALSE(table.FindTeam(""));
}

// Guards urgent drafts of a team against waiting behind less urgent requests of
// the same team.
TEST_CASE("requests are ordered by team tier, then by route tier") {
  CHECK(CombineTiers(0, 0) < CombineTiers(0, 1));
  CHECK(CombineTiers(0, 2) < CombineTiers(1, 0));
  CHECK(CombineTiers(1, 0) < CombineTiers(1, 1));
  CHECK(CombineTiers(0, 7) < CombineTiers(1, 0));
  CHECK(CombineTiers(std::nullopt, 1) == CombineTiers(0, 1));
}

TEST_CASE("the requests of a route are split between its services by weight") {
  Route route;
  route.services = {{"old", 90}, {"new", 10}};
  struct Row {
    double sample;
    const char* service;
  };
  const Row row = GENERATE(
      values<Row>({{0, "old"}, {0.89, "old"}, {0.91, "new"}, {0.999, "new"}}));
  CHECK(PickService(route, row.sample) == row.service);
}

// Guards streams that are taken for more urgent than others without a reason,
// so that engines are set apart for them.
TEST_CASE("urgent streams are those of the first of several tiers") {
  struct Row {
    const char* routes;
    RouteKind second_kind;
    Tier second_tier;
    std::chrono::milliseconds first_gap_target;
    bool has_urgent;
  };
  using std::chrono::milliseconds;
  const Row row = GENERATE(values<Row>({
      {"two tiers of streams", RouteKind::kStream, 1, milliseconds(250), true},
      {"one tier", RouteKind::kStream, 0, milliseconds(250), false},
      {"no target for pauses", RouteKind::kStream, 1, milliseconds(0), false},
      {"no other streams", RouteKind::kIdempotent, 1, milliseconds(250), false},
  }));
  INFO(row.routes);
  RouteConfig config;
  Route urgent;
  urgent.kind = RouteKind::kStream;
  urgent.event_gap_target = row.first_gap_target;
  urgent.services = {{"llm", 1}};
  Route second = urgent;
  second.kind = row.second_kind;
  second.tier = row.second_tier;
  second.event_gap_target = milliseconds(400);
  config.routes = {urgent, second};
  const RouteTable table(config);
  CHECK(table.UrgentStreamTier("llm").has_value() == row.has_urgent);
  CHECK(table.UrgentStreamTier("llm").value_or(0) == 0);
  CHECK_FALSE(table.UrgentStreamTier("other").has_value());
}

}  // namespace teaselhill::gateway
