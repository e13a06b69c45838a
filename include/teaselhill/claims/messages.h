/// \file
/// Records of stream `claims`, and answers that are stored for retries.

#ifndef TEASELHILL_CLAIMS_MESSAGES_H_
#define TEASELHILL_CLAIMS_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "teaselhill/support/hash.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::claims {

/// A host's claim to run the request of one key. `body_hash` is a hash of the
/// request body.
struct Claim {
  Hash128 key;
  uint64_t body_hash = 0;
  WallTime key_time;  ///< from the UUIDv7
  /// Offset of the next record that the claiming host would read when the
  /// request arrived. If the key has a release at this offset or later, the
  /// claim cannot win, because the host had not read that release.
  LogOffset next_read_offset = 0;
};

/// Releases a key whose request the holder abandoned before it ran. A later
/// claim of the key may win.
struct Release {
  Hash128 key;
  /// Offset of the released claim, so that a delayed duplicate of the release
  /// does not release a later claim of the key by the same holder.
  LogOffset claim_offset = 0;
};

/// One record of stream `claims`: the claims and releases that one host appends
/// together.
struct ClaimBatch {
  HostIncarnation holder;
  uint64_t number = 0;  ///< unique among the batches of the incarnation
  std::vector<Claim> claims;
  std::vector<Release> releases;
};

/// Returns the JSON text of a batch, as stored under `data` in a log record.
std::string EncodeBatch(const ClaimBatch& batch);
/// Fails with kUnreadableRecord.
Result<ClaimBatch> DecodeBatch(const std::string& json);

/// A complete answer. `code` is kOk for an answer that came from an upstream.
struct Answer {
  ResultCode code = ResultCode::kOk;
  int http_status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_MESSAGES_H_
