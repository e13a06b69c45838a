/// \file
/// A thread of its own for an event loop.

#ifndef TEASELHILL_LIB_GATEWAY_LOOP_THREAD_H_
#define TEASELHILL_LIB_GATEWAY_LOOP_THREAD_H_

#include <pthread.h>

#include <thread>

#include "teaselhill/net/event_loop.h"

namespace teaselhill::gateway {

/// Runs an event loop on its own thread and joins it on destruction.
class LoopThread {
 public:
  LoopThread(net::EventLoop& loop, const char* name)
      : loop_(loop), thread_([&loop] { loop.Run(); }) {
    pthread_setname_np(thread_.native_handle(), name);
  }
  ~LoopThread() {
    loop_.Stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

 private:
  net::EventLoop& loop_;
  std::thread thread_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_LOOP_THREAD_H_
