#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <string_view>

namespace redwing::Detail {

/// Fields of the log line of a routing decision.
struct RouteDecision
{
  std::string_view requestId_;
  std::string_view workspace_;
  std::string_view route_;
  std::string_view service_;
  /// Shard of a keyed service; negative for a pool.
  std::int64_t shard_ = -1;
  std::string_view target_;
  std::uint32_t attempt_ = 0;
  std::string_view reason_;
};

/// Writes a log line per routing decision, up to a rate.
class RouteLog
{
public:
  RouteLog(const Clock& aClock, std::uint32_t aLinesPerSecond);

  /// Writes the line, or counts it as suppressed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Write(const RouteDecision& aDecision);

private:
  const Clock& clock_;
  std::uint32_t linesPerSecond_;
  std::uint32_t left_;
  TimePoint windowEnd_{};
  std::uint64_t suppressed_ = 0;
};

} // namespace redwing::Detail
