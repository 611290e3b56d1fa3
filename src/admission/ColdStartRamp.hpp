#pragma once

#include "core/Clock.hpp"

#include <cstdint>

namespace redwing {

/// Limits the concurrency of a backend server in cold start. The allowance starts at the initial
/// concurrency, doubles each step while requests succeed without sheds, and falls on a shed or a
/// jump in latency. A health report of `cold` or a restart begins the ramp again.
class ColdStartRamp
{
public:
  /// Sets the shape of the ramp; does not begin one. A ramp that has begun with a lower initial
  /// concurrency, and has not fallen back since, rises to the new one.
  ///
  /// Preconditions: aInitial > 0. Thread safety: not thread-safe.
  void Configure(std::uint32_t aInitial, Duration aRamp, std::uint32_t aSlots);

  /// Begins the ramp: restart, first announcement, or health `cold`.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Begin(TimePoint aNow);

  /// Records whether the last health report said `cold`; the allowance does not grow meanwhile.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetCold(bool aCold, TimePoint aNow);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnSuccess(TimePoint aNow);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnShed(TimePoint aNow);

  /// Records a jump in latency.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnLatencyJump(TimePoint aNow);

  /// Returns the concurrency allowed now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint32_t Allowed() const;

  bool Ramping() const { return ramping_; }

private:
  void FallBack(TimePoint aNow);

  std::uint32_t initial_ = 1;
  std::uint32_t slots_ = 1;
  Duration step_{};
  bool ramping_ = false;
  bool cold_ = false;
  /// The ramp has not fallen back since it began.
  bool untouched_ = false;
  std::uint32_t allowed_ = 1;
  std::uint32_t successes_ = 0;
  std::uint32_t recentSheds_ = 0;
  TimePoint stepStart_{};
  TimePoint shedWindow_{};
};

} // namespace redwing
