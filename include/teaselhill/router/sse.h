/// \file
/// Cuts a server-sent event stream into whole events and counts tokens.

#ifndef TEASELHILL_ROUTER_SSE_H_
#define TEASELHILL_ROUTER_SSE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "teaselhill/support/result.h"

namespace teaselhill::router {

/// Only whole events are passed on, so that a broken stream can be resumed at
/// the exact token where the caller's answer stands.
class SseSplitter {
 public:
  /// What one piece of the stream held.
  struct Batch {
    std::string events;  ///< whole events, ready to pass on, without `[DONE]`
    uint32_t tokens = 0;
    bool done = false;  ///< `data: [DONE]` has arrived
  };

  /// Adds data. kProtocolError: an event exceeds the size limit.
  Result<Batch> Feed(std::string_view data);

  uint64_t total_tokens() const { return total_tokens_; }

 private:
  std::string rest_;
  uint64_t total_tokens_ = 0;
  bool done_ = false;
};

/// Whether the event carries a non-empty `content`, which is one token.
bool CarriesToken(std::string_view event);

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_SSE_H_
