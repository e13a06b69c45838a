/// \file
/// Guards log lines against invalid JSON.

#include "teaselhill/support/logger.h"

#include <catch2/catch.hpp>

namespace teaselhill {

TEST_CASE("strings from callers cannot break a log line") {
  struct Row {
    std::string input;
    std::string expected;
  };
  const auto row = GENERATE(values<Row>({
      {"plain", "\"plain\""},
      {"quote\" and \\", "\"quote\\\" and \\\\\""},
      {"line\nbreak\t", "\"line\\nbreak\\u0009\""},
      {"\xff\xc3", "\"\\ufffd\\ufffd\""},
      {"caf\xc3\xa9", "\"caf\xc3\xa9\""},
  }));
  std::string written;
  AppendJsonString(row.input, &written);
  CHECK(written == row.expected);
}

TEST_CASE("numbers that JSON cannot hold are written as null") {
  LogLine line(LogLevel::kInfo, "test");
  line.Field("ratio", std::numeric_limits<double>::infinity());
  CHECK(line.Finish() == R"({"event":"test","level":"info","ratio":null})");
}

}  // namespace teaselhill
