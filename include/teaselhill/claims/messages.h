/// \file
/// Records of stream `claims`, and answers that are kept for resends.

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

/// A claim of one key. `body` is a hash of the request body.
struct Claim {
  Hash128 key;
  uint64_t body = 0;
  WallTime key_time;  ///< from the UUIDv7
  /// Next offset of the claimer's reader when the request arrived. A claim that
  /// had not yet read a release of its key loses to it.
  LogOffset seen = 0;
};

/// The holder gave up before it sent; a later claim may win.
struct Release {
  Hash128 key;
  /// Offset of the released claim: a delayed copy of the release must not free
  /// the same holder's next claim of the key.
  LogOffset claim_offset = 0;
};

/// One record of stream `claims`: everything one host appends at a time.
struct ClaimBatch {
  HostIncarnation holder;
  uint64_t number = 0;  ///< identifies the batch within the incarnation
  std::vector<Claim> claims;
  std::vector<Release> releases;
};

/// JSON text of a batch, as stored under `data` in a log record.
std::string EncodeBatch(const ClaimBatch& batch);
Result<ClaimBatch> DecodeBatch(const std::string& json);

/// A complete answer. `code` is kOk when it was delivered by an upstream.
struct Answer {
  ResultCode code = ResultCode::kOk;
  int http_status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_CLAIMS_MESSAGES_H_
