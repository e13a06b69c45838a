/// \file
/// Registered upstreams, and the rules by which entries are added and removed.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_DIRECTORY_H_
#define TEASELHILL_GATEWAY_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "teaselhill/support/ids.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// Registration of one upstream.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string address;  ///< IP address and port
  std::string domain;   ///< failure domain
  int slots = 0;
  bool draining = false;
  /// Start time of the upstream's process, as reported by the upstream. A
  /// greater value under the same id means that the process was restarted and
  /// has lost its state, such as cached prompts.
  uint64_t incarnation = 0;
  /// Version of the upstream's software. Events of one stream that come from
  /// different versions do not fit together.
  std::string version;
  /// Costs less and may be reclaimed, with all others of its failure domain.
  bool reclaimable = false;
  /// While it drains: time until it leaves, as of when the entry was written.
  std::optional<Duration> leaves_in;
};

/// The newest record of an upstream's entry, which the upstream renews while it
/// runs.
struct EntryRenewal {
  uint64_t incarnation = 0;
  uint64_t read = 0;  ///< number of the read that returned the record
};

/// By id of the upstream.
using EntryRenewals = std::map<std::string, EntryRenewal>;

/// One record of the directory's source.
struct UpstreamRecord {
  std::string id;
  uint64_t offset = 0;  ///< ascending; the highest offset of an id is in force
  /// Nothing if the entry was removed or cannot be decoded.
  std::optional<UpstreamEntry> entry;
};

/// A complete listing of the source.
struct UpstreamListing {
  uint64_t end_offset = 0;  ///< offset after the newest record that is included
  std::vector<UpstreamRecord> records;
  /// The source came back from an older copy since the last listing: offsets
  /// start again from an earlier one, and what it has lost is written again
  /// soon.
  bool records_lost = false;
};

/// Usable upstreams by service. Immutable once published.
struct UpstreamList {
  uint64_t end_offset = 0;  ///< after the newest record that is included
  std::map<std::string, std::vector<UpstreamEntry>> by_service;
  /// Upstreams that are leaving; not in `by_service`.
  std::unordered_set<std::string> draining_ids;
  /// Software versions of all upstreams of each service, leaving ones included.
  std::map<std::string, std::set<std::string>> versions_by_service;
  /// Reclaimable upstreams that are leaving.
  std::vector<UpstreamEntry> leaving_reclaimable;

  const std::vector<UpstreamEntry>& OfService(const std::string& service) const;
  /// The entry of the process; null if it is not the newest one known of its
  /// upstream, or not usable.
  const UpstreamEntry* Find(const UpstreamProcess& process) const;
  /// Whether the process is the newest one known of its upstream.
  bool Lists(const UpstreamProcess& process) const;
};

/// Applies records and listings to the set of known upstreams. Deterministic:
/// time is an argument.
class UpstreamDirectory {
 public:
  /// After an outage of the source, an entry removed by the source stays usable
  /// until this time has passed since the source became reachable again, so
  /// that the upstream can register again.
  static constexpr std::chrono::milliseconds kReregistrationGrace{2000};

  /// The source is unreachable; known entries stay in use.
  void OnSourceUnreachable(TimePoint now);
  void OnSourceReachable(TimePoint now);

  /// Applies a record unless a newer one of the same id was applied.
  void ApplyRecord(const UpstreamRecord& record, TimePoint now);

  /// Applies a complete listing: adds its records and removes each known entry
  /// that is not listed, unless the entry has a record newer than the listing.
  /// After a loss of records, an upstream that is known to be gone stays so
  /// until it renews its entry, and one that is not listed has time to do so.
  void ApplyListing(const UpstreamListing& listing, TimePoint now);

  /// Removes entries whose grace period is over.
  void ExpireRemoved(TimePoint now);

  /// Builds the list of usable upstreams, without the draining ones.
  std::shared_ptr<const UpstreamList> BuildList() const;

  /// Returns whether the list has changed since the last call.
  bool TakeChanged();

 private:
  struct EntryState {
    uint64_t next_offset = 0;
    std::optional<UpstreamEntry> entry;
    std::optional<TimePoint> remove_at;  ///< when to remove the entry
    /// Incarnation that announced its drain. A record of the same or an earlier
    /// incarnation that arrives afterwards, such as a delayed one, cannot make
    /// the upstream usable again.
    std::optional<uint64_t> drained_incarnation;
  };

  void ForgetOffsets(TimePoint now);
  void SetEntry(EntryState& state, const std::optional<UpstreamEntry>& entry);
  void RemoveEntry(EntryState& state, TimePoint now);

  std::unordered_map<std::string, EntryState> states_by_id_;
  std::optional<TimePoint> source_reachable_at_;
  bool source_unreachable_ = false;
  bool list_changed_ = false;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_DIRECTORY_H_
