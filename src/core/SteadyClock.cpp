#include "core/SteadyClock.hpp"

#include <ctime>

namespace redwing {

TimePoint
SteadyClock::Now() const
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace redwing
