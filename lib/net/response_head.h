/// \file
/// Header lines of one response and the checks of its framing.

#ifndef TEASELHILL_LIB_NET_RESPONSE_HEAD_H_
#define TEASELHILL_LIB_NET_RESPONSE_HEAD_H_

#include <string>
#include <string_view>

#include "teaselhill/net/http_types.h"
#include "teaselhill/support/result.h"

namespace teaselhill::net {

/// Collects the lines of a head. Refuses those that leave open where the body
/// ends: libcurl skips what it does not know, takes the digits at the beginning
/// of a length and the last of several lengths.
class ResponseHead {
 public:
  /// Starts with a status line without its end; forgets the lines of an interim
  /// response. Returns kProtocolError if the line names no status that an
  /// answer may have: libcurl takes any three digits, also those of a longer
  /// number.
  Status Open(std::string_view line);

  /// Ends with the empty line.
  void Close() { is_open_ = false; }

  bool is_open() const { return is_open_; }

  /// Adds a line without its end. Returns kProtocolError if it is malformed or
  /// contradicts an earlier one.
  Status Add(std::string_view line);

  /// Whether a header tells where the body ends, other than the end of the
  /// connection.
  bool is_framed() const;

  const Headers& headers() const { return headers_; }

 private:
  Status CheckFrame(const Header& header) const;

  Headers headers_;
  bool is_open_ = false;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_RESPONSE_HEAD_H_
