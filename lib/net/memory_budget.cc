/// \file
/// Bound on the bytes that the unfinished messages of an event loop hold
/// together.

#include "teaselhill/net/memory_budget.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <utility>
#include <vector>

namespace teaselhill::net {

namespace {

/// Ending a message that holds less than this part of the budget, one of so
/// many, would free next to nothing.
constexpr size_t kMinGiveWayShare = 512;

}  // namespace

/// Shared with the accounts, which may outlive the budget.
struct MemoryBudget::State : std::enable_shared_from_this<State> {
  /// Whether accounts have to give way.
  bool IsExceeded() const {
    const size_t fixed = std::min(fixed_bytes, max_bytes / 2);
    return held_bytes - fixed_bytes > max_bytes - fixed;
  }
  void PostRelief();
  void Relieve();
  /// The account that holds most, but less than `limit`; null: none may give
  /// way.
  Account* Largest(size_t limit) const;

  size_t max_bytes = 0;
  Post post;  ///< null: the budget has been destroyed
  std::atomic<size_t> held_bytes{0};
  size_t fixed_bytes = 0;  ///< of accounts that never give way
  std::vector<Account*> accounts;
  bool is_relief_posted = false;
};

MemoryBudget::Account::Account(std::shared_ptr<State> state, GiveWay give_way)
    : state_(std::move(state)),
      give_way_(std::move(give_way)),
      index_(state_->accounts.size()) {
  state_->accounts.push_back(this);
}

MemoryBudget::Account::~Account() {
  Set(0);
  std::vector<Account*>& accounts = state_->accounts;
  accounts[index_] = accounts.back();
  accounts[index_]->index_ = index_;
  accounts.pop_back();
}

void MemoryBudget::Account::Set(size_t bytes) {
  const bool has_grown = bytes > bytes_;
  state_->held_bytes += bytes - bytes_;
  if (!give_way_)
    state_->fixed_bytes += bytes - bytes_;
  bytes_ = bytes;
  if (has_grown && state_->IsExceeded())
    state_->PostRelief();
}

MemoryBudget::MemoryBudget(size_t max_bytes, Post post)
    : state_(std::make_shared<State>()) {
  state_->max_bytes = max_bytes;
  state_->post = std::move(post);
}

MemoryBudget::~MemoryBudget() {
  state_->post = nullptr;
}

std::unique_ptr<MemoryBudget::Account> MemoryBudget::Open(GiveWay give_way) {
  return std::unique_ptr<Account>(new Account(state_, std::move(give_way)));
}

size_t MemoryBudget::max_bytes() const {
  return state_->max_bytes;
}

size_t MemoryBudget::held_bytes() const {
  return state_->held_bytes;
}

void MemoryBudget::State::PostRelief() {
  if (!post || is_relief_posted)
    return;
  is_relief_posted = true;
  post([weak = weak_from_this()] {
    if (const auto state = weak.lock())
      state->Relieve();
  });
}

MemoryBudget::Account* MemoryBudget::State::Largest(size_t limit) const {
  Account* largest = nullptr;
  for (Account* account : accounts) {
    if (account->give_way_ && account->bytes_ < limit &&
        account->bytes_ > max_bytes / kMinGiveWayShare &&
        (!largest || account->bytes_ > largest->bytes_))
      largest = account;
  }
  return largest;
}

void MemoryBudget::State::Relieve() {
  is_relief_posted = false;
  size_t limit = std::numeric_limits<size_t>::max();
  while (post && IsExceeded()) {
    Account* largest = Largest(limit);
    if (!largest)
      return;
    // The function may destroy the account, and itself with it.
    const GiveWay give_way = largest->give_way_;
    const size_t bytes = largest->bytes_;
    const size_t held_before = held_bytes;
    give_way();
    // One that keeps its bytes is passed over.
    if (held_bytes >= held_before)
      limit = bytes;
  }
}

}  // namespace teaselhill::net
