/// \file
/// Guards against servers of a pool that are counted in the wrong kind or
/// domain, and against reclaims that nobody sees.

#include "teaselhill/gateway/pool_view.h"

#include <catch2/catch.hpp>
#include <utility>

namespace teaselhill::gateway {

namespace {

UpstreamRecord Record(const std::string& id,
                      const std::string& domain,
                      bool reclaimable,
                      bool draining) {
  static uint64_t offset = 0;
  UpstreamEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.domain = domain;
  entry.slots = 12;
  entry.incarnation = 1;
  entry.reclaimable = reclaimable;
  entry.draining = draining;
  return {id, ++offset, entry};
}

}  // namespace

// A reclaim that does not show, or a drained server that counts as present.
TEST_CASE("Pools are listed by domain and kind", "[pool]") {
  RouteConfig config;
  config.services.resize(2);
  config.services[0].name = "s";
  config.services[0].pool = duties::PoolSpec{};
  config.services[0].pool->max_servers = 9;
  config.services[1].name = "t";
  const RouteTable routes(std::move(config));
  CHECK(routes.has_pools());
  UpstreamDirectory directory;
  const TimePoint now{};
  directory.ApplyRecord(Record("1", "a", false, false), now);
  directory.ApplyRecord(Record("2", "a", true, false), now);
  directory.ApplyRecord(Record("3", "b", true, false), now);
  CHECK(directory.TakeChanged());
  directory.ApplyRecord(Record("3", "b", true, true), now);
  directory.ApplyRecord(Record("4", "c", false, true), now);
  CHECK(directory.TakeChanged());
  const auto pools = ListPools(routes, *directory.BuildList());
  REQUIRE(pools.size() == 1);
  CHECK(pools[0].service == "s");
  CHECK(pools[0].spec.max_servers == 9);
  REQUIRE(pools[0].domains.size() == 2);
  CHECK(pools[0].domains[0].domain == "a");
  CHECK(pools[0].domains[0].on_demand == 1);
  CHECK(pools[0].domains[0].reclaimable == 1);
  CHECK(pools[0].domains[0].slots == 24);
  CHECK(pools[0].domains[1].domain == "b");
  CHECK(pools[0].domains[1].reclaimable == 0);
  CHECK(pools[0].domains[1].reclaimed == 1);
}

}  // namespace teaselhill::gateway
