/// \file
/// Guards the result code table and its documentation against drifting apart.

#include "teaselhill/support/result.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace teaselhill {

static std::string DocumentedTable() {
  std::ifstream file(TEASELHILL_SOURCE_DIR "/docs/result-codes.md");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("every result code has its row in docs/result-codes.md") {
  const std::string page = DocumentedTable();
  size_t rows = 0;
  for (size_t at = page.find("\n| "); at != std::string::npos;
       at = page.find("\n| ", at + 1)) {
    rows += page[at + 3] >= '0' && page[at + 3] <= '9';
  }
  CHECK(rows == AllResultCodes().size());
  for (const ResultCodeInfo& info : AllResultCodes()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
        << info.http_status << " | " << OutcomeName(info.outcome) << " | "
        << info.description << " |";
    INFO(row.str());
    CHECK(page.find(row.str()) != std::string::npos);
  }
}

TEST_CASE("result codes are unique and ascending") {
  const auto& table = AllResultCodes();
  for (size_t i = 1; i < table.size(); ++i)
    CHECK(table[i - 1].code < table[i].code);
}

}  // namespace teaselhill
