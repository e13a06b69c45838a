/// \file
/// Entry point of every unit test binary.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
