#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <string_view>

namespace redwing {

/// Writes a log line per refused request, at most kLinesPerSecond; under overload the next line
/// says how many were left out.
class RefusalLog
{
public:
  /// Preconditions: none. Thread safety: not thread-safe.
  void Write(const RequestStart& aStart,
             Outcome aOutcome,
             ErrorCode aCode,
             std::string_view aDetail,
             TimePoint aNow);

private:
  static constexpr std::uint32_t kLinesPerSecond = 20;

  TimePoint second_{};
  std::uint32_t lines_ = 0;
  std::uint64_t suppressed_ = 0;
};

} // namespace redwing
