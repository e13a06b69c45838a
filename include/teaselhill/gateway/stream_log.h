/// \file
/// Records of streams that outlast the loss of all hosts.

#ifndef TEASELHILL_GATEWAY_STREAM_LOG_H_
#define TEASELHILL_GATEWAY_STREAM_LOG_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "teaselhill/gateway/stream_versions.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Keeps records outside of the hosts for at least as long as streams last.
/// Written only while a service has several versions, and read only for streams
/// that no host has a record of. Runs on one event loop; its functions and the
/// callbacks are called on the loop's thread.
class StreamLog {
 public:
  /// Gets the records of all hosts that are read.
  using Handler = std::function<void(const std::vector<StreamRecord>&)>;

  virtual ~StreamLog() = default;
  virtual void Subscribe(Handler handler) = 0;

  /// Number of hosts that share the rate of writes.
  virtual void SetFleetSize(size_t hosts) = 0;

  /// Adds records, together with others that are added soon. A later record of
  /// a stream replaces an earlier one.
  virtual void Append(const std::vector<StreamRecord>& records) = 0;

  /// `done`: all records that were appended before are kept, or are not within
  /// `timeout`.
  virtual void WhenKept(Duration timeout, std::function<void()> done) = 0;

  /// Reads what was added since the last read. `done`: all records that were
  /// kept before this call have been passed to the handler, or have not been
  /// within `timeout`.
  virtual void Read(Duration timeout, std::function<void()> done) = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_STREAM_LOG_H_
