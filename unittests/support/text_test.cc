/// \file
/// Guards against text of other processes that JSON, a header or the log cannot
/// hold.

#include "teaselhill/support/text.h"

#include <catch2/catch.hpp>
#include <string>

namespace teaselhill {

TEST_CASE("text of other processes is checked and made valid") {
  struct Row {
    const char* name;
    std::string text;
    bool is_printable;
    std::string valid;
  };
  const std::string replaced = "\xef\xbf\xbd";
  const Row row = GENERATE_COPY(values<Row>({
      {"ASCII", "i-7f3a91c2", true, "i-7f3a91c2"},
      {"empty", "", false, ""},
      {"UTF-8", "b\xc3\xbcro \xf0\x9f\x98\x80", true,
       "b\xc3\xbcro \xf0\x9f\x98\x80"},
      {"Latin-1", "b\xfcro-1", false, "b" + replaced + "ro-1"},
      {"replaced before", "b" + replaced, false, "b" + replaced},
      {"line end", "a\r\nX-Tenant: b", false, "a\r\nX-Tenant: b"},
      {"NUL", std::string("a\0b", 3), false, std::string("a\0b", 3)},
      {"DEL", "a\x7f", false, "a\x7f"},
      {"overlong slash", "\xc0\xaf", false, replaced + replaced},
      {"overlong of three", "\xe0\x80\xaf", false,
       replaced + replaced + replaced},
      {"surrogate", "\xed\xa0\x80", false, replaced + replaced + replaced},
      {"past the last character", "\xf4\x90\x80\x80", false,
       replaced + replaced + replaced + replaced},
      {"cut off", "a\xe2\x82", false, "a" + replaced + replaced},
  }));
  INFO(row.name);
  CHECK(IsPrintableText(row.text) == row.is_printable);
  CHECK(ReplaceInvalidUtf8(row.text) == row.valid);
}

}  // namespace teaselhill
