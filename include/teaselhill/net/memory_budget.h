/// \file
/// Bound on the bytes that the unfinished messages of an event loop hold
/// together.

#ifndef TEASELHILL_NET_MEMORY_BUDGET_H_
#define TEASELHILL_NET_MEMORY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace teaselhill::net {

/// Sum of what accounts hold. When it exceeds the bound, the account that holds
/// most is told to give way, and so on until the rest fits. This happens in a
/// function that is posted to the loop, so an owner may report bytes from any
/// callback. Must outlive its accounts. Used on the loop's thread only, except
/// for held_bytes().
class MemoryBudget {
 public:
  /// Runs a function soon, but not before it returns.
  using Post = std::function<void(std::function<void()>)>;

  /// Drops what an account holds.
  using GiveWay = std::function<void()>;

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
    Account(MemoryBudget& budget, GiveWay give_way)
        : budget_(budget), give_way_(std::move(give_way)) {}

    MemoryBudget& budget_;
    GiveWay give_way_;
    size_t bytes_ = 0;
    size_t index_ = 0;  ///< in MemoryBudget::accounts_
  };

  MemoryBudget(size_t max_bytes, Post post);
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Opens an account without bytes. `give_way` must make it hold none, and may
  /// destroy it; without a function, the account counts but never gives way.
  std::unique_ptr<Account> Open(GiveWay give_way = nullptr);

  size_t max_bytes() const { return max_bytes_; }
  bool IsExceeded() const { return held_bytes_ > max_bytes_; }

  /// Callable from any thread.
  size_t held_bytes() const { return held_bytes_; }

 private:
  void Relieve();
  Account* Largest() const;

  size_t max_bytes_;
  Post post_;
  std::atomic<size_t> held_bytes_{0};
  std::vector<Account*> accounts_;
  bool relief_posted_ = false;
  /// Expires with the budget, for functions that were posted.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_MEMORY_BUDGET_H_
