/// \file
/// Counts the requests of one server towards a memory budget and puts reads of
/// large ones off while requests hold much of it.

#include "read_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace teaselhill::net {

namespace {

/// Large requests go on in their order only while requests hold more than this
/// part of their share, and then at most so many at a time.
constexpr double kOrderedShare = 0.5;
constexpr size_t kMaxOrderedReads = 4;

/// While requests hold more than this part of their share, one large request
/// goes on at a time, and none while one is in progress, because its end
/// releases bytes.
constexpr double kStopShare = 0.75;

/// A read that has brought nothing for this long does not keep back others: a
/// slow caller holds no more while nothing arrives.
constexpr std::chrono::milliseconds kStalledAfter{20};

/// While requests hold their whole share and none is in progress, the largest
/// that has brought nothing for this long, and whose connection owes no answer,
/// is refused.
constexpr std::chrono::milliseconds kMaxStall{500};

/// Reads stall without an event.
constexpr std::chrono::milliseconds kCheckPeriod{10};

}  // namespace

ReadGate::Reader::Reader(std::shared_ptr<ReadGate> gate,
                         std::function<bool()> refuse)
    : gate_(std::move(gate)), refuse_(std::move(refuse)) {
  if (gate_->budget_)
    account_ = gate_->budget_->Open();
}

ReadGate::Reader::~Reader() {
  if (account_)
    gate_->Count(*account_, 0);
  gate_->Leave(*this);
}

bool ReadGate::Reader::MayRead() {
  if (!gate_->MayRead(*this))
    return false;
  if (place_)
    granted_at_ = gate_->timers_->Now();
  return true;
}

void ReadGate::Reader::PutOff(Read read) {
  put_off_ = std::move(read);
  ++gate_->put_off_count_;
  gate_->WatchStalls();
}

void ReadGate::Reader::CancelRead() {
  if (!put_off_)
    return;
  --gate_->put_off_count_;
  std::exchange(put_off_, nullptr)(false);
}

void ReadGate::Reader::OnReceived(size_t bytes,
                                  const std::function<void()>& use) {
  // `use` may destroy the reader.
  const std::shared_ptr<ReadGate> gate = gate_;
  if (account_)
    gate->SetBytes(*this, account_->bytes() + bytes);
  gate->current_ = this;
  use();
  gate->current_ = nullptr;
}

ReadGate::HeldRequest::HeldRequest(std::shared_ptr<ReadGate> gate, size_t bytes)
    : gate_(std::move(gate)), account_(gate_->budget_->Open()) {
  gate_->Count(*account_, bytes);
  if (bytes > kSmallRequestBytes)
    ++gate_->large_held_;
}

ReadGate::HeldRequest::~HeldRequest() {
  if (account_->bytes() > kSmallRequestBytes)
    --gate_->large_held_;
  gate_->Count(*account_, 0);
  gate_->Check();
}

ReadGate::ReadGate(MemoryBudget& budget, TimerService& timers)
    : budget_(&budget), timers_(&timers) {}

std::unique_ptr<ReadGate::HeldRequest> ReadGate::OnRequestComplete(
    size_t bytes) {
  if (!budget_)
    return nullptr;
  auto held = std::make_unique<HeldRequest>(shared_from_this(), bytes);
  // A request that was behind another one is not passed on by a read. It lies
  // in the buffer of its connection, which is small.
  if (current_) {
    Count(*current_->account_, 0);
    Leave(*current_);
  }
  return held;
}

void ReadGate::Close() {
  budget_ = nullptr;
  check_timer_.Cancel();
  // The end of a read may destroy its reader and others.
  std::vector<Read> dropped;
  for (const auto& [place, reader] : large_) {
    reader->place_.reset();
    dropped.push_back(std::exchange(reader->put_off_, nullptr));
  }
  large_.clear();
  put_off_count_ = 0;
}

bool ReadGate::IsHeld(double share) const {
  return static_cast<double>(held_bytes_) >
         share * static_cast<double>(budget_->max_fixed_bytes());
}

void ReadGate::Count(MemoryBudget::Account& account, size_t bytes) {
  held_bytes_ += bytes - account.bytes();
  account.Set(bytes);
}

bool ReadGate::MayRead(const Reader& reader) const {
  if (!budget_ || !reader.place_ || !IsHeld(kOrderedShare))
    return true;
  if (large_held_ > 0 && IsHeld(kStopShare))
    return false;
  const size_t max_reads = IsHeld(kStopShare) ? 1 : kMaxOrderedReads;
  // Requests that stall keep their bytes, so beyond the whole share others
  // must not add to them.
  const bool skips_stalled = !IsHeld(1);
  const TimePoint now = timers_->Now();
  size_t reads = 0;
  for (const auto& [place, other] : large_) {
    if (other == &reader)
      return true;
    if (skips_stalled && other->IsStalledFor(kStalledAfter, now))
      continue;
    if (++reads == max_reads)
      return false;
  }
  return true;
}

void ReadGate::SetBytes(Reader& reader, size_t bytes) {
  Count(*reader.account_, bytes);
  if (bytes <= kSmallRequestBytes || reader.place_ || !budget_)
    return;
  reader.place_ = ++last_place_;
  reader.granted_at_ = timers_->Now();
  large_.emplace(*reader.place_, &reader);
}

void ReadGate::Leave(Reader& reader) {
  if (current_ == &reader)
    current_ = nullptr;
  if (!reader.place_)
    return;
  large_.erase(*reader.place_);
  reader.place_.reset();
  Check();
}

void ReadGate::Check() {
  if (put_off_count_ == 0)
    return;
  std::vector<Reader*> granted;
  for (const auto& [place, reader] : large_) {
    if (reader->put_off_ && reader->MayRead())
      granted.push_back(reader);
  }
  put_off_count_ -= granted.size();
  for (Reader* reader : granted)
    std::exchange(reader->put_off_, nullptr)(true);
  RefuseStalled();
  WatchStalls();
}

void ReadGate::RefuseStalled() {
  if (!budget_ || large_held_ > 0 || !IsHeld(1))
    return;
  const TimePoint now = timers_->Now();
  std::vector<Reader*> stalled;
  for (const auto& [place, reader] : large_) {
    if (reader->IsStalledFor(kMaxStall, now))
      stalled.push_back(reader);
  }
  std::sort(stalled.begin(), stalled.end(),
            [](const Reader* left, const Reader* right) {
              return left->account_->bytes() > right->account_->bytes();
            });
  for (Reader* reader : stalled) {
    if (!reader->refuse_())
      continue;
    // Its connection ends before the next check.
    reader->granted_at_ = now;
    return;
  }
}

void ReadGate::WatchStalls() {
  if (put_off_count_ == 0)
    return check_timer_.Cancel();
  check_timer_ =
      timers_->After(kCheckPeriod, [weak = weak_from_this()](TimePoint) {
        if (const auto self = weak.lock())
          self->Check();
      });
}

}  // namespace teaselhill::net
