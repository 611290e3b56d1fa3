#pragma once

#include "core/Counters.hpp"
#include "fleet/ShardHolds.hpp"

#include <array>
#include <cstdint>

namespace redwing {

/// Metrics of what the local server is granted and may hold.
class HoldMetrics
{
public:
  /// Preconditions: aCounters outlives this object.
  explicit HoldMetrics(CounterRegistry& aCounters);

  /// Sets the gauges, and adds what has ended since the last call to the counters.
  ///
  /// Preconditions: each call is given a later status of the same ShardHolds. Thread safety: not
  /// thread-safe.
  void Set(const HoldStatus& aStatus);

private:
  Gauge& granted_;
  Gauge& held_;
  Gauge& holdLeft_;
  Gauge& leaseLeft_;
  std::array<Counter*, kHoldEnds.size()> ended_{};
  std::array<std::uint64_t, kHoldEnds.size()> counted_{};
};

} // namespace redwing
