#pragma once

#include <chrono>

namespace redwing {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of monotonic time. Decision classes take it by reference so that tests control time.
class Clock
{
public:
  virtual ~Clock() = default;

  /// Returns the current monotonic time.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual TimePoint Now() const = 0;
};

} // namespace redwing
