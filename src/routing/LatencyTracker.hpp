#pragma once

#include "core/Clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace redwing {

/// Quantiles of recent latencies from a logarithmic histogram whose old samples fade.
class LatencyTracker
{
public:
  /// Adds a sample.
  ///
  /// Preconditions: aLatency >= 0. Thread safety: not thread-safe.
  void Add(Duration aLatency);

  /// Returns the upper edge of the bucket that holds quantile aQuantile; zero without samples.
  ///
  /// Preconditions: 0 < aQuantile <= 1. Thread safety: not thread-safe.
  Duration Quantile(double aQuantile) const;

  /// Returns the faded number of samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint32_t Samples() const { return total_; }

private:
  static constexpr std::size_t kBuckets = 192;

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint32_t total_ = 0;
};

} // namespace redwing
