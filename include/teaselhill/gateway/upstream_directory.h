/// \file
/// Upstreams that have registered, and how entries come and go.

#ifndef TEASELHILL_GATEWAY_UPSTREAM_DIRECTORY_H_
#define TEASELHILL_GATEWAY_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// What one upstream says of itself.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string address;  ///< IP number and port
  std::string domain;   ///< failure domain
  int slots = 0;
  bool draining = false;
  /// Start of this incarnation. An upstream that starts again under its id has
  /// another one and holds nothing of before.
  uint64_t incarnation = 0;
};

/// A record of the directory's source.
struct UpstreamRecord {
  std::string id;
  uint64_t offset = 0;  ///< ascending; the newest record of an id counts
  /// Nothing: the entry was removed, or it cannot be read.
  std::optional<UpstreamEntry> entry;
};

/// A state of the source as a whole.
struct UpstreamListing {
  uint64_t end = 0;  ///< offset after the newest record that it reflects
  std::vector<UpstreamRecord> records;
};

/// Upstreams that may be used, by service. Never changes after it is built.
struct UpstreamList {
  uint64_t offset = 0;  ///< of the newest record that it reflects
  std::map<std::string, std::vector<UpstreamEntry>> by_service;

  const std::vector<UpstreamEntry>& Of(const std::string& service) const;
};

/// Follows the entries. Deterministic: time comes in as an argument.
class UpstreamDirectory {
 public:
  /// Time after the return of the source in which an entry that expired while
  /// it was away may come back.
  static constexpr std::chrono::milliseconds kReturnGrace{2000};

  /// The source cannot be reached; what is known stays in use.
  void OnSourceLost(TimePoint now);
  void OnSourceBack(TimePoint now);

  /// Applies a record unless a newer one of its id is known.
  void Apply(const UpstreamRecord& record, TimePoint now);

  /// Applies a whole listing: ids that it lacks are gone, unless it is older
  /// than what is known of them.
  void ApplyListing(const UpstreamListing& listing, TimePoint now);

  /// Drops entries whose time to come back is over.
  void Expire(TimePoint now);

  /// Builds the list of usable upstreams. Draining ones are left out.
  std::shared_ptr<const UpstreamList> BuildList() const;

  /// Whether the list has changed since the last call.
  bool TakeChanged();

 private:
  struct State {
    uint64_t offset = 0;
    std::optional<UpstreamEntry> entry;
    std::optional<TimePoint> gone_at;  ///< missing; dropped at this time
    /// Incarnation that said it drains. A delayed earlier record of it cannot
    /// bring it back.
    std::optional<uint64_t> drained_incarnation;
  };

  void Set(State& state, const std::optional<UpstreamEntry>& entry);
  void Remove(State& state, TimePoint now);

  std::unordered_map<std::string, State> states_;
  std::optional<TimePoint> back_at_;
  bool lost_ = false;
  bool changed_ = false;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_UPSTREAM_DIRECTORY_H_
