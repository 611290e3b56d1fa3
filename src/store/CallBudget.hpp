#pragma once

#include "core/Clock.hpp"
#include "core/Random.hpp"

#include <chrono>
#include <cstdint>

namespace redwing {

struct CallBudgetSettings
{
  double callsPerSecond_ = 20;
  double burst_ = 40;
  std::chrono::milliseconds minimumBackOff_{ 50 };
  std::chrono::milliseconds maximumBackOff_{ 2000 };
};

/// Limits the store calls of one instance: a token bucket, and jittered exponential back-off after
/// errors so that a recovering store is not hit by the whole fleet at once.
class CallBudget
{
public:
  CallBudget(const Clock& aClock, std::uint64_t aSeed, CallBudgetSettings aSettings);

  /// Takes one call from the budget; returns false when none is left or a back-off is running.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  [[nodiscard]] bool TryAcquire();

  /// Ends the back-off after a call that the store answered.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnSuccess();

  /// Starts a back-off, twice as long as the one before. Errors that arrive during a back-off do
  /// not lengthen it: they belong to calls sent before it began.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnError();

  /// Returns the earliest time at which TryAcquire can succeed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  TimePoint NextCall() const;

private:
  double TokensAt(TimePoint aNow) const;

  const Clock& clock_;
  Random random_;
  CallBudgetSettings settings_;
  double tokens_;
  TimePoint refilled_;
  Duration backOff_{ 0 };
  TimePoint blockedUntil_;
};

} // namespace redwing
