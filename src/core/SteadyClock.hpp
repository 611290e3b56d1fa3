#pragma once

#include "core/Clock.hpp"

namespace redwing {

/// Clock backed by the machine's CLOCK_MONOTONIC, which all processes of one machine share.
class SteadyClock final : public Clock
{
public:
  /// Preconditions: none. Thread safety: callable from any thread.
  TimePoint Now() const override;
};

} // namespace redwing
