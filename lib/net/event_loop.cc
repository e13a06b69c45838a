/// \file
/// Event loop and timer service on Asio.

#include "teaselhill/net/event_loop.h"

#include <asio.hpp>
#include <csignal>

namespace teaselhill::net {

namespace {

/// A timer that re-arms itself until its subscription is gone.
class AsioTimer : public std::enable_shared_from_this<AsioTimer> {
 public:
  AsioTimer(asio::io_context& context,
            Duration period,
            TimerService::Callback callback)
      : timer_(context), period_(period), callback_(std::move(callback)) {}

  void Arm(TimePoint at) {
    timer_.expires_at(at);
    timer_.async_wait(
        [weak = weak_from_this(), at](const asio::error_code& error) {
          const std::shared_ptr<AsioTimer> self = weak.lock();
          if (self && !error)
            self->Fire(at);
        });
  }

 private:
  void Fire(TimePoint at) {
    const TimePoint now = SteadyNow();
    // A late loop skips missed periods instead of running them in a row.
    if (period_ > Duration::zero())
      Arm(std::max(at + period_, now));
    callback_(now);
  }

  asio::steady_timer timer_;
  Duration period_;
  TimerService::Callback callback_;
};

class AsioTimerService : public TimerService {
 public:
  explicit AsioTimerService(asio::io_context& context) : context_(context) {}

  TimePoint Now() const override { return SteadyNow(); }

  TimerSubscription Subscribe(Duration period, Callback callback) override {
    return Start(period, period, std::move(callback));
  }

  TimerSubscription After(Duration delay, Callback callback) override {
    return Start(delay, Duration::zero(), std::move(callback));
  }

 private:
  TimerSubscription Start(Duration delay, Duration period, Callback callback) {
    auto timer =
        std::make_shared<AsioTimer>(context_, period, std::move(callback));
    timer->Arm(SteadyNow() + delay);
    return TimerSubscription(std::move(timer));
  }

  asio::io_context& context_;
};

}  // namespace

class EventLoop::Impl {
 public:
  /// Runs handlers until the context is stopped.
  void Run() {
    while (true) {
      try {
        context.run();
        return;
      } catch (const std::exception& fault) {
        if (!exception_handler)
          throw;
        exception_handler(fault);
      }
    }
  }

  std::function<void(const std::exception&)> exception_handler;
  asio::io_context context{1};
  AsioTimerService timers{context};
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::Post(std::function<void()> function) {
  asio::post(impl_->context, std::move(function));
}

void EventLoop::Run() {
  {
    // Released before the restart: the last work that ends stops the context.
    const auto guard = asio::make_work_guard(impl_->context);
    impl_->Run();
  }
  // Lets Run() be called again; a Stop() that came before it is not lost.
  impl_->context.restart();
}

void EventLoop::SetExceptionHandler(
    std::function<void(const std::exception& fault)> handler) {
  impl_->exception_handler = std::move(handler);
}

void EventLoop::Stop() {
  impl_->context.stop();
}

asio::io_context& EventLoop::context() {
  return impl_->context;
}

TimerService& EventLoop::timers() {
  return impl_->timers;
}

namespace {

class SignalWatch : public std::enable_shared_from_this<SignalWatch> {
 public:
  SignalWatch(asio::io_context& context,
              std::initializer_list<int> numbers,
              std::function<void(int)> handler)
      : signals_(context), handler_(std::move(handler)) {
    for (int number : numbers)
      signals_.add(number);
  }

  void Wait() {
    signals_.async_wait(
        [weak = weak_from_this()](const asio::error_code& error, int number) {
          const std::shared_ptr<SignalWatch> self = weak.lock();
          if (!self || error)
            return;
          self->Wait();
          self->handler_(number);
        });
  }

 private:
  asio::signal_set signals_;
  std::function<void(int)> handler_;
};

std::shared_ptr<void> Watch(EventLoop& loop,
                            std::initializer_list<int> numbers,
                            std::function<void(int)> handler) {
  auto signals = std::make_shared<SignalWatch>(loop.context(), numbers,
                                               std::move(handler));
  signals->Wait();
  return signals;
}

}  // namespace

std::shared_ptr<void> HandleTermination(EventLoop& loop,
                                        std::function<void(int)> handler) {
  return Watch(loop, {SIGTERM, SIGINT}, std::move(handler));
}

std::shared_ptr<void> HandleHangup(EventLoop& loop,
                                   std::function<void(int)> handler) {
  return Watch(loop, {SIGHUP}, std::move(handler));
}

}  // namespace teaselhill::net
