#pragma once

#include "core/Clock.hpp"

#include <optional>

namespace redwing {

/// Estimates the service time of the backend server from completed requests.
///
/// The estimate fades while no request completes, so that a slow phase, during which deadlines made
/// the router refuse work, can't keep it refusing for ever.
class LoadEstimator
{
public:
  /// Adds the service time of a completed request.
  ///
  /// Preconditions: aServiceTime >= 0. Thread safety: not thread-safe.
  void Add(Duration aServiceTime, TimePoint aNow);

  /// Returns the expected service time; zero while nothing is known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration ServiceTime(TimePoint aNow) const;

  /// Returns the average over many requests, which does not fade; zero while too few are known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration UsualServiceTime() const;

  /// Returns whether recent requests took several times as long as usual.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool LatencyJumped() const;

  /// Forgets all samples, after a restart of the backend server.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Reset();

private:
  std::optional<double> recent_;
  std::optional<double> usual_;
  unsigned samples_ = 0;
  TimePoint lastSample_{};
};

} // namespace redwing
