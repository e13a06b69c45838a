/// \file
/// Deterministic answers of the stand-ins.

#include "teaselhill/standin/answer.h"

#include <algorithm>
#include <cmath>

#include "teaselhill/support/hash.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::standin {

namespace {

/// Parameters of the Pareto distribution of answer lengths in tokens. The mean
/// is 96 tokens.
constexpr double kMinAnswerTokens = 16;
constexpr double kParetoExponent = 1.2;

/// Upper limit, since the Pareto distribution is unbounded.
constexpr double kMaxAnswerTokens = 16384;

size_t DrawAnswerTokens(Rng& rng) {
  const double draw =
      kMinAnswerTokens * std::pow(1.0 - rng.Uniform(), -1.0 / kParetoExponent);
  return static_cast<size_t>(std::min(draw, kMaxAnswerTokens));
}

std::string DrawToken(Rng& rng) {
  static constexpr char kLetters[] = "abcdefghijklmnopqrstuvwxyz";
  uint64_t bits = rng.Next();
  std::string token(3 + bits % 4, ' ');
  bits >>= 8;
  for (size_t i = 1; i < token.size(); ++i, bits /= 26)
    token[i] = kLetters[bits % 26];
  return token;
}

}  // namespace

std::string PromptText(const std::vector<Message>& messages) {
  std::string text;
  for (const Message& message : messages) {
    text += message.role;
    text += ": ";
    text += message.content;
    text += '\n';
  }
  return text;
}

std::vector<std::string> MakeAnswer(std::string_view model,
                                    const std::vector<Message>& messages,
                                    uint32_t max_tokens) {
  Rng rng(Hash64(PromptText(messages), Hash64(model)));
  const size_t length =
      std::max<size_t>(1, std::min<size_t>(DrawAnswerTokens(rng), max_tokens));
  std::vector<std::string> tokens;
  tokens.reserve(length);
  while (tokens.size() < length)
    tokens.push_back(DrawToken(rng));
  return tokens;
}

std::string MakeServiceAnswer(std::string_view method, std::string_view body) {
  Rng rng(Hash64(body, Hash64(method)));
  std::string answer = "{\"result\":\"";
  const size_t words = 8 + rng.Below(56);
  for (size_t i = 0; i < words; ++i)
    answer += DrawToken(rng);
  return answer + "\"}";
}

uint32_t CountTokens(std::string_view text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<PrefixBlock> PrefixBlocks(std::string_view model,
                                      std::string_view prompt) {
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::vector<PrefixBlock> blocks;
  uint64_t hash = Hash64(model);
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    hash = Hash64(prompt.substr(end - kBlockBytes, kBlockBytes), hash);
    blocks.push_back({hash, static_cast<uint32_t>(end / kBytesPerToken)});
  }
  return blocks;
}

}  // namespace teaselhill::standin
