/// \file
/// Guards against a host that goes on counting the source as lost while it
/// learns from other hosts that the source answers: the end of that outage,
/// noted too late, keeps an upstream usable that has left.

#include "teaselhill/gateway/state_keeper.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "teaselhill/support/logger.h"

namespace teaselhill::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A keeper with one registered upstream.
class KeptState {
 public:
  KeptState() {
    keeper_.OnListing({10, {{"u", 9, Entry()}}, false});
    keeper_.OnSourceAnswered();
  }

  void Advance(Duration span) { now_ += span; }
  StateKeeper& keeper() { return keeper_; }
  void RemoveUpstream() { keeper_.OnRecords({{"u", 11, std::nullopt}}); }
  bool UpstreamIsUsable() {
    keeper_.ExpireUpstreams();
    return !shared_.upstreams()->OfService("s").empty();
  }

 private:
  static UpstreamEntry Entry() {
    UpstreamEntry entry;
    entry.id = "u";
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    return entry;
  }

  NullLogger logger_;
  EventLog log_{logger_};
  SharedState shared_;
  TimePoint now_{seconds(100)};
  StateKeeper keeper_{shared_, log_, [this] { return now_; }};
};

}  // namespace

TEST_CASE("an answer of another host ends an outage that began before it") {
  struct Answer {
    milliseconds at;  ///< since the source was lost
    milliseconds age;
  };
  struct Row {
    const char* name;
    std::vector<Answer> shared;
    milliseconds answered_at;  ///< by the source itself
    bool removed_at_once;
  };
  const Row row = GENERATE(values<Row>({
      {"none", {}, milliseconds(22000), false},
      {"newer than the loss",
       {{milliseconds(2000), milliseconds(500)}},
       milliseconds(22000),
       true},
      {"of the moment of the loss",
       {{milliseconds(500), milliseconds(500)}},
       milliseconds(22000),
       false},
      {"older than the loss",
       {{milliseconds(200), milliseconds(500)}},
       milliseconds(22000),
       false},
      {"older, then newer",
       {{milliseconds(200), milliseconds(500)},
        {milliseconds(1700), milliseconds(500)}},
       milliseconds(22000),
       true},
      {"just before the source",
       {{milliseconds(21000), milliseconds(500)}},
       milliseconds(22000),
       false},
  }));
  INFO(row.name);
  KeptState state;
  state.keeper().OnSourceUnreachable({ResultCode::kTimedOut, "lost"});
  milliseconds passed{0};
  for (const Answer& answer : row.shared) {
    state.Advance(answer.at - passed);
    passed = answer.at;
    state.keeper().OnSharedAnswer(answer.age);
  }
  state.Advance(row.answered_at - passed);
  state.keeper().OnSourceAnswered();
  state.RemoveUpstream();
  CHECK(state.UpstreamIsUsable() != row.removed_at_once);
}

// A grace that began with the answer's arrival would keep the upstream usable
// longer the older the answer is.
TEST_CASE("the grace begins when the other host had its answer") {
  KeptState state;
  state.keeper().OnSourceUnreachable({ResultCode::kTimedOut, "lost"});
  state.Advance(seconds(10));
  state.keeper().OnSharedAnswer(milliseconds(1200));
  state.RemoveUpstream();
  state.Advance(milliseconds(799));
  CHECK(state.UpstreamIsUsable());
  state.Advance(milliseconds(1));
  CHECK_FALSE(state.UpstreamIsUsable());
}

}  // namespace teaselhill::gateway
