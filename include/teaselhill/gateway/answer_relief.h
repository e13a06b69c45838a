/// \file
/// Decides what becomes of the unfinished answer that holds most while all
/// unfinished messages exceed their bound.

#ifndef TEASELHILL_GATEWAY_ANSWER_RELIEF_H_
#define TEASELHILL_GATEWAY_ANSWER_RELIEF_H_

namespace teaselhill::gateway {

/// What is known of an answer that is held.
struct HeldAnswer {
  bool is_success = false;
  bool is_event_stream = false;
  bool has_length = false;  ///< its head tells how long it will be
  bool may_retry = false;   ///< its request may be sent again
};

enum class AnswerRelief {
  /// The caller gets what has arrived, and the rest as it arrives.
  kPassOn,
  /// The attempt fails, and counts as a failure of its upstream.
  kEndAttempt,
};

/// A plain answer of known length is taken for a large one, which its caller
/// can have. One without a length may never end, so the request is better sent
/// elsewhere, if it may be. An event that is not complete cannot be passed on.
AnswerRelief DecideAnswerRelief(const HeldAnswer& answer);

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_ANSWER_RELIEF_H_
