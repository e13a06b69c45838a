#include "teaselhill/load/router_rotation.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace teaselhill::load {
namespace {

struct RotationRow {
  std::string name;
  int failure_threshold;
  std::vector<std::pair<size_t, bool>> checks;
  std::vector<size_t> in_use;
};

// Guards against load runs that continue to send to a frozen router. A real
// balancer removes such a router after two failed checks.
TEST_CASE("consecutive failed checks remove a router from the rotation") {
  const RotationRow row = GENERATE(values<RotationRow>(
      {{"no check yet", 2, {}, {0, 1, 2}},
       {"one failed check", 2, {{1, false}}, {0, 1, 2}},
       {"two failed checks", 2, {{1, false}, {1, false}}, {0, 2}},
       {"failed checks that are not consecutive",
        2,
        {{1, false}, {1, true}, {1, false}},
        {0, 1, 2}},
       {"readmitted after a successful check",
        2,
        {{1, false}, {1, false}, {1, false}, {1, true}},
        {0, 1, 2}},
       {"all routers removed: all are used",
        1,
        {{0, false}, {1, false}, {2, false}},
        {0, 1, 2}},
       {"checks are disabled", 0, {{1, false}, {1, false}}, {0, 1, 2}}}));
  CAPTURE(row.name);
  RouterRotation rotation(3, row.failure_threshold);
  for (const auto& [router, healthy] : row.checks)
    rotation.OnCheck(router, healthy);
  CHECK(rotation.InUse({0, 1, 2}) == row.in_use);
}

}  // namespace
}  // namespace teaselhill::load
