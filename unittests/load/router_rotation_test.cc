#include "teaselhill/load/router_rotation.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace teaselhill::load {
namespace {

struct RotationRow {
  std::string name;
  int most_misses;
  std::vector<std::pair<size_t, bool>> checks;
  std::vector<size_t> in_use;
};

// Guards against load runs that go on sending to a frozen router, which a real
// balancer leaves out after two failed checks.
TEST_CASE("a router leaves the rotation after failed checks in a row") {
  const RotationRow row = GENERATE(values<RotationRow>(
      {{"no check yet", 2, {}, {0, 1, 2}},
       {"one miss", 2, {{1, false}}, {0, 1, 2}},
       {"two misses", 2, {{1, false}, {1, false}}, {0, 2}},
       {"misses not in a row",
        2,
        {{1, false}, {1, true}, {1, false}},
        {0, 1, 2}},
       {"back after a good check",
        2,
        {{1, false}, {1, false}, {1, false}, {1, true}},
        {0, 1, 2}},
       {"all out: all are used",
        1,
        {{0, false}, {1, false}, {2, false}},
        {0, 1, 2}},
       {"checks are off", 0, {{1, false}, {1, false}}, {0, 1, 2}}}));
  CAPTURE(row.name);
  RouterRotation rotation(3, row.most_misses);
  for (const auto& [router, good] : row.checks)
    rotation.OnCheck(router, good);
  CHECK(rotation.InUse({0, 1, 2}) == row.in_use);
}

}  // namespace
}  // namespace teaselhill::load
