/// \file
/// Guards the registry: plug-ins register themselves, unknown names are named.

#include "teaselhill/kernel/registry.h"

#include <catch2/catch.hpp>

namespace teaselhill::kernel {

namespace {

class Shape {
 public:
  virtual ~Shape() = default;
  virtual int corners() const = 0;
};

class Polygon : public Shape {
 public:
  explicit Polygon(int corners) : corners_(corners) {}
  int corners() const override { return corners_; }

 private:
  int corners_;
};

const Registration<Shape, int> registration("polygon", [](int corners) {
  return std::make_unique<Polygon>(corners);
});

}  // namespace

TEST_CASE("a plug-in is created by its name with its arguments") {
  auto created = Registry<Shape, int>::Instance().Create("polygon", 5);
  REQUIRE(created.ok());
  CHECK((*created)->corners() == 5);
}

TEST_CASE("an unknown name is refused and the known ones are listed") {
  const auto created = Registry<Shape, int>::Instance().Create("circle", 0);
  REQUIRE_FALSE(created.ok());
  CHECK(created.error().code == ResultCode::kSettingInvalid);
  CHECK(created.error().message == "no plug-in 'circle', known: polygon");
}

}  // namespace teaselhill::kernel
