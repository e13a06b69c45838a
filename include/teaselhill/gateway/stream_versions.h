/// \file
/// Which software version began a stream, so that the stream goes on only at
/// upstreams of that version.

#ifndef TEASELHILL_GATEWAY_STREAM_VERSIONS_H_
#define TEASELHILL_GATEWAY_STREAM_VERSIONS_H_

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "teaselhill/gateway/upstream_directory.h"
#include "teaselhill/support/time.h"

namespace teaselhill::gateway {

/// What wrote the first event of a stream. A route may lead to several
/// services.
struct StreamOrigin {
  std::string service;
  std::string version;  ///< of the upstream's software

  friend bool operator==(const StreamOrigin& a, const StreamOrigin& b) {
    return a.service == b.service && a.version == b.version;
  }
  friend bool operator<(const StreamOrigin& a, const StreamOrigin& b) {
    return std::tie(a.service, a.version) < std::tie(b.service, b.version);
  }
};

/// A version that upstreams of a service have or had of late. Kept in the
/// fleet's log, so that hosts which start know of it.
struct VersionRecord {
  StreamOrigin version;
  bool withdrawn = false;  ///< no stream of this version can go on any more
};

struct StreamRecord {
  std::string attempt_id;  ///< attempt of the caller that brought that event
  StreamOrigin origin;
  Duration keep_for{};  ///< time in which a caller may still resume the stream
};

/// Asks for the version of a stream.
struct StreamQuery {
  std::string attempt_id;  ///< empty: the caller names none
  std::string service;     ///< in which the stream is taken to have begun
};

/// What one host knows of a stream.
struct StreamAnswer {
  enum class Kind {
    kRecorded,         ///< `origin` began the stream
    kOnlyVersion,      ///< no record; the service has only this version
    kSeveralVersions,  ///< no record; the service has or had several versions
    /// No record; the host has started and does not know the versions of
    /// before. `origin` is the only version that it knows now, or empty.
    kPastUnknown,
  };
  Kind kind = Kind::kSeveralVersions;
  StreamOrigin origin;  ///< empty for kSeveralVersions
};

/// What can be found out about a stream that this host has no record of.
struct StreamEvidence {
  std::vector<StreamAnswer> peers;  ///< of the hosts that replied in time
  /// All hosts that would keep a record of the stream have replied.
  bool holders_replied = false;
  /// The upstreams were read after the stream had broken off, so this host
  /// knows each version at which it may have begun.
  bool upstreams_read = false;

  /// Whether a host has a record of the stream.
  bool has_record() const;
};

/// Returns where a stream may go on; nothing if it is not known. `own`: as of
/// after the evidence.
/// While a service has several versions, each stream is recorded on several
/// hosts, so a stream without a record has the only version of its service. A
/// host that is out of step may not know of a second one: it needs evidence.
std::optional<StreamOrigin> DecideStreamOrigin(const StreamAnswer& own,
                                               const StreamEvidence& evidence);

/// Streams that began on this host or that other hosts told it of, and the
/// versions of each service. Callable from any thread; times are arguments.
class StreamVersions {
 public:
  /// When more streams than this are recorded, the oldest are dropped.
  static constexpr size_t kMaxRecords = 50000;

  /// Time for which a service counts as having a version that no upstream has
  /// any more: a caller may still resume a stream of that version. After this
  /// time a host knows the versions of the past by itself.
  static constexpr std::chrono::minutes kVersionMemory{2};

  /// Call with each new list.
  void OnUpstreams(const UpstreamList& upstreams, TimePoint now);

  /// Versions that the fleet's log holds. Those that no upstream has count as
  /// listed until now: streams of them may be older than this host.
  void OnRecordedVersions(const std::vector<StreamOrigin>& versions,
                          TimePoint now);

  /// All records have been read that the fleet's log held when this host
  /// started.
  void OnRecordsListed();

  /// What the fleet's log has to add or to withdraw since the last call;
  /// nothing before it has been read.
  std::vector<VersionRecord> TakeVersionRecords();

  /// `own`: the stream began on this host.
  void Remember(const StreamRecord& record, bool own, TimePoint now);
  std::optional<StreamOrigin> Find(const std::string& attempt_id,
                                   TimePoint now) const;
  StreamAnswer Answer(const StreamQuery& query, TimePoint now) const;

  /// Whether the service has several versions, or had them of late.
  bool HasSeveral(const std::string& service, TimePoint now) const;

  /// Services that have got a further version since the last call.
  std::vector<std::string> TakeServicesWithNewVersion();

  /// Records of the streams of the service that began on this host.
  std::vector<StreamRecord> OwnRecords(const std::string& service,
                                       TimePoint now) const;

  void Expire(TimePoint now);
  size_t size() const;

 private:
  struct Entry {
    StreamOrigin origin;
    bool own = false;
    TimePoint expires_at{};
  };
  struct VersionUse {
    bool listed = false;
    TimePoint listed_at{};  ///< last time
  };

  /// Call with the mutex locked.
  std::vector<std::string> VersionsOf(const std::string& service,
                                      TimePoint now) const;
  bool KnowsPast(TimePoint now) const;

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;  ///< by attempt id
  std::deque<std::string> attempts_by_age_;
  std::map<std::string, std::map<std::string, VersionUse>> versions_;
  std::vector<std::string> services_with_new_version_;
  std::set<StreamOrigin> recorded_versions_;  ///< or about to be recorded
  std::vector<StreamOrigin> expired_versions_;
  bool records_listed_ = false;
  std::optional<TimePoint> first_list_at_;
};

/// The records of the other hosts and of the stream log. Used on the traffic
/// thread, on which the callbacks run as well, each once.
class StreamPeers {
 public:
  virtual ~StreamPeers() = default;

  /// Adds records to the stream log.
  virtual void Append(std::vector<StreamRecord> records) = 0;

  /// Tells other hosts of streams. `done`: one of them has confirmed, or none
  /// does in time; and the log keeps what was appended, or does not within
  /// `log_timeout`.
  virtual void Publish(std::vector<StreamRecord> records,
                       Duration log_timeout,
                       std::function<void()> done) = 0;

  /// Reads the stream log into StreamVersions, unless it does not answer in
  /// time.
  virtual void ReadLog(std::function<void()> done) = 0;

  /// Collects the answers of the hosts that reply in time, and has the
  /// upstreams read; ends at once with an answer of the kind kRecorded.
  virtual void Ask(StreamQuery query,
                   std::function<void(StreamEvidence)> done) = 0;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_STREAM_VERSIONS_H_
