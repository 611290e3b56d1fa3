#include "peer/TransitDelay.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

/// Clocks that drift apart by a hundredth of a per cent differ by 2 ms after two periods.
constexpr std::chrono::seconds kPeriod{ 10 };

} // namespace

Duration
TransitDelay::OnFrame(TimePoint aSentAt, TimePoint aNow)
{
  if (aNow - periodStart_ >= kPeriod) {
    previous_ = std::exchange(present_, Duration::max());
    periodStart_ = aNow;
  }
  const Duration difference = aNow.time_since_epoch() - aSentAt.time_since_epoch();
  present_ = std::min(present_, difference);
  return difference - std::min(present_, previous_);
}

} // namespace redwing
