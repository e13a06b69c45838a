/// \file
/// Upstreams that may have started again with another software version.

#ifndef TEASELHILL_GATEWAY_RESTART_WATCH_H_
#define TEASELHILL_GATEWAY_RESTART_WATCH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// An upstream may start again under its id with another version. Until its new
/// entry is read, streams sent to it would count as being of the old one. So an
/// upstream that could not be connected to, here or at another host, is not
/// used for streams whose version matters until a renewal of its entry shows
/// which process is there, or data on an older connection shows that it never
/// ended: a host whose own links fail must not keep the others from it.
///
/// Deterministic: time and the count of reads are arguments.
class RestartWatch {
 public:
  /// Time after which an upstream whose entry is not renewed is used again; the
  /// directory drops entries that lapse much sooner.
  static constexpr std::chrono::minutes kMaxDoubt{1};

  /// The process could not be connected to. `reads`: of the directory's source
  /// that have ended. Returns whether this is news for the other hosts.
  bool OnUnreachable(const UpstreamProcess& process,
                     uint64_t reads,
                     TimePoint now);

  /// Data of the process arrived on a connection that was opened at
  /// `opened_at`.
  void OnData(const UpstreamProcess& process,
              TimePoint opened_at,
              TimePoint now);

  /// Ids of the upstreams that must not get streams whose version matters.
  std::vector<std::string> InDoubt(const EntryRenewals& renewals,
                                   TimePoint now);

 private:
  struct Doubt {
    /// Number of the first read whose records were written after the doubt
    /// arose.
    uint64_t cleared_by_read = 0;
    TimePoint since{};
  };

  std::map<UpstreamProcess, Doubt> doubts_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_RESTART_WATCH_H_
