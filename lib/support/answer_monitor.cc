/// \file
/// Observers of a source's answers.

#include "teaselhill/support/answer_monitor.h"

#include <algorithm>

namespace teaselhill {

void AnswerMonitor::Unsubscribe(Observer& observer) {
  observers_.erase(std::remove(observers_.begin(), observers_.end(), &observer),
                   observers_.end());
}

void AnswerMonitor::OnAnswer() {
  if (!in_doubt_)
    return;
  in_doubt_ = false;
  for (Observer* observer : observers_)
    observer->OnSourceBack();
}

void AnswerMonitor::OnMoved() {
  for (Observer* observer : observers_)
    observer->OnSourceBack();
}

void AnswerMonitor::OnRestored() {
  for (Observer* observer : observers_)
    observer->OnSourceRestored();
}

void AnswerMonitor::OnNoAnswer() {
  in_doubt_ = true;
  for (Observer* observer : observers_)
    observer->OnSourceInDoubt();
}

}  // namespace teaselhill
