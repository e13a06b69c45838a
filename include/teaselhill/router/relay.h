/// \file
/// Relays the answer of one request from its upstream attempts to its caller.

#ifndef TEASELHILL_ROUTER_RELAY_H_
#define TEASELHILL_ROUTER_RELAY_H_

#include <map>
#include <memory>
#include <string>

#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/net/memory_budget.h"
#include "teaselhill/router/answer.h"
#include "teaselhill/router/ports.h"

namespace teaselhill::router {

/// The caller's request as it is sent to an upstream or to another host.
struct OutgoingRequest {
  std::string method = "POST";
  std::string target;  ///< path and query at an upstream
  std::string body;
  net::Headers headers;  ///< passed through to a plain service
  /// Original path, headers and body, for forwarding to another host.
  std::string caller_target;
  std::string caller_body;
  net::Headers caller_headers;
};

/// Services of the traffic thread that its relays use.
struct RelayContext {
  net::HttpClient* client = nullptr;
  ControlPort* control = nullptr;
  /// Secret shared by all hosts, which authenticates a forwarded request.
  std::string host_secret;
  std::string source_address;
  /// Bound on what the relays of the thread hold of unfinished answers; null:
  /// none.
  net::MemoryBudget* budget = nullptr;
};

/// Relays one request; confined to one traffic thread. A hedged request has
/// several concurrent attempts, of which the first that delivers a token is
/// relayed.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(const RelayContext& context,
        RequestInfo info,
        OutgoingRequest outgoing,
        std::shared_ptr<net::ResponseWriter> response,
        bool store_answer);
  ~Relay();

  void StartAttempt(const AttemptCommand& command);
  void CancelAttempt(int attempt);

  /// Goes on with an attempt that was paused for its replacement. Must not be
  /// called while the client delivers data.
  void ResumeAttempt(int attempt);
  void Fail(const Error& error, Duration retry_after);
  void Replay(const StoredAnswer& answer);

  /// Stops writing to the caller; running attempts continue.
  void DetachCaller();

  const RequestInfo& info() const { return info_; }

  /// Appends the token counts since the last call to `out`.
  void CollectProgress(std::vector<TokenProgress>* out);

  /// Whether the final answer has been written.
  bool finished() const { return finished_; }

 private:
  class Attempt;

  net::ClientRequest BuildRequest(const AttemptCommand& command) const;
  /// Pauses an attempt while its replacement may still fail.
  void PauseReplacedAttempt(int attempt);
  /// Cancels the paused attempt, if there is one, because its replacement goes
  /// on. The control thread may send its command too late: a relay is removed
  /// soon after its answer.
  void CancelReplacedAttempt();
  bool TrySelectAttempt(int attempt);
  void OnEngineData(Attempt& attempt, std::string_view data);
  /// Ends an attempt whose stream cannot be relayed any further.
  void EndBrokenStream(Attempt& attempt, const Error& error);
  void OnEngineDone(Attempt& attempt);
  void OnForwardedData(Attempt& attempt, std::string_view data);
  void OnBodyData(Attempt& attempt, std::string_view data);
  void OnForwardedHead(Attempt& attempt);
  void OnPlainEnd(Attempt& attempt);
  void OnAttemptEnd(Attempt& attempt, const net::TransferEnd& end);
  void ReportEnd(Attempt& attempt, AttemptEnd end);
  void PauseForSlowCaller(Attempt& attempt);
  size_t HeldBytes() const;
  void CountHeldBytes();
  void OpenAccount();
  /// Drops what is held of the answer, since it is the largest one. Its attempt
  /// ends, so that the coordinator can retry it.
  void GiveWay();

  RelayContext context_;
  RequestInfo info_;
  OutgoingRequest outgoing_;
  std::shared_ptr<net::ResponseWriter> response_;
  bool store_answer_;
  std::map<int, std::shared_ptr<Attempt>> attempts_;
  int selected_attempt_ = -1;
  AnswerWriter answer_;
  bool finished_ = false;
  std::unique_ptr<net::MemoryBudget::Account> account_;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_ROUTER_RELAY_H_
