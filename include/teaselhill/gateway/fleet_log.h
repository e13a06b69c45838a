/// \file
/// Interface by which hosts share what all of them have to know.

#ifndef TEASELHILL_GATEWAY_FLEET_LOG_H_
#define TEASELHILL_GATEWAY_FLEET_LOG_H_

#include <string>
#include <vector>

#include "teaselhill/gateway/crash_history.h"
#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/gateway/stream_versions.h"
#include "teaselhill/gateway/trial_queue.h"
#include "teaselhill/support/result.h"

namespace teaselhill::gateway {

/// Records of all hosts, kept outside of the hosts so that they outlast a
/// restart. Runs on one event loop; its functions are called and its handler is
/// called on the loop's thread.
class FleetLog {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// Records that were added or withdrawn, in the order in which all hosts
    /// see them; first all records that are kept.
    virtual void OnCrashRecords(std::vector<CrashRecord> records) = 0;
    virtual void OnHostRecords(std::vector<HostRecord> records) = 0;
    virtual void OnTrialClaims(std::vector<TrialClaim> claims) = 0;
    /// Versions that services have, or had of late.
    virtual void OnVersions(std::vector<StreamOrigin> versions) = 0;
    /// All records that the log held at the first read have been passed on.
    virtual void OnRecordsListed() = 0;
    virtual void OnFleetRecordUnreadable(const std::string& key) = 0;
    /// A read or an append succeeded or failed.
    virtual void OnFleetLogAnswered() = 0;
    virtual void OnFleetLogUnreachable(const Error& error) = 0;
  };

  virtual ~FleetLog() = default;
  virtual void Subscribe(Handler& handler) = 0;

  /// Another host said that it adds records. A read that waits for them and
  /// does not bring any soon is taken for lost.
  virtual void ExpectRecords() = 0;

  /// Announces that this host runs.
  virtual void AnnounceHost() = 0;

  /// Adds or withdraws records. Retries until the records are kept; while that
  /// fails, the oldest waiting records are dropped above a maximum.
  virtual void Append(std::vector<CrashRecord> records) = 0;
  virtual void Append(std::vector<TrialClaim> claims) = 0;
  virtual void Append(std::vector<VersionRecord> versions) = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_FLEET_LOG_H_
