/// \file
/// Tests the answers that the stand-ins and the load generator both compute.

#include "teaselhill/standin/answer.h"

#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>

namespace teaselhill::standin {

TEST_CASE("a lower token limit yields a prefix of the same answer") {
  rc::check("prefix of the uncapped answer", [](const std::string& prompt) {
    const std::vector<Message> messages = {{"user", prompt}};
    const auto cap = *rc::gen::inRange<uint32_t>(1, 400);
    const auto whole = MakeAnswer("m", messages, 1 << 20);
    const auto cut = MakeAnswer("m", messages, cap);
    RC_ASSERT(cut.size() == std::min<size_t>(cap, whole.size()));
    RC_ASSERT(std::equal(cut.begin(), cut.end(), whole.begin()));
  });
}

TEST_CASE("the answer depends on model, role and content") {
  const auto base = MakeAnswer("m", {{"user", "a"}}, 64);
  CHECK(base == MakeAnswer("m", {{"user", "a"}}, 64));
  CHECK(base != MakeAnswer("n", {{"user", "a"}}, 64));
  CHECK(base != MakeAnswer("m", {{"system", "a"}}, 64));
  CHECK(base != MakeAnswer("m", {{"user", "b"}}, 64));
}

TEST_CASE("answer lengths have a heavy-tailed distribution") {
  std::vector<size_t> lengths;
  for (int i = 0; i < 2000; ++i) {
    lengths.push_back(
        MakeAnswer("m", {{"user", std::to_string(i)}}, 1 << 20).size());
  }
  std::sort(lengths.begin(), lengths.end());
  CHECK(lengths[1000] < 40);
  CHECK(lengths[1980] > 400);
}

TEST_CASE(
    "two prompts have equal prefix blocks exactly up to their common prefix") {
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  rc::check("shared prefix", [] {
    const auto shared = *rc::gen::inRange<size_t>(0, 5 * kBlockBytes);
    const std::string common(shared, 'x');
    const auto a = PrefixBlocks("m", common + std::string(kBlockBytes, 'a'));
    const auto b = PrefixBlocks("m", common + std::string(kBlockBytes, 'b'));
    RC_ASSERT(a.size() == b.size());
    for (size_t i = 0; i < a.size(); ++i) {
      RC_ASSERT(a[i].tokens == (i + 1) * kBlockTokens);
      RC_ASSERT((a[i].hash == b[i].hash) == (i < shared / kBlockBytes));
    }
  });
}

}  // namespace teaselhill::standin
