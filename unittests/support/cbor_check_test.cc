/// \file
/// Tests of the check of CBOR from other hosts.

#include "teaselhill/support/cbor_check.h"

#include <catch2/catch.hpp>
#include <string>

namespace teaselhill {

// A message of nested arrays ended the process, since the decoder calls itself
// for each level; one of empty arrays takes up many times its bytes.
TEST_CASE("CBOR that is deeply nested or has very many values is refused") {
  struct Row {
    const char* name;
    std::string bytes;
    bool is_bounded;
  };
  const auto nested = [](size_t depth) {
    return std::string(depth, '\x81') + '\x01';
  };
  const std::string many_values =
      '\x9f' + std::string(kMaxCborValues, '\x80') + '\xff';
  const Row row = GENERATE_COPY(values<Row>({
      {"a number", "\x01", true},
      {"an object", "\xa1\x61k\x01", true},
      {"as deep as allowed", nested(kMaxCborDepth), true},
      {"a level deeper", nested(kMaxCborDepth + 1), false},
      {"a megabyte of levels", nested(1 << 20), false},
      {"a megabyte of open levels", std::string(1 << 20, '\x81'), false},
      {"objects in objects", std::string(4096, '\xa1'), false},
      {"tags of tags", std::string(1 << 20, '\xc1'), false},
      {"as many values as allowed", many_values.substr(0, 1000) + '\xff', true},
      {"too many values", many_values, false},
      {"a string of 4 GB", "\x7a\xff\xff\xff\xff", false},
      {"an array of 4 GB", "\x9a\xff\xff\xff\xff", false},
      {"nothing", "", false},
      {"bytes behind the value", "\x01\x01", false},
  }));
  INFO(row.name);
  CHECK(IsBoundedCbor(row.bytes) == row.is_bounded);
}

}  // namespace teaselhill
