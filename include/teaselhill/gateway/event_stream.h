/// \file
/// Splits a server-sent event stream into whole events and tracks the last
/// event id.

#ifndef TEASELHILL_GATEWAY_EVENT_STREAM_H_
#define TEASELHILL_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "teaselhill/support/result.h"

namespace teaselhill::gateway {

/// Returns whole events only, so that a broken stream can be resumed after the
/// last event that the caller received.
class EventStream {
 public:
  /// `last_event_id`: event id after which the caller asked to resume; nothing:
  /// the stream starts from its beginning.
  explicit EventStream(std::optional<uint64_t> last_event_id)
      : last_event_id_(last_event_id) {}

  /// Appends data and returns the events that are complete now, byte for byte.
  /// Fails with kProtocolError if an event id is not greater than the previous
  /// one or not a number, or if an event exceeds the size limit.
  Result<std::string> Append(std::string_view data);

  /// Discards a partially received event, before the stream is resumed at
  /// another upstream.
  void DiscardPartial() { TakePartial(); }

  /// Takes out a partially received event, which RestorePartial() puts back.
  std::string TakePartial() { return std::exchange(partial_event_, {}); }
  void RestorePartial(std::string partial) {
    partial_event_ = std::move(partial);
  }

  /// Memory that a partially received event takes up.
  size_t held_bytes() const { return partial_event_.capacity(); }

  /// Whether no event is partially received.
  bool at_boundary() const { return partial_event_.empty(); }

  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  uint64_t event_count() const { return event_count_; }

 private:
  Status CheckEventId(std::string_view event);

  std::string partial_event_;
  std::optional<uint64_t> last_event_id_;
  uint64_t event_count_ = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EVENT_STREAM_H_
