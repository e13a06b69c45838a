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

/// What a piece of a stream has completed.
struct ParsedEvents {
  /// Whole events, byte for byte; empty if none is complete yet.
  std::string complete;
  /// Why the stream cannot go on behind `complete`; kProtocolError.
  std::optional<Error> fault;
};

/// Returns whole events only, so that a broken stream can be resumed after the
/// last event that the caller received.
class EventStream {
 public:
  /// `last_event_id`: event id after which the caller asked to resume; nothing:
  /// the stream starts from its beginning.
  explicit EventStream(std::optional<uint64_t> last_event_id)
      : last_event_id_(last_event_id),
        previous_event_id_(last_event_id.value_or(0)) {}

  /// Appends data and returns the events that are complete now. An event is a
  /// fault if its id is no number, is not greater than the previous one, is
  /// missing behind an event that had one, or stands beside another id, or if
  /// the event exceeds the size limit. The events before it are returned all
  /// the same: last_event_id() is past them, so no other upstream sends them
  /// again.
  ParsedEvents Append(std::string_view data);

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

  /// Id of the last event that Append() has returned, or where the stream
  /// began.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  /// Events that Append() has returned.
  uint64_t event_count() const { return event_count_; }

  /// Whether the stream can go on after last_event_id() without leaving out an
  /// event or sending one twice. It cannot after events without an id, nor if
  /// what follows shows that the last id may have been too large, or that the
  /// last event has lost its data.
  bool position_known() const { return position_known_; }

 private:
  Status CheckEvent(std::string_view event);
  Status CheckEventId(std::string_view text);

  std::string partial_event_;
  std::optional<uint64_t> last_event_id_;
  /// Id of the event before the last one.
  uint64_t previous_event_id_ = 0;
  bool last_event_has_data_ = true;
  bool position_known_ = true;
  uint64_t event_count_ = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_EVENT_STREAM_H_
