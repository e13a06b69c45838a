/// \file
/// What crashes of upstreams are counted by: a request, and the parts of its
/// prompt that other requests may share.

#ifndef TEASELHILL_GATEWAY_CRASH_KEYS_H_
#define TEASELHILL_GATEWAY_CRASH_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselhill/support/hash.h"

namespace teaselhill::gateway {

/// A possible cause of crashes: the fingerprint of a request, or the key of a
/// part of prompts. Hosts exchange both in the same way.
using CrashKey = Hash128;

/// Key of the part with this id. The id can be read from the key, so that each
/// host can name the part.
CrashKey PromptPartKey(uint64_t part_id);

/// Id of the part; nothing for the fingerprint of a request.
std::optional<uint64_t> PromptPartId(const CrashKey& key);

/// Name and value of the log field that names the key.
std::string_view CrashKeyField(const CrashKey& key);
std::string CrashKeyText(const CrashKey& key);

/// The possible causes in one request.
struct CrashKeys {
  CrashKeys() = default;
  /// A request without a prompt of parts, of an unnamed team.
  CrashKeys(const Hash128& request) : fingerprint(request) {}  // NOLINT
  CrashKeys(const Hash128& request,
            std::vector<CrashKey> prompt_parts,
            std::string_view team_name);

  /// Identifies a repeat of the request.
  Hash128 fingerprint;
  /// Parts of the prompt, each once, without the last one, which belongs to the
  /// request alone.
  std::vector<CrashKey> parts;
  uint64_t team = 0;  ///< hash of the team's name

  bool Contains(const CrashKey& key) const;

  template <typename Visit>
  void ForEach(Visit visit) const {
    visit(fingerprint);
    for (const CrashKey& part : parts)
      visit(part);
  }
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_CRASH_KEYS_H_
