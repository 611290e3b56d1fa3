#pragma once

#include "config/Configuration.hpp"
#include "intake/IntakeDependencies.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace redwing::Detail {

/// What a caller must keep to: the limits of the configuration, and the settings where the
/// configuration states none.
struct CallerBounds
{
  std::size_t headerBytes_ = 0;
  /// 0: no limit.
  std::uint64_t bodyBytes_ = 0;
  /// Time from the first byte of a head to its end; 0: progressTimeout_ since its last byte.
  std::chrono::milliseconds headerTimeout_{ 0 };
  /// Time for which a connection without a request stays open.
  std::chrono::milliseconds idleTimeout_{ 0 };
  /// Time without a byte after which a body or the reading of a response has stopped.
  std::chrono::milliseconds progressTimeout_{ 0 };

  /// Preconditions: none. Thread safety: callable from any thread.
  static CallerBounds Of(const IntakeSettings& aSettings, const CallerLimits& aLimits);
};

} // namespace redwing::Detail
