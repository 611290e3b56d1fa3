#pragma once

#include "routing/LatencyTracker.hpp"

#include <optional>

namespace redwing {

/// Decides when a second attempt of an idempotent request of one service starts.
class HedgePolicy
{
public:
  /// Counts a request and returns the delay after which it may be hedged; nothing while too few
  /// latencies are known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<Duration> OnRequest();

  /// Returns the delay of the hedge when the attempt may well be slow, because it is the trial of
  /// an ejected member; nothing while too few latencies are known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<Duration> EarlyDelay() const;

  /// Adds the latency of a request from its first attempt to its first response.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnLatency(Duration aLatency) { latencies_.Add(aLatency); }

  /// Returns whether TryTake would succeed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool HasBudget() const { return tokens_ >= 1.0; }

  /// Takes one hedge from the budget if there is one.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool TryTake();

private:
  LatencyTracker latencies_;
  double tokens_ = 0;
};

} // namespace redwing
