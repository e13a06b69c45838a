/// \file
/// Cuts a server-sent event stream into whole events and keeps the last id.

#ifndef TEASELHILL_GATEWAY_EVENT_STREAM_H_
#define TEASELHILL_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaselhill/support/result.h"

namespace teaselhill::gateway {

/// Only whole events are passed on, so that a broken stream can be resumed
/// after the last event that the caller has.
class EventStream {
 public:
  /// `last_id`: id after which the caller asked to go on; nothing: from the
  /// start.
  explicit EventStream(std::optional<uint64_t> last_id) : last_id_(last_id) {}

  /// Adds data and returns the whole events in it, byte for byte. Fails with
  /// kProtocolError when an id does not follow the one before, or when an
  /// event exceeds the size limit.
  Result<std::string> Feed(std::string_view data);

  /// Forgets the part of an event that has arrived, before the stream goes on
  /// from another upstream.
  void DropPartial() { rest_.clear(); }

  /// Whether the stream stands between two events.
  bool at_boundary() const { return rest_.empty(); }

  std::optional<uint64_t> last_id() const { return last_id_; }
  uint64_t events() const { return events_; }

 private:
  Status CheckId(std::string_view event);

  std::string rest_;
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EVENT_STREAM_H_
