#pragma once

#include "core/Clock.hpp"

#include <cstddef>
#include <deque>

namespace redwing::Detail {

/// Arrival times of the bytes of a connection that were read and not consumed yet.
class ArrivalTimes
{
public:
  /// Adds aBytes that arrived at aAt, or together with the bytes before them if aAt is earlier.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Add(std::size_t aBytes, TimePoint aAt);

  /// Removes aBytes and returns when the last of them arrived; a zero time for no bytes.
  ///
  /// Preconditions: aBytes is at most the number of bytes that are left. Thread safety: not
  /// thread-safe.
  TimePoint Consume(std::size_t aBytes);

  /// Removes all bytes.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Clear() { parts_.clear(); }

private:
  struct Part
  {
    std::size_t bytes_;
    TimePoint at_;
  };
  std::deque<Part> parts_;
};

} // namespace redwing::Detail
