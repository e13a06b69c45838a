/// \file
/// JSON messages that the load generator exchanges with routers.

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
  std::string error_outcome;  ///< empty if the event is not an error event
  bool finished = false;      ///< the event has a finish reason
};

/// Parses the payload of one event of a streamed answer. Returns nothing if the
/// payload is neither an answer chunk nor an error event.
std::optional<StreamEvent> ReadStreamEvent(std::string_view payload);

/// Returns the content of a chat answer that is not streamed, or nothing if
/// `body` is malformed.
std::optional<std::string> ReadChatContent(std::string_view body);

/// Returns the idempotency token in the answer to `POST /v1/tokens`, or nothing
/// if `body` is malformed.
std::optional<std::string> ReadToken(std::string_view body);

/// Returns the body of a chat request.
std::string ChatBody(const std::string& model,
                     const std::string& prompt,
                     uint32_t max_tokens,
                     bool streamed);

}  // namespace teaselhill::load

#endif  // TEASELHILL_LOAD_JSON_H_
