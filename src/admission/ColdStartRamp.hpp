#pragma once

#include "core/Clock.hpp"

#include <cstdint>

namespace redwing {

/// Limits the concurrency of a backend server during its cold start (slow start). The limit starts
/// at the initial concurrency, doubles with each step in which requests succeed, and is halved on a
/// shed or a jump in latency. The ramp restarts when the server restarts or reports health `cold`.
class ColdStartRamp
{
public:
  /// Sets the initial concurrency, the duration of the ramp and the server's slots, without
  /// starting a ramp. If a ramp is running that was never reduced, its limit is raised to aInitial.
  ///
  /// Preconditions: aInitial > 0. Thread safety: not thread-safe.
  void Configure(std::uint32_t aInitial, Duration aRamp, std::uint32_t aSlots);

  /// Starts the ramp: after a restart, at the first announcement, or on health `cold`.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Begin(TimePoint aNow);

  /// Records whether the last health report said `cold`; the limit does not grow while it does.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetCold(bool aCold, TimePoint aNow);

  /// Records a request that succeeded.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnSuccess(TimePoint aNow);

  /// Records a request that the server shed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnShed(TimePoint aNow);

  /// Records a jump in latency; it reduces the limit only during a ramp.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnLatencyJump(TimePoint aNow);

  /// Returns the current limit on concurrent requests; UINT32_MAX outside a ramp.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint32_t Allowed() const;

  bool Ramping() const { return ramping_; }

private:
  /// Halves the limit, and starts a ramp if none is running.
  void Reduce(TimePoint aNow);

  std::uint32_t initial_ = 1;
  std::uint32_t slots_ = 1;
  /// Shortest time between two doublings.
  Duration step_{};
  bool ramping_ = false;
  bool cold_ = false;
  /// Whether the limit has not been reduced since the ramp started.
  bool neverReduced_ = false;
  std::uint32_t allowed_ = 1;
  /// Successes in the current step.
  std::uint32_t successes_ = 0;
  /// Sheds in the current window, outside a ramp.
  std::uint32_t recentSheds_ = 0;
  TimePoint stepStart_{};
  /// Start of the current shed window.
  TimePoint shedWindow_{};
};

} // namespace redwing
