/// \file
/// Bound on the bytes that the unfinished messages of an event loop hold
/// together.

#ifndef TEASELHILL_NET_MEMORY_BUDGET_H_
#define TEASELHILL_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <memory>

namespace teaselhill::net {

/// Sum of what accounts hold. When it exceeds the bound, the account that holds
/// most is told to give way, and so on until the rest fits or what each account
/// holds is a negligible part of the bound. This happens in a
/// function that is posted to the loop, so an owner may report bytes from any
/// callback. Accounts that outlive it count no more. Used on the loop's thread
/// only, except for held_bytes().
class MemoryBudget {
 public:
  /// Runs a function soon, but not before it returns.
  using Post = std::function<void(std::function<void()>)>;

  /// Drops what an account holds.
  using GiveWay = std::function<void()>;

  struct State;

  /// Bytes of one message; none once it is destroyed.
  class Account {
   public:
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Sets the bytes that the message holds now.
    void Set(size_t bytes);
    size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    Account(std::shared_ptr<State> state, GiveWay give_way);

    std::shared_ptr<State> state_;
    GiveWay give_way_;
    size_t bytes_ = 0;
    size_t index_ = 0;  ///< in State::accounts
  };

  MemoryBudget(size_t max_bytes, Post post);
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Opens an account without bytes. `give_way` makes it hold none, and may
  /// destroy it; if it keeps its bytes, the next largest account gives way.
  /// Without a function, the account counts but never gives way.
  std::unique_ptr<Account> Open(GiveWay give_way = nullptr);

  size_t max_bytes() const;

  /// Bytes that accounts which never give way should hold at most. More of them
  /// do not make other accounts give way.
  size_t max_fixed_bytes() const { return max_bytes() / 2; }

  bool IsExceeded() const { return held_bytes() > max_bytes(); }

  /// Callable from any thread.
  size_t held_bytes() const;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_MEMORY_BUDGET_H_
