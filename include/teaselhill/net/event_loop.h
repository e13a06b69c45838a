/// \file
/// An Asio event loop run by one thread, with the timer service on top of it.

#ifndef TEASELHILL_NET_EVENT_LOOP_H_
#define TEASELHILL_NET_EVENT_LOOP_H_

#include <exception>
#include <functional>
#include <memory>

#include "teaselhill/support/timer_service.h"

namespace asio {
class io_context;
}

namespace teaselhill::net {

/// Runs posted functions, timers and sockets on the thread that calls Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs `function` on the loop's thread. Callable from any thread.
  void Post(std::function<void()> function);

  /// Runs until Stop(), also while no work is pending.
  void Run();

  /// Calls `handler` on the loop's thread for each exception that leaves a
  /// function, timer or socket handler; the loop goes on with the next one.
  /// Without it Run() throws the exception. Call it before Run().
  void SetExceptionHandler(
      std::function<void(const std::exception& fault)> handler);

  /// Makes Run() return soon. Callable from any thread.
  void Stop();

  asio::io_context& context();
  TimerService& timers();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Calls `handler` on the loop's thread for SIGTERM and SIGINT until the
/// returned subscription is destroyed.
std::shared_ptr<void> HandleTermination(EventLoop& loop,
                                        std::function<void(int)> handler);

/// The same for SIGHUP, by which an operator asks for a reload.
std::shared_ptr<void> HandleHangup(EventLoop& loop,
                                   std::function<void(int)> handler);

}  // namespace teaselhill::net

#endif  // TEASELHILL_NET_EVENT_LOOP_H_
