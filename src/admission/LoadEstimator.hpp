#pragma once

#include "core/Clock.hpp"

#include <optional>

namespace redwing {

/// Estimates the service time of a backend server from completed requests.
///
/// The estimate decays while no request completes. Otherwise, after a slow phase, the router would
/// refuse every request as unable to meet its deadline and never get a sample that corrects the
/// estimate.
class LoadEstimator
{
public:
  /// Adds the service time of a completed request.
  ///
  /// Preconditions: aServiceTime >= 0. Thread safety: not thread-safe.
  void Add(Duration aServiceTime, TimePoint aNow);

  /// Returns the expected service time, a decaying average of recent requests; zero without
  /// samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration ServiceTime(TimePoint aNow) const;

  /// Returns the long-term average, which does not decay; zero while there are too few samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration LongTermServiceTime() const;

  /// Returns whether recent requests took several times the long-term average.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool LatencyJumped() const;

  /// Discards all samples, after a restart of the backend server.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Reset();

private:
  /// Averages in nanoseconds.
  std::optional<double> recentMean_;
  std::optional<double> longTermMean_;
  unsigned samples_ = 0;
  TimePoint lastSample_{};
};

} // namespace redwing
