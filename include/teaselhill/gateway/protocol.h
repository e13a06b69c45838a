/// \file
/// Interfaces through which the gateway speaks with callers and upstreams, and
/// learns configuration and upstreams. An adapter implements them.

#ifndef TEASELHILL_GATEWAY_PROTOCOL_H_
#define TEASELHILL_GATEWAY_PROTOCOL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/gateway/route_table.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// A part of a prompt that requests may share.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// What the headers of a caller's request say.
struct CallerRequest {
  std::string id;                        ///< of this attempt of the caller
  std::string host;                      ///< name that selects the route
  std::string key;                       ///< empty: none
  Duration deadline{};                   ///< zero: none
  std::optional<uint64_t> resume_after;  ///< event id that the caller has
  std::vector<PromptPart> prompt;        ///< in order; the last is its own
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
};

/// The caller's side.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// kBadHeader names the header that cannot be read.
  virtual Result<CallerRequest> Read(const net::HttpRequest& request) const = 0;

  /// Headers of an answer that the gateway gives itself. `retry_after` is
  /// stated when the error means "not run".
  virtual net::Headers ErrorHeaders(const Error& error,
                                    Duration retry_after) const = 0;
};

/// One send of a request.
struct SendOrder {
  UpstreamEntry upstream;
  std::string team;      ///< empty: the route is anonymous
  Duration time_left{};  ///< of the deadline
  Tier tier = 0;
  bool engine = false;
  std::optional<uint64_t> resume_after;
};

/// What the head of an upstream's answer means.
enum class HeadKind {
  kAnswer,         ///< the upstream's answer, good or failed
  kNotRun,         ///< refused without running
  kWrongUpstream,  ///< another upstream has the address; not run
  kForeign,        ///< no answer to this request
  kUnsafeStatus,   ///< a status that would promise "not run" without saying so
};

struct AnswerHead {
  HeadKind kind = HeadKind::kForeign;
  int status = 0;
  bool success = false;
  bool events = false;   ///< an event stream
  net::Headers headers;  ///< to pass on
  Duration retry_after{};
};

/// What an engine reports of its load. It describes a moment some hundred
/// milliseconds ago.
struct LoadReport {
  int queued = 0;   ///< requests that wait
  int running = 0;  ///< requests in the batch
};

/// The upstream's side.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;
  virtual net::ClientRequest Build(const net::HttpRequest& request,
                                   const CallerRequest& caller,
                                   const SendOrder& order) const = 0;
  virtual AnswerHead ReadHead(int status,
                              const net::Headers& headers,
                              const CallerRequest& caller) const = 0;

  /// Asks an engine for its load; kProtocolError: the answer is no report.
  virtual net::ClientRequest BuildReport(
      const UpstreamEntry& upstream) const = 0;
  virtual Result<LoadReport> ReadReport(
      const net::ClientResponse& response) const = 0;
};

/// Delivers configuration versions and the entries of upstreams. Works on one
/// event loop; calls its handler on the loop's thread.
class StateSource {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnConfig(std::shared_ptr<const RouteTable> routes) = 0;
    /// All upstreams that are registered.
    virtual void OnListing(const UpstreamListing& listing) = 0;
    /// What came since.
    virtual void OnRecords(const std::vector<UpstreamRecord>& records) = 0;
    /// The source answered a question about upstreams.
    virtual void OnAnswer() = 0;
    virtual void OnLost(const Error& error) = 0;
    /// A configuration or an entry cannot be read; what is known stays.
    virtual void OnUnreadable(const std::string& name, const Error& error) = 0;
  };

  virtual ~StateSource() = default;
  virtual void Follow(Handler& handler) = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PROTOCOL_H_
