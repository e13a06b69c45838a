/// \file
/// Identifiers shared by all parts.

#ifndef TEASELHILL_SUPPORT_IDS_H_
#define TEASELHILL_SUPPORT_IDS_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace teaselhill {

/// Identifies a request inside one host process.
using RequestId = uint64_t;

/// Offset of a record in a log stream; also the revision of a contract.
using LogOffset = uint64_t;

/// Offset of the first record that a stream ever holds.
constexpr LogOffset kFirstOffset = 1;

/// One run of a host process. A restart under the same name has another
/// incarnation number.
struct HostIncarnation {
  std::string host;
  uint64_t incarnation = 0;

  friend bool operator==(const HostIncarnation& a, const HostIncarnation& b) {
    return a.host == b.host && a.incarnation == b.incarnation;
  }
  friend bool operator<(const HostIncarnation& a, const HostIncarnation& b) {
    return a.host != b.host ? a.host < b.host : a.incarnation < b.incarnation;
  }
};

/// One process of an upstream. A restart under the same id has a greater
/// incarnation number.
struct UpstreamProcess {
  std::string id;
  uint64_t incarnation = 0;

  friend bool operator==(const UpstreamProcess& a, const UpstreamProcess& b) {
    return a.id == b.id && a.incarnation == b.incarnation;
  }
  friend bool operator<(const UpstreamProcess& a, const UpstreamProcess& b) {
    return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
  }
};

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_IDS_H_
