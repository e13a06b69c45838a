/// \file
/// Base class of the stand-ins: faults, the journal and the control paths.

#ifndef TEASELHILL_STANDIN_STANDIN_H_
#define TEASELHILL_STANDIN_STANDIN_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/standin/faults.h"
#include "teaselhill/standin/journal.h"

namespace teaselhill::standin {

/// Exit code of an injected crash.
constexpr int kCrashExitCode = 70;

struct StandInOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string name = "standin";
  uint64_t seed = 1;
  Duration latency{};        ///< delay before a request is served
  std::string crash_on;      ///< initial `crash_on` marker; empty: none
  std::string journal_file;  ///< empty: the journal is in memory only
};

/// Answers `/control/...` and applies the injected faults to all other
/// requests.
class StandIn : public net::HttpHandler {
 public:
  StandIn(net::EventLoop& loop, const StandInOptions& options);

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override;

  /// See Journal::OpenFile().
  bool OpenJournalFile(const std::string& path) {
    return journal_.OpenFile(path);
  }

 protected:
  using Response = std::shared_ptr<net::ResponseWriter>;

  virtual void Serve(net::HttpRequest request, Response response) = 0;

  /// Serves further paths under `/control/`; returns false for unknown ones.
  virtual bool ServeControl(const net::HttpRequest& request,
                            const Response& response);

  /// Whether the `slow` fault delays requests before they are served. If false,
  /// the derived class slows down its runs instead.
  virtual bool delays_requests() const { return true; }

  /// Calls `function` once after `delay`. If the stand-in is frozen at that
  /// time, the call is made when the freeze ends.
  void ScheduleCall(Duration delay, std::function<void()> function);

  void CrashOnMarker(std::string_view prompt);
  [[noreturn]] void Crash();

  TimePoint Now() const { return loop_.timers().Now(); }

  net::EventLoop& loop_;
  Faults faults_;
  Journal journal_;

 private:
  void HandleControl(const net::HttpRequest& request, const Response& response);
  void HandleFault(const net::HttpRequest& request, const Response& response);
  void Admit(net::HttpRequest request, Response response);
  void StartTimer(Duration delay, std::function<void()> function);
  void RunOrPostpone(std::function<void()> function);
  void RunPostponedCalls();

  Duration latency_;
  uint64_t last_timer_id_ = 0;
  std::map<uint64_t, TimerSubscription> timers_;
  /// Calls that are postponed until the freeze ends.
  std::deque<std::function<void()>> postponed_calls_;
  std::deque<Response> cut_off_responses_;
};

/// Responds with `status` and a JSON body.
void RespondJson(net::ResponseWriter& response, int status, std::string body);

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_STANDIN_H_
