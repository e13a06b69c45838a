/// \file
/// Decides which lost connections to upstreams were lost in a crash.

#ifndef TEASELHILL_GATEWAY_LOSS_REVIEWER_H_
#define TEASELHILL_GATEWAY_LOSS_REVIEWER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct LossReviewOptions {
  /// Delays of the probes after a loss. The last one is repeated until the
  /// review ends.
  std::vector<Duration> probe_delays = {
      std::chrono::milliseconds(30), std::chrono::milliseconds(120),
      std::chrono::milliseconds(250), std::chrono::milliseconds(500),
      std::chrono::milliseconds(1000)};
  /// Period in which the directory is checked while a review is open.
  Duration directory_period = std::chrono::milliseconds(250);
  /// Time after the last loss at which a review ends. The entry of a process
  /// that has crashed lapses earlier.
  Duration review_duration = std::chrono::seconds(6);
  /// Probes without any answer after which a process is taken for down.
  int silent_probes_until_down = 2;
  /// Silence after a loss that a sound upstream may need to go on.
  Duration max_sound_silence = std::chrono::milliseconds(1500);
  /// Time after a loss from which data on another connection shows that the
  /// process outlived the loss. A busy host reads data late that was sent
  /// before a crash.
  Duration data_delay = std::chrono::milliseconds(100);
  /// Time in which a process that has started again renews its entry. A
  /// response under an id whose entry has not changed by then was the process's
  /// own.
  Duration registration_delay = std::chrono::milliseconds(2000);
  /// A process whose start is reported as later than a sign of life under the
  /// same id, by more than this, did not give that sign. Clocks differ.
  std::chrono::milliseconds clock_tolerance{500};
};

enum class LossKind {
  kConnectionLost,
  kGivenUp,  ///< after a time without any data; whether it crashed is open
};

/// Verdict on the losses of one process in a span of time.
struct LossVerdict {
  UpstreamProcess process;
  bool crashed = false;
  TimePoint after;  ///< losses later than this, ...
  TimePoint until;  ///< ... up to this one
  std::string_view evidence;
};

/// What a probe of an address found.
struct ProbeReport {
  enum class Outcome {
    kAnswered,  ///< with an HTTP response
    kRefused,   ///< no process listens
    kClosed,    ///< the connection ended without a response
    kSilent,    ///< no response in time
  };
  Outcome outcome = Outcome::kSilent;
  UpstreamIdentity identity;  ///< of kAnswered
  TimePoint sent_at;
};

/// A lost connection is a suspected crash until the process that lost it is
/// seen alive. What the address of a crashed process does depends on the
/// machine: it may refuse, accept and reset, be silent, or belong to the next
/// process at once. So a process counts as alive only if it can be told that
/// the sign of life is its own: data on a connection that was open before the
/// loss, or a response under its id. An id that starts again under its own name
/// is told apart by the start time in its entry.
///
/// Verdicts are revised when better evidence arrives: a process that was cut
/// off is found alive later, or one that answered turns out to have restarted.
///
/// Deterministic: time is an argument.
class LossReviewer {
 public:
  explicit LossReviewer(LossReviewOptions options = {})
      : options_(std::move(options)) {}

  bool empty() const { return reviews_.empty(); }

  /// An attempt sent at `sent_at` lost its connection, or was given up without
  /// any data. Returns false if the process was already lost when the attempt
  /// was sent, and has not been seen alive since: it cannot crash again.
  bool OnConnectionLost(const UpstreamEntry& upstream,
                        const UpstreamList& upstreams,
                        TimePoint sent_at,
                        TimePoint now,
                        LossKind kind = LossKind::kConnectionLost);

  /// An upstream sent data on a connection opened at `opened_at`.
  std::vector<LossVerdict> OnData(const std::string& upstream_id,
                                  TimePoint opened_at,
                                  TimePoint now);

  struct DueProbe {
    UpstreamProcess process;
    UpstreamEntry upstream;
  };
  std::vector<DueProbe> TakeDueProbes(TimePoint now);
  /// A due probe was not sent. The directory may decide without it.
  void OnProbeSkipped(const UpstreamProcess& process, TimePoint now);
  /// `reaches_others`: this host has reached an upstream since the process was
  /// lost. A host that is cut off finds no upstream alive.
  std::vector<LossVerdict> OnProbe(const UpstreamProcess& process,
                                   const ProbeReport& report,
                                   bool reaches_others,
                                   TimePoint now,
                                   WallTime wall_now);
  /// First loss of the process since its last sign of life; nothing if it is
  /// not under review.
  std::optional<TimePoint> FirstLostAt(const UpstreamProcess& process) const;

  /// Compares the open reviews with the directory, and ends old reviews.
  /// `read_at`: when the directory's source last answered.
  std::vector<LossVerdict> OnDirectory(const UpstreamList& upstreams,
                                       TimePoint read_at,
                                       TimePoint now);

  /// When to call TakeDueProbes() and OnDirectory() next; nothing without
  /// reviews.
  std::optional<TimePoint> NextDue() const;

 private:
  enum class State { kPending, kDown, kAlive };
  /// An ended review can give no further verdict.
  enum class Progress { kOpen, kEnded };
  /// A response under the process's id, which its successor may have given.
  struct Response {
    TimePoint sent_at;  ///< of the request
    WallTime received_at;
  };
  struct Review {
    UpstreamEntry upstream;
    /// Other ids with the same address by then, such as its predecessor.
    std::unordered_set<std::string> known_at_address;
    State state = State::kPending;
    TimePoint opened_at;      ///< first loss; earlier ones were judged before
    TimePoint first_lost_at;  ///< since the last sign of life
    /// Whether all losses so far were attempts that were given up. The process
    /// may still have lived then.
    bool only_given_up = false;
    TimePoint last_lost_at;
    TimePoint alive_at = TimePoint::min();  ///< proven
    /// Up to when the losses have been taken for crashes.
    TimePoint crashed_until = TimePoint::min();
    std::optional<Response> last_response;  ///< the first since the last loss
    size_t probes = 0;  ///< since the last loss that started probes
    int silent_probes = 0;
    TimePoint next_probe_at;
    TimePoint next_directory_check_at;
    bool probing = false;

    bool is_resolved() const { return state == State::kAlive; }
    /// Last sign of life, if a response was the process's own.
    TimePoint presumed_alive_at() const {
      return last_response ? std::max(alive_at, last_response->sent_at)
                           : alive_at;
    }
  };
  using Reviews = std::map<UpstreamProcess, Review>;

  void StartProbes(Review& review, TimePoint now);
  void ScheduleNextProbe(Review& review, TimePoint now);
  static LossVerdict Crashed(const UpstreamProcess& process,
                             Review& review,
                             TimePoint until,
                             std::string_view evidence);
  /// The process does not answer. Nothing is returned if that was known.
  static std::vector<LossVerdict> Unreachable(const UpstreamProcess& process,
                                              Review& review,
                                              TimePoint until,
                                              std::string_view evidence);
  /// The process lived from `since`, exclusive, up to `until`. A process that
  /// only seems to be the one under review says nothing of earlier losses.
  static LossVerdict Alive(const UpstreamProcess& process,
                           Review& review,
                           TimePoint until,
                           std::string_view evidence,
                           TimePoint since = TimePoint::min());
  std::vector<LossVerdict> OnResponse(const UpstreamProcess& process,
                                      Review& review,
                                      const ProbeReport& report,
                                      TimePoint now,
                                      WallTime wall_now);
  /// The id belongs to a process that started at `started_at` (Unix
  /// milliseconds).
  LossVerdict Restarted(const UpstreamProcess& process,
                        Review& review,
                        uint64_t started_at,
                        TimePoint now);
  /// Whether the last response was the process's own, as its entry shows.
  bool IsConfirmed(const Review& review,
                   TimePoint read_at,
                   TimePoint now) const;
  /// Verdict that the directory's entries give on the review, if any.
  std::optional<LossVerdict> CheckDirectory(const UpstreamProcess& process,
                                            Review& review,
                                            const UpstreamList& upstreams,
                                            TimePoint now,
                                            Progress* progress);

  LossReviewOptions options_;
  Reviews reviews_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_LOSS_REVIEWER_H_
