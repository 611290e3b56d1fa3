#pragma once

#include "core/Clock.hpp"

namespace redwing {

/// Clock backed by the machine's CLOCK_BOOTTIME, which all processes of one machine share. Unlike
/// CLOCK_MONOTONIC it counts the time for which the machine was suspended, so that a lease does not
/// outlive a suspension.
class SteadyClock final : public Clock
{
public:
  /// Preconditions: none. Thread safety: callable from any thread.
  TimePoint Now() const override;
};

} // namespace redwing
