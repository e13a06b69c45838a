/// \file
/// Counts the requests of one server towards a memory budget and puts reads of
/// large ones off while requests hold much of it.

#ifndef TEASELHILL_LIB_NET_READ_GATE_H_
#define TEASELHILL_LIB_NET_READ_GATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "teaselhill/net/memory_budget.h"
#include "teaselhill/support/time.h"
#include "teaselhill/support/timer_service.h"

namespace teaselhill::net {

/// Large requests that are not received whole read on in the order in which
/// they became large, so that the first ones end and release their bytes. Small
/// requests are never put off. What other messages hold of the budget does not
/// count here: those give way to requests. Used on the loop's thread only.
class ReadGate : public std::enable_shared_from_this<ReadGate> {
 public:
  /// A request that has received more than this is large.
  static constexpr size_t kSmallRequestBytes = 64 << 10;

  /// Starts a read, or ends it if the argument is false.
  using Read = std::function<void(bool is_granted)>;

  /// The unfinished request of one connection.
  class Reader {
   public:
    /// `refuse` ends the connection with a refusal of its request and returns
    /// true, or returns false if the connection owes an answer.
    Reader(std::shared_ptr<ReadGate> gate, std::function<bool()> refuse);
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    /// Whether the connection may read now. If so, it has to.
    bool MayRead();

    /// Calls `read` when the connection may read.
    void PutOff(Read read);

    /// Ends a read that is put off; no effect without one.
    void CancelRead();

    /// Counts what a read has brought and calls `use`, in which
    /// ReadGate::OnRequestComplete() concerns this connection.
    void OnReceived(size_t bytes, const std::function<void()>& use);

   private:
    friend class ReadGate;

    /// Whether a read has brought nothing for `period`.
    bool IsStalledFor(Duration period, TimePoint now) const {
      return !put_off_ && now - granted_at_ >= period;
    }

    std::shared_ptr<ReadGate> gate_;
    std::function<bool()> refuse_;
    std::unique_ptr<MemoryBudget::Account> account_;
    /// Place in the order of large requests; nothing for a small one.
    std::optional<uint64_t> place_;
    TimePoint granted_at_{};
    Read put_off_;
  };

  /// A whole request that is counted until it is destroyed.
  class HeldRequest {
   public:
    HeldRequest(std::shared_ptr<ReadGate> gate, size_t bytes);
    ~HeldRequest();
    HeldRequest(const HeldRequest&) = delete;
    HeldRequest& operator=(const HeldRequest&) = delete;

   private:
    std::shared_ptr<ReadGate> gate_;
    std::unique_ptr<MemoryBudget::Account> account_;
  };

  ReadGate(MemoryBudget& budget, TimerService& timers);

  /// The connection that calls Reader::OnReceived() has passed on a request of
  /// `bytes`.
  std::unique_ptr<HeldRequest> OnRequestComplete(size_t bytes);

  /// Drops all reads that are put off and counts nothing any more. Call it
  /// before the budget or the timers are destroyed.
  void Close();

 private:
  /// Whether requests hold more than `share` of the budget.
  bool IsHeld(double share) const;
  void Count(MemoryBudget::Account& account, size_t bytes);
  bool MayRead(const Reader& reader) const;
  void SetBytes(Reader& reader, size_t bytes);
  void Leave(Reader& reader);

  /// Grants the reads that may go on.
  void Check();
  /// Refuses a request that keeps back all others and does not arrive.
  void RefuseStalled();
  void WatchStalls();

  MemoryBudget* budget_;  ///< null: closed
  TimerService* timers_;
  std::map<uint64_t, Reader*> large_;
  uint64_t last_place_ = 0;
  size_t held_bytes_ = 0;  ///< of all requests
  size_t put_off_count_ = 0;
  size_t large_held_ = 0;
  Reader* current_ = nullptr;
  TimerSubscription check_timer_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_READ_GATE_H_
