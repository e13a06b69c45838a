/// \file
/// What becomes of an answer that holds too much memory.

#include "teaselhill/gateway/answer_relief.h"

namespace teaselhill::gateway {

AnswerRelief DecideAnswerRelief(const HeldAnswer& answer) {
  if (!answer.is_success || answer.is_event_stream)
    return AnswerRelief::kEndAttempt;
  return answer.has_length || !answer.may_retry ? AnswerRelief::kPassOn
                                                : AnswerRelief::kEndAttempt;
}

}  // namespace teaselhill::gateway
