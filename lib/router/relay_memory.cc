/// \file
/// Bounds on what a relay holds of its answer.

#include "relay_attempt.h"

namespace teaselhill::router {

size_t Relay::HeldBytes() const {
  size_t bytes = answer_.held_bytes();
  for (const auto& [number, attempt] : attempts_)
    bytes += attempt->held_bytes();
  return bytes;
}

void Relay::CountHeldBytes() {
  if (account_)
    account_->Set(HeldBytes());
}

void Relay::OpenAccount() {
  if (account_ || !context_.budget)
    return;
  account_ = context_.budget->Open([weak = weak_from_this()] {
    if (const std::shared_ptr<Relay> relay = weak.lock())
      relay->GiveWay();
  });
}

void Relay::GiveWay() {
  const size_t held = HeldBytes();
  // A copy for callers that retry is worth less than the answer itself.
  if (answer_.stored_bytes() >= held - answer_.stored_bytes()) {
    answer_.DropStored();
    CountHeldBytes();
    return;
  }
  const auto attempts = attempts_;
  const bool begins_anew = answer_.DropCollected();
  for (const auto& [number, attempt] : attempts) {
    // An attempt that resumes the answer cannot begin it anew.
    const bool gives_way =
        begins_anew || attempt->held_bytes() > 0 || selected_attempt_ == number;
    if (attempt->ended_ || !gives_way)
      continue;
    EndBrokenStream(*attempt,
                    {ResultCode::kProtocolError,
                     "the unfinished answer held " + std::to_string(held) +
                         " bytes, more than any other one, when the "
                         "memory for them was used up"});
  }
  CountHeldBytes();
}

}  // namespace teaselhill::router
