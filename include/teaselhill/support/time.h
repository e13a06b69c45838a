/// \file
/// Time types used in every signature that holds a time.

#ifndef TEASELHILL_SUPPORT_TIME_H_
#define TEASELHILL_SUPPORT_TIME_H_

#include <time.h>

#include <chrono>

namespace teaselhill {

using Duration = std::chrono::nanoseconds;

/// Monotonic time of one process. State machines take it as an argument, so
/// tests pass any value.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time, used only where a time crosses hosts (key ages, log times).
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

inline double ToMilliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Monotonic time that also counts while the machine is suspended. Deadlines of
/// callers go on meanwhile.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace teaselhill

#endif  // TEASELHILL_SUPPORT_TIME_H_
