/// \file
/// Counts of answers in two generations.

#include "teaselhill/gateway/answer_memory.h"

#include <utility>

namespace teaselhill::gateway {

void AnswerMemory::OnAnswer(const CrashKey& key) {
  if (newer_.size() >= max_keys_ / 2)
    older_ = std::exchange(newer_, {});
  ++newer_[key];
}

int AnswerMemory::Count(const CrashKey& key) const {
  int count = 0;
  for (const Counts* counts : {&newer_, &older_}) {
    const auto found = counts->find(key);
    count += found == counts->end() ? 0 : found->second;
  }
  return count;
}

void AnswerMemory::ForgetOld(TimePoint now) {
  if (now - newer_since_ < retention_ / 2)
    return;
  older_ = std::exchange(newer_, {});
  newer_since_ = now;
}

}  // namespace teaselhill::gateway
