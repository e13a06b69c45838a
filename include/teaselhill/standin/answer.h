/// \file
/// Computes the answers of the stand-ins as pure functions of the request.

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

/// A prompt prefix that ends on a block boundary of the prefix cache.
struct PrefixBlock {
  /// Hash of the model and the prompt up to the end of this block.
  uint64_t hash = 0;
  uint32_t tokens = 0;  ///< prompt tokens up to the end of this block
};

/// Bytes of prompt text that count as one token.
constexpr uint32_t kBytesPerToken = 4;

/// Prompt tokens in one block of the prefix cache.
constexpr uint32_t kBlockTokens = 64;

/// Returns the tokens of the answer, at least one token. The answer length has
/// a heavy-tailed distribution and is capped at `max_tokens`. A lower cap
/// returns a prefix of the same answer.
std::vector<std::string> MakeAnswer(std::string_view model,
                                    const std::vector<Message>& messages,
                                    uint32_t max_tokens);

/// Returns the response body of a plain service. The result does not depend on
/// the request path, because a router may strip a prefix from the path.
std::string MakeServiceAnswer(std::string_view method, std::string_view body);

/// Returns the roles and contents joined to one text, from which token counts
/// and hashes are computed.
std::string PromptText(const std::vector<Message>& messages);

uint32_t CountTokens(std::string_view text);

/// Returns the full blocks of `prompt` (see PromptText()). The hash of block k
/// is Hash64(bytes of block k, seed: hash of block k-1). The seed of the first
/// block is Hash64(model).
std::vector<PrefixBlock> PrefixBlocks(std::string_view model,
                                      std::string_view prompt);

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_ANSWER_H_
