#pragma once

#include "core/Clock.hpp"

namespace redwing {

/// Largest difference in clock rate between two machines that the limits tolerate.
constexpr double kLimitClockDrift = 0.01;

/// Rate limit of one workspace over all instances together.
struct WorkspaceLimit
{
  /// Requests per second.
  double rate_ = 0;
  /// Requests that may come at once; at least 1.
  double burst_ = 1;

  bool operator==(const WorkspaceLimit&) const = default;

  /// Returns how long tokens of a slice may be used: a tenth of the time in which the rate refills
  /// the burst, so that outstanding slices hold back only a small part of the burst.
  ///
  /// Preconditions: rate_ > 0. Thread safety: callable from any thread.
  Duration SliceTimeToLive() const;
};

/// Bounds of the time to live. Below 50 ms, scheduling delays would let many tokens expire unused.
constexpr Duration kMinSliceTimeToLive = std::chrono::milliseconds(50);
constexpr Duration kMaxSliceTimeToLive = std::chrono::seconds(1);

} // namespace redwing
