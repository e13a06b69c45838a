/// \file
/// The answers of the stand-ins as pure functions of the request.

#ifndef TEASELHILL_STANDIN_ANSWER_H_
#define TEASELHILL_STANDIN_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhill::standin {

struct Message {
  std::string role;
  std::string content;
};

/// A prompt prefix that ends on a block boundary.
struct PrefixBlock {
  uint64_t hash = 0;    ///< covers the model and the prompt up to this block
  uint32_t tokens = 0;  ///< prompt tokens up to the end of this block
};

/// Bytes of prompt text that count as one token.
constexpr uint32_t kBytesPerToken = 4;

/// Prompt tokens in one block of the prefix cache.
constexpr uint32_t kBlockTokens = 64;

/// Returns the tokens of the answer, at least one. The length has a heavy tail
/// and is capped by `max_tokens`; a lower cap gives a prefix of the answer.
std::vector<std::string> MakeAnswer(std::string_view model,
                                    const std::vector<Message>& messages,
                                    uint32_t max_tokens);

/// Returns the body a plain service answers. The path is left out, because a
/// router may strip a prefix from it.
std::string MakeServiceAnswer(std::string_view method, std::string_view body);

/// Joins roles and contents to the text that is counted and hashed.
std::string PromptText(const std::vector<Message>& messages);

uint32_t CountTokens(std::string_view text);

/// Returns the full blocks of `prompt` (see PromptText()). Block k's hash is
/// Hash64(bytes of block k, seed: hash of block k-1); the first block's seed is
/// Hash64(model).
std::vector<PrefixBlock> PrefixBlocks(std::string_view model,
                                      std::string_view prompt);

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_ANSWER_H_
