/// \file
/// Tells the readers of one source whether the requests of any are answered.

#ifndef TEASELHILL_SUPPORT_ANSWER_MONITOR_H_
#define TEASELHILL_SUPPORT_ANSWER_MONITOR_H_

#include <vector>

namespace teaselhill {

/// A read that waits at its source does not show for seconds that the source
/// has stopped answering. So when one request has no answer, the other readers
/// hear of it and ask again; and so they do when the source answers one of them
/// again. Used on one thread.
class AnswerMonitor {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    /// A request of some reader had no answer in time.
    virtual void OnSourceInDoubt() = 0;
    /// The source answers again.
    virtual void OnSourceBack() {}
    /// The source has come back from an older copy, which lacks what was
    /// written last.
    virtual void OnSourceRestored() {}
  };

  void Subscribe(Observer& observer) { observers_.push_back(&observer); }
  void Unsubscribe(Observer& observer);

  /// Whether no request was answered since one had no answer. Reads should not
  /// wait at the source meanwhile.
  bool in_doubt() const { return in_doubt_; }

  void OnAnswer();
  /// A request had no answer, or the source refused to serve it.
  void OnNoAnswer();
  /// The source answers at another address from now on: requests in progress
  /// may never be answered, and the readers ask again.
  void OnMoved();
  /// See Observer::OnSourceRestored().
  void OnRestored();

 private:
  std::vector<Observer*> observers_;
  bool in_doubt_ = false;
};

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_ANSWER_MONITOR_H_
