/// \file
/// State of one attempt of a relay, private to the relay.

#ifndef TEASELHILL_LIB_ROUTER_RELAY_ATTEMPT_H_
#define TEASELHILL_LIB_ROUTER_RELAY_ATTEMPT_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "teaselhill/router/relay.h"
#include "teaselhill/router/sse.h"

namespace teaselhill::router {

/// One attempt of the request. Forwards the events of its transfer to the
/// relay.
class Relay::Attempt : public net::TransferHandler {
 public:
  Attempt(std::shared_ptr<Relay> relay, const AttemptCommand& command)
      : relay_(std::move(relay)), command_(command) {}

  void OnHead(int status, const net::Headers& headers) override;
  void OnData(std::string_view data) override;
  void OnEnd(const net::TransferEnd& end) override;

  bool IsPlain() const;
  bool IsEngineStream() const;

  /// Bytes of the answer that have not been passed on.
  size_t held_bytes() const { return body_.size() + splitter_.held_bytes(); }

  std::shared_ptr<Relay> relay_;
  AttemptCommand command_;
  net::TransferId transfer_ = 0;
  SseSplitter splitter_;
  int status_ = 0;
  net::Headers headers_;
  std::string body_;
  uint64_t tokens_ = 0;
  uint32_t unreported_tokens_ = 0;
  bool passes_through_ = false;
  bool ended_ = false;
  bool paused_ = false;    ///< for a slow caller
  bool replaced_ = false;  ///< paused, since another attempt replaces it
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_LIB_ROUTER_RELAY_ATTEMPT_H_
