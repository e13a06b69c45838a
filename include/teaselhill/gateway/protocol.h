/// \file
/// Interfaces of the gateway to callers, upstreams and the source of
/// configuration and upstreams. An adapter implements them.

#ifndef TEASELHILL_GATEWAY_PROTOCOL_H_
#define TEASELHILL_GATEWAY_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/reader_choice.h"
#include "teaselhill/gateway/route_table.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/gateway/upstream_notices.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// A segment of a prompt that several requests may share.
struct PromptSegment {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// Contents of the headers of a caller's request.
struct CallerRequest {
  std::string attempt_id;                ///< set by the caller
  std::string host;                      ///< host name that selects the route
  std::string api_key;                   ///< empty: none
  Duration deadline{};                   ///< zero: none
  std::optional<uint64_t> resume_after;  ///< last event id received
  /// Attempt that brought the first event of the stream that this request
  /// resumes; empty: the caller names none.
  std::string resumed_attempt_id;
  std::vector<PromptSegment> prompt_segments;  ///< the last is not shared
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
};

/// What changes in a caller's request when another host serves it.
struct ForwardContext {
  std::string address;   ///< IP address and port of the serving host
  Duration time_left{};  ///< until the deadline
  std::optional<uint64_t> resume_after;
  std::string resumed_attempt_id;  ///< empty: none
};

/// Protocol between callers and the gateway.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// Decodes the headers of a request. kBadHeader names the header that cannot
  /// be decoded.
  virtual Result<CallerRequest> ReadRequest(
      const net::HttpRequest& request) const = 0;

  /// Builds the request by which another host serves a caller's request. Reads
  /// like the caller's, with the rest of the deadline.
  /// The body may be sent from `request` instead of the copy.
  virtual net::ClientRequest BuildForwardRequest(
      const net::HttpRequest& request,
      const ForwardContext& context) const = 0;

  /// HTTP status of a response that the gateway generates itself.
  virtual int ErrorStatus(const Error& error) const {
    return Describe(error.code).http_status;
  }

  /// Headers of a response that the gateway generates itself. They include
  /// `retry_after` if the error means that the request was not run for a reason
  /// other than a fault of the caller.
  virtual net::Headers ErrorHeaders(const Error& error,
                                    Duration retry_after) const = 0;
};

/// Properties of one attempt of a request.
struct AttemptContext {
  UpstreamEntry upstream;
  std::string team;      ///< empty: the route is anonymous
  Duration time_left{};  ///< until the deadline
  Tier tier = 0;
  bool is_engine = false;
  std::optional<uint64_t> resume_after;
};

/// Meaning of the head of an upstream's response.
enum class ResponseKind {
  kResponse,           ///< the upstream's response, success or failure
  kNotRun,             ///< refused and not run
  kWrongUpstream,      ///< the address belongs to another upstream; not run
  kUnrelated,          ///< not a response to this request
  kUnconfirmedNotRun,  ///< a status that implies "not run" without the
                       ///< statement
};

struct ResponseHead {
  ResponseKind kind = ResponseKind::kUnrelated;
  int status = 0;
  bool is_success = false;
  bool is_event_stream = false;
  net::Headers headers;  ///< to forward to the caller
  Duration retry_after{};
  UpstreamNotice notice;  ///< unless `kind` is kUnrelated or kWrongUpstream
};

/// Load report of an engine. Describes its load some hundred milliseconds ago.
struct LoadReport {
  int queued_requests = 0;
  int running_requests = 0;  ///< in the batch
};

/// What a response says of the upstream that gave it.
struct UpstreamIdentity {
  std::optional<std::string> id;
  /// Start time of its process; see UpstreamEntry::incarnation.
  std::optional<uint64_t> incarnation;
};

/// Protocol between the gateway and upstreams.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;
  /// The body may be sent from `request` instead of the copy.
  virtual net::ClientRequest BuildRequest(
      const net::HttpRequest& request,
      const CallerRequest& caller,
      const AttemptContext& context) const = 0;
  virtual ResponseHead ReadHead(int status,
                                const net::Headers& headers,
                                const CallerRequest& caller) const = 0;

  /// Builds the request for an engine's load report; ReadReport() decodes the
  /// response, and returns kProtocolError if the response is not a load report.
  virtual net::ClientRequest BuildReportRequest(
      const UpstreamEntry& upstream) const = 0;
  virtual Result<LoadReport> ReadReport(
      const net::ClientResponse& response) const = 0;

  /// Builds a health check; ReadIdentity() decodes any response to it.
  /// `health_path`: of the upstream's service; empty: unknown.
  virtual net::ClientRequest BuildHealthRequest(
      const UpstreamEntry& upstream,
      const std::string& health_path) const = 0;
  virtual UpstreamIdentity ReadIdentity(
      const net::ClientResponse& response) const = 0;
};

/// Delivers configuration versions and upstream records. Runs on one event loop
/// and calls its handler on the loop's thread.
class StateSource {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnConfig(std::shared_ptr<const RouteTable> routes) = 0;
    /// All registered upstreams.
    virtual void OnListing(const UpstreamListing& listing) = 0;
    /// Records written since the last listing or the last call of OnRecords().
    virtual void OnRecords(const std::vector<UpstreamRecord>& records) = 0;
    /// The source answered a read of upstreams.
    virtual void OnSourceAnswered() = 0;
    /// Another host told in place of the source what upstreams there were `age`
    /// ago.
    virtual void OnSharedAnswer(Duration age) {}
    /// How this host reads from now on, and how many read for a failure domain.
    virtual void OnReadRole(ReadRole role, size_t readers) {}
    virtual void OnSourceUnreachable(const Error& error) = 0;
    /// A configuration or an upstream entry cannot be decoded. The
    /// configuration in force stays; the upstream is removed, since its record
    /// has no entry.
    virtual void OnRecordUnreadable(const std::string& name,
                                    const Error& error) = 0;
  };

  virtual ~StateSource() = default;
  virtual void Subscribe(Handler& handler) = 0;

  /// Hosts that run, from which records may be learned.
  virtual void OnHosts(const std::vector<HostRecord>& records) {}

  /// Reads the upstreams soon. `done`: whether a read that began after this
  /// call has been passed to the handler; called once, after `timeout` at the
  /// latest.
  virtual void ReadUpstreams(Duration timeout,
                             std::function<void(bool)> done) = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PROTOCOL_H_
