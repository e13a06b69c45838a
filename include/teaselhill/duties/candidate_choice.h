/// \file
/// Chooses the hosts that stand ready to take the lease on the duties.

#ifndef TEASELHILL_DUTIES_CANDIDATE_CHOICE_H_
#define TEASELHILL_DUTIES_CANDIDATE_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::duties {

/// A host that runs or ran of late.
struct KnownHost {
  std::string name;
  Duration age{};  ///< since it was announced
};

/// How the log is to be read.
struct ReadPlan {
  /// Place among the hosts that may take the lease; nothing: this one only
  /// looks whether the log goes on.
  std::optional<size_t> rank;
  /// When the next read begins.
  TimePoint at;
  Duration max_wait{};  ///< of that read, for a record
};

struct CandidateOptions {
  /// Each of them has a read at the log at any time. All but one can fail at
  /// once, and the next takes over within the lease's times.
  size_t candidates = 6;
  Duration max_wait = std::chrono::seconds(20);
  /// Time from the first known host to the first read: hosts that start
  /// together learn of each other within it, and not each of them takes itself
  /// for a candidate.
  Duration settle_time = std::chrono::seconds(2);
  /// Between two looks of all other hosts.
  Duration look_interval = std::chrono::seconds(20);
  /// Age of the newest record above which the candidates are taken for lost.
  Duration max_age = std::chrono::seconds(12);
  Duration host_retention = std::chrono::hours(3);
};

/// Nothing is agreed on: each host orders the known ones by a hash of their
/// names. Deterministic: time is an argument.
class CandidateChoice {
 public:
  explicit CandidateChoice(std::string host, CandidateOptions options = {})
      : host_(std::move(host)), options_(options) {}

  void OnHosts(const std::vector<KnownHost>& hosts, TimePoint now);

  /// Number of known hosts that come before this one; nothing as long as no
  /// host is known.
  std::optional<size_t> rank() const;

  /// `last_read_at`: begin of the last read, if any. `newest_age`: time from
  /// when the newest record was read to the last read that was answered.
  ReadPlan Plan(std::optional<TimePoint> last_read_at,
                Duration newest_age,
                TimePoint now) const;

 private:
  std::string host_;
  CandidateOptions options_;
  std::map<std::string, TimePoint> announced_at_;
  TimePoint first_known_at_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_CANDIDATE_CHOICE_H_
