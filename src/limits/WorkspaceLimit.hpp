#pragma once

#include "core/Clock.hpp"

namespace redwing {

/// Largest relative difference in clock rate between two machines that the limits tolerate.
constexpr double kLimitClockDrift = 0.01;

/// Rate limit of one workspace for all instances together.
struct WorkspaceLimit
{
  /// Requests per second.
  double rate_ = 0;
  /// Requests that may arrive at once; at least 1.
  double burst_ = 1;

  bool operator==(const WorkspaceLimit&) const = default;

  /// Returns the time to live of a slice: a tenth of the time in which the rate refills the burst,
  /// so that outstanding slices take up only a small part of the burst; within the bounds below.
  ///
  /// Preconditions: rate_ > 0. Thread safety: callable from any thread.
  Duration SliceTimeToLive() const;
};

/// Bounds of a slice's time to live. Below 50 ms, scheduling delays would let many tokens expire
/// unused.
constexpr Duration kMinSliceTimeToLive = std::chrono::milliseconds(50);
constexpr Duration kMaxSliceTimeToLive = std::chrono::seconds(1);

} // namespace redwing
