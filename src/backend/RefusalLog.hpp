#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <string_view>

namespace redwing {

/// Logs refused requests, at most kLinesPerSecond of them; the next line that is written states how
/// many were suppressed.
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
