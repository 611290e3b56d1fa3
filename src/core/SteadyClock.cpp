#include "core/SteadyClock.hpp"

namespace redwing {

TimePoint
SteadyClock::Now() const
{
  return std::chrono::steady_clock::now();
}

} // namespace redwing
