/// \file
/// Guards against resumed streams in which an event is missing or comes twice:
/// whole answers, spoilt at any byte or cut, split into any pieces, and resumed
/// at any event.

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/gateway/event_stream.h"
#include "teaselhill/support/rng.h"

namespace teaselhill::gateway {

namespace {

constexpr int kStreamsPerSeed = 200;

constexpr size_t kMaxSeparatorBytes = 2;

/// Events 1 to N behind a resume point, as a sound upstream writes them.
struct SoundAnswer {
  std::string text;
  /// Ends of the events and comments in `text`, in order.
  std::vector<size_t> ends;
  /// Id of the last event up to each end.
  std::vector<uint64_t> ids;
  uint64_t resume_after = 0;

  /// Id of the last event in the first `bytes`; nothing inside an event.
  std::optional<uint64_t> PositionAt(size_t bytes) const {
    if (bytes == 0)
      return resume_after;
    const auto end = std::find(ends.begin(), ends.end(), bytes);
    return end == ends.end() ? std::nullopt
                             : std::optional(ids[end - ends.begin()]);
  }

  /// Whether a whole event lies behind `begin` and before `end`. One whose
  /// separator begins there has become part of the event before it.
  bool HasEventBetween(size_t begin, size_t end) const {
    for (size_t i = 1; i < ends.size(); ++i) {
      if (ends[i - 1] > begin + kMaxSeparatorBytes && ends[i] <= end &&
          ids[i] != ids[i - 1])
        return true;
    }
    return false;
  }
};

size_t Below(Rng& rng, size_t bound) {
  return std::min(bound - 1, static_cast<size_t>(rng.Uniform() * bound));
}

SoundAnswer DrawAnswer(Rng& rng) {
  SoundAnswer answer;
  const std::string line_end = Below(rng, 2) == 0 ? "\n" : "\r\n";
  const bool has_gaps = Below(rng, 4) == 0;
  answer.resume_after = Below(rng, 15);
  uint64_t id = answer.resume_after;
  const size_t events = 1 + Below(rng, 14);
  for (size_t i = 0; i < events; ++i) {
    if (Below(rng, 8) == 0) {
      answer.text += ": alive" + line_end + line_end;
      answer.ends.push_back(answer.text.size());
      answer.ids.push_back(id);
    }
    id += has_gaps ? 1 + Below(rng, 5) : 1;
    const std::string id_line = "id: " + std::to_string(id) + line_end;
    const std::string data = "data: piece" + line_end;
    const bool id_is_first = Below(rng, 2) == 0;
    answer.text += (id_is_first ? id_line + data : data + id_line) + line_end;
    answer.ends.push_back(answer.text.size());
    answer.ids.push_back(id);
  }
  return answer;
}

/// What became of an answer that may have been spoilt or cut.
struct Outcome {
  size_t passed_bytes = 0;
  bool has_fault = false;
  bool position_known = true;
  uint64_t position = 0;
  bool same_bytes = true;  ///< what was passed on is what came
};

Outcome PlayAnswer(const SoundAnswer& sound,
                   const std::string& received,
                   Rng& rng) {
  EventStream stream(sound.resume_after);
  Outcome outcome;
  std::string passed;
  for (size_t begin = 0; begin < received.size() && !outcome.has_fault;) {
    const size_t size = std::min(received.size() - begin, 1 + Below(rng, 60));
    const ParsedEvents events = stream.Append(received.substr(begin, size));
    begin += size;
    passed += events.complete;
    outcome.has_fault = events.fault.has_value();
  }
  outcome.passed_bytes = passed.size();
  outcome.same_bytes = received.compare(0, passed.size(), passed) == 0;
  outcome.position_known = stream.position_known();
  outcome.position = stream.last_event_id().value_or(0);
  return outcome;
}

}  // namespace

TEST_CASE("a resumed stream has each event once, whatever was spoilt") {
  rc::prop("any byte, any pieces, any resume point", [](uint64_t seed) {
    Rng rng(seed);
    for (int i = 0; i < kStreamsPerSeed; ++i) {
      const SoundAnswer sound = DrawAnswer(rng);
      std::string received = sound.text;
      const bool is_spoilt = Below(rng, 4) > 0;
      const size_t spoilt_at = Below(rng, received.size());
      if (is_spoilt)
        received[spoilt_at] = static_cast<char>(Below(rng, 256));
      const bool is_cut = Below(rng, 2) == 0;
      if (is_cut)
        received.resize(Below(rng, received.size() + 1));
      const Outcome outcome = PlayAnswer(sound, received, rng);
      RC_ASSERT(outcome.same_bytes);
      const bool breaks_off = outcome.has_fault || is_cut;
      if (!breaks_off || !outcome.position_known)
        continue;
      // Nothing contradicts a spoilt event that the stream breaks off behind.
      if (!outcome.has_fault && is_spoilt && spoilt_at < outcome.passed_bytes &&
          !sound.HasEventBetween(spoilt_at, outcome.passed_bytes))
        continue;
      const auto position = sound.PositionAt(outcome.passed_bytes);
      RC_ASSERT(position.has_value());
      RC_ASSERT(*position == outcome.position);
    }
  });
}

}  // namespace teaselhill::gateway
