/// \file
/// Counts the work that one host sends to engines whose number is ordered.

#ifndef TEASELHILL_DUTIES_WORK_COUNTER_H_
#define TEASELHILL_DUTIES_WORK_COUNTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "teaselhill/duties/host_report.h"
#include "teaselhill/duties/work_source.h"

namespace teaselhill::duties {

/// Counts by service, failure domain of the engine and route tier. Callable
/// from any thread: the traffic thread counts, the control thread reports.
class WorkCounter : public WorkSource {
 private:
  struct Counts;

 public:
  /// A request at an engine; its end is counted when it is destroyed or
  /// reset. Default-constructed: counts nothing.
  class Request {
   public:
    Request() = default;
    Request(Request&& other) noexcept = default;
    Request& operator=(Request&& other) noexcept;
    Request(const Request&) = delete;
    Request& operator=(const Request&) = delete;
    ~Request() { Reset(); }

    /// Events arrived. `late`: whether the first of them came after the route's
    /// target.
    void OnEvents(uint64_t events, bool late);
    /// The engine had no room for it.
    void OnRefused();
    void Reset();

   private:
    friend class WorkCounter;
    std::shared_ptr<Counts> counts_;
    EngineWork* row_ = nullptr;
    bool started_ = false;
  };

  WorkCounter();

  /// A request was sent. `prompt_tokens`: that the engine has to read.
  Request OnSent(const std::string& service,
                 const std::string& domain,
                 int tier,
                 uint64_t prompt_tokens);

  /// This host refused a request of the service.
  void OnRefused(const std::string& service, int tier);

  /// Returns the work since the last call, and the open requests. Rows without
  /// either are left out.
  std::vector<EngineWork> TakeWork(TimePoint now) override;

 private:
  using Key = std::tuple<std::string, std::string, int>;

  /// Rows stay where they are while requests refer to them.
  struct Counts {
    std::mutex mutex;
    std::map<Key, EngineWork> rows;
  };

  EngineWork& Row(const std::string& service,
                  const std::string& domain,
                  int tier) const;

  std::shared_ptr<Counts> counts_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_WORK_COUNTER_H_
