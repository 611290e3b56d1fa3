#pragma once

#include "core/Clock.hpp"

#include <deque>

namespace redwing {

/// Limits how many requests a cold backend server receives within any sliding window of one second.
class ColdRateLimit
{
public:
  /// A previous process of this instance may have sent requests just before aStart. For the first
  /// second, half of the rate is therefore counted as already used.
  explicit ColdRateLimit(TimePoint aStart)
    : start_(aStart)
  {
  }

  /// Sets the limit in requests per second; 0 means no limit.
  ///
  /// Preconditions: aPerSecond >= 0. Thread safety: not thread-safe.
  void SetRate(double aPerSecond) { perSecond_ = aPerSecond; }

  /// Sets the time at which the server becomes warm; with a time in the past it is warm already.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetColdUntil(TimePoint aUntil) { coldUntil_ = aUntil; }

  /// Returns whether the server is cold and a limit is set.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsCold(TimePoint aNow) const { return perSecond_ > 0 && aNow < coldUntil_; }

  /// Returns the limit in requests per second that applies at aNow; 0 means no limit.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Rate(TimePoint aNow) const { return IsCold(aNow) ? perSecond_ : 0; }

  /// Returns whether a request may be sent at aNow.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Allows(TimePoint aNow);

  /// Records a request that was sent. Requests to a warm server are recorded too, because the
  /// server may have become cold before the router learns of it.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnSent(TimePoint aNow);

private:
  /// Drops the send times that have left the window.
  void Expire(TimePoint aNow);

  TimePoint start_;
  double perSecond_ = 0;
  TimePoint coldUntil_{};
  /// Send times within the last second.
  std::deque<TimePoint> sent_;
};

} // namespace redwing
