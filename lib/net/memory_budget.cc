/// \file
/// Bound on the bytes that the unfinished messages of an event loop hold
/// together.

#include "teaselhill/net/memory_budget.h"

#include <utility>

namespace teaselhill::net {

MemoryBudget::Account::~Account() {
  Set(0);
  std::vector<Account*>& accounts = budget_.accounts_;
  accounts[index_] = accounts.back();
  accounts[index_]->index_ = index_;
  accounts.pop_back();
}

void MemoryBudget::Account::Set(size_t bytes) {
  const bool has_grown = bytes > bytes_;
  budget_.held_bytes_ += bytes - bytes_;
  bytes_ = bytes;
  if (!has_grown || !budget_.IsExceeded() || budget_.relief_posted_)
    return;
  budget_.relief_posted_ = true;
  budget_.post_(
      [budget = &budget_, alive = std::weak_ptr<int>(budget_.alive_)] {
        if (alive.lock())
          budget->Relieve();
      });
}

MemoryBudget::MemoryBudget(size_t max_bytes, Post post)
    : max_bytes_(max_bytes), post_(std::move(post)) {}

MemoryBudget::~MemoryBudget() = default;

std::unique_ptr<MemoryBudget::Account> MemoryBudget::Open(GiveWay give_way) {
  auto account =
      std::unique_ptr<Account>(new Account(*this, std::move(give_way)));
  account->index_ = accounts_.size();
  accounts_.push_back(account.get());
  return account;
}

MemoryBudget::Account* MemoryBudget::Largest() const {
  Account* largest = nullptr;
  for (Account* account : accounts_) {
    if (account->give_way_ && account->bytes_ > 0 &&
        (!largest || account->bytes_ > largest->bytes_))
      largest = account;
  }
  return largest;
}

void MemoryBudget::Relieve() {
  relief_posted_ = false;
  while (IsExceeded()) {
    Account* largest = Largest();
    if (!largest)
      return;
    // The function may destroy the account, and itself with it.
    const GiveWay give_way = largest->give_way_;
    const size_t held_before = held_bytes_;
    give_way();
    if (held_bytes_ >= held_before)
      return;
  }
}

}  // namespace teaselhill::net
