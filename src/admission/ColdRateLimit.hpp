#pragma once

#include "core/Clock.hpp"

#include <deque>

namespace redwing {

/// Limits the requests that a cold backend server gets in any span of one second.
class ColdRateLimit
{
public:
  /// What an earlier process of this instance may have sent is not known, so the server counts as
  /// having got half of its rate at aStart.
  explicit ColdRateLimit(TimePoint aStart)
    : start_(aStart)
  {
  }

  /// Sets the requests per second; 0 means no limit.
  ///
  /// Preconditions: aPerSecond >= 0. Thread safety: not thread-safe.
  void SetRate(double aPerSecond) { perSecond_ = aPerSecond; }

  /// Records until when the server stays cold; a time in the past means that it is warm.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetColdUntil(TimePoint aUntil) { coldUntil_ = aUntil; }

  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsCold(TimePoint aNow) const { return perSecond_ > 0 && aNow < coldUntil_; }

  /// Returns the requests per second that the server may get now; 0 means no limit.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Rate(TimePoint aNow) const { return IsCold(aNow) ? perSecond_ : 0; }

  /// Returns whether a request may be sent now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Allows(TimePoint aNow);

  /// Records a request that was sent; those sent to a warm server count as well, since it may turn
  /// out to have been cold already.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnSent(TimePoint aNow);

private:
  void Expire(TimePoint aNow);

  TimePoint start_;
  double perSecond_ = 0;
  TimePoint coldUntil_{};
  std::deque<TimePoint> sent_;
};

} // namespace redwing
