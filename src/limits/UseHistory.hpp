#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace redwing {

/// Number of requests admitted in the last window, counted in buckets of time so that it can be
/// sent to another process. A request counts until its whole bucket has left the window.
class UseHistory
{
public:
  static constexpr std::chrono::milliseconds kBucket{ 250 };

  explicit UseHistory(Duration aWindow);

  /// Counts aCount requests as admitted at aNow, and drops the buckets that have left the window.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void Add(std::uint32_t aCount, TimePoint aNow);

  /// Returns the number of requests in the span that ends at aNow.
  ///
  /// Preconditions: aSpan is at most the window.
  double CountWithin(TimePoint aNow, Duration aSpan) const;

  /// Returns the counts of the window by bucket, newest first.
  std::vector<std::uint32_t> Export(TimePoint aNow) const;

  /// Adds counts that another process exported aAge before aNow.
  ///
  /// Preconditions: aAge >= 0.
  void Import(std::span<const std::uint32_t> aCounts, Duration aAge, TimePoint aNow);

private:
  using Index = std::int64_t;

  static Index IndexOf(TimePoint aTime) { return aTime.time_since_epoch() / kBucket; }

  Duration window_;
  std::map<Index, std::uint32_t> buckets_;
};

} // namespace redwing
