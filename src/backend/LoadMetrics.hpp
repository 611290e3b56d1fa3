#pragma once

#include "core/Counters.hpp"
#include "exchange/Events.hpp"

#include <cstdint>

namespace redwing {

/// Metrics by which an operator sees how full a backend server is, and how many of its responses
/// come within the target time of their routes.
class LoadMetrics
{
public:
  /// Preconditions: aCounters outlives this object. Thread safety: not thread-safe, like all
  /// functions here.
  explicit LoadMetrics(CounterRegistry& aCounters);

  /// Shows the load of the server, of which aLimit requests may run at present.
  ///
  /// Preconditions: none.
  void Show(const LoadReport& aLoad, std::uint32_t aLimit);

  /// Counts a response to a request with a target time.
  ///
  /// Preconditions: none.
  void OnResponse(bool aInTime);

private:
  Gauge& slots_;
  Gauge& limit_;
  Gauge& running_;
  Gauge& queued_;
  Gauge& wait_;
  Counter& inTime_;
  Counter& late_;
};

} // namespace redwing
