/// \file
/// Keys of requests and parts of prompts.

#include "teaselhill/gateway/crash_keys.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace teaselhill::gateway {

/// High half of the keys of parts; fingerprints are hashes and do not meet it.
static constexpr uint64_t kPromptPartTag = 0x70726f6d70740001;

CrashKey PromptPartKey(uint64_t part_id) {
  return {kPromptPartTag, part_id};
}

std::optional<uint64_t> PromptPartId(const CrashKey& key) {
  if (key.high != kPromptPartTag)
    return std::nullopt;
  return key.low;
}

std::string_view CrashKeyField(const CrashKey& key) {
  return PromptPartId(key) ? "prompt_part" : "fingerprint";
}

std::string CrashKeyText(const CrashKey& key) {
  const std::optional<uint64_t> part_id = PromptPartId(key);
  if (!part_id)
    return ToHex(key);
  std::ostringstream text;
  text << std::hex << *part_id;
  return text.str();
}

CrashKeys::CrashKeys(const Hash128& request,
                     std::vector<CrashKey> prompt_parts,
                     std::string_view team_name)
    : fingerprint(request),
      parts(std::move(prompt_parts)),
      team(Hash64(team_name)) {
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
}

bool CrashKeys::Contains(const CrashKey& key) const {
  return key == fingerprint ||
         std::binary_search(parts.begin(), parts.end(), key);
}

}  // namespace teaselhill::gateway
