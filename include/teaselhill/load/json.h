/// \file
/// Small JSON readers used on the answer path.

#ifndef TEASELHILL_LOAD_JSON_H_
#define TEASELHILL_LOAD_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhill::load {

/// Payload of one event of a streamed answer.
struct StreamEvent {
  std::string content;
  std::string error_outcome;  ///< outcome of an error event
  bool finished = false;      ///< carries a finish reason
};

/// Returns nothing for a payload that is neither a chunk nor an error.
std::optional<StreamEvent> ReadStreamEvent(std::string_view payload);

/// Returns the content of a whole chat answer.
std::optional<std::string> ReadChatContent(std::string_view body);

/// Returns the token in the answer to `POST /v1/tokens`.
std::optional<std::string> ReadToken(std::string_view body);

/// Returns the body of a chat request.
std::string ChatBody(const std::string& model,
                     const std::string& prompt,
                     uint32_t max_tokens,
                     bool streamed);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_JSON_H_
