/// \file
/// Guards against hosts that share a limit among too few hosts.

#include "teaselhill/gateway/fleet_size.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

using std::chrono::hours;

static HostRecord Announcement(const std::string& host, Duration age = {}) {
  HostRecord record;
  record.host = host;
  record.age = age;
  return record;
}

TEST_CASE("the largest fleet is assumed until a host is known") {
  FleetSize fleet_size;
  CHECK(fleet_size.hosts() == FleetSize::kMaxHosts);
  fleet_size.OnRecords(
      {Announcement("a"), Announcement("b"), Announcement("a")}, TimePoint{});
  CHECK(fleet_size.hosts() == 2);
}

TEST_CASE("hosts have places in the order of their names") {
  FleetSize fleet_size("b");
  CHECK(fleet_size.position() == FleetPosition{0, FleetSize::kMaxHosts});
  fleet_size.OnRecords(
      {Announcement("c"), Announcement("a"), Announcement("b")}, TimePoint{});
  CHECK(fleet_size.position() == FleetPosition{1, 3});
}

TEST_CASE("a host counts until its last announcement is old") {
  FleetSize fleet_size;
  TimePoint now = TimePoint(hours(10));
  fleet_size.OnRecords({Announcement("gone"), Announcement("restarted"),
                        Announcement("old", hours(5))},
                       now);
  CHECK(fleet_size.hosts() == 2);
  now += hours(2);
  fleet_size.OnRecords({Announcement("restarted")}, now);
  fleet_size.Expire(now);
  CHECK(fleet_size.hosts() == 2);
  // An announcement that is read again does not make the host younger.
  fleet_size.OnRecords({Announcement("gone", hours(2))}, now);
  now += hours(1);
  fleet_size.Expire(now);
  CHECK(fleet_size.hosts() == 1);
}

}  // namespace teaselhill::gateway
