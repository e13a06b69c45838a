/// \file
/// Chooses the hosts that read the fleet's state for the others of their
/// failure domain.

#ifndef TEASELHILL_GATEWAY_READER_CHOICE_H_
#define TEASELHILL_GATEWAY_READER_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/gateway/fleet_size.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

struct ReaderChoiceOptions {
  /// Known hosts of a failure domain below which each of them reads for itself.
  /// What a few hosts save is not worth the call between them.
  size_t min_hosts = 8;
  size_t min_readers = 2;
  /// To the nearest whole number of readers. A host of the smallest kind can
  /// send the records to some twenty others.
  size_t hosts_per_reader = 13;
  /// A host that did not answer, or did not know enough, is passed over for
  /// this time, which doubles with each failure in a row.
  Duration min_pause = std::chrono::seconds(3);
  Duration max_pause = std::chrono::seconds(48);
};

/// How a host reads.
enum class ReadRole {
  kAlone,     ///< for itself; too few hosts are known
  kReader,    ///< for itself and for others
  kFollower,  ///< asks a reader, and reads for itself if none answers in time
};
std::string_view ReadRoleName(ReadRole role);

/// Nothing is agreed on: each host ranks the known hosts of its failure domain
/// by their names, and asks the first ones below itself that answer. Where all
/// of them are lost, it reads for itself, and those of a higher rank may ask it
/// in turn. Each reader is asked by about as many hosts. Deterministic: time is
/// an argument.
class ReaderChoice {
 public:
  ReaderChoice(std::string host,
               std::string domain,
               ReaderChoiceOptions options = {})
      : host_(std::move(host)), domain_(std::move(domain)), options_(options) {}

  void OnHosts(const std::vector<HostRecord>& records);

  ReadRole role() const;
  size_t readers() const;

  /// Peer address of the host to ask; nothing: read without it.
  std::optional<std::string> Choose(TimePoint now) const;

  void OnAnswered(const std::string& address);
  void OnFailed(const std::string& address, TimePoint now);

 private:
  struct Pause {
    Duration length{};
    TimePoint until;
  };

  bool IsPaused(const std::string& address, TimePoint now) const;
  /// Number of known hosts that come before this one.
  size_t rank() const;

  std::string host_;
  std::string domain_;
  ReaderChoiceOptions options_;
  /// Peer addresses of the known hosts of the failure domain, by name.
  std::map<std::string, std::string> hosts_;
  std::map<std::string, Pause> pauses_;  ///< by address
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_READER_CHOICE_H_
