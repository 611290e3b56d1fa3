#include "limits/WorkspaceLimit.hpp"

#include <algorithm>

namespace redwing {

Duration
WorkspaceLimit::SliceTimeToLive() const
{
  constexpr double kBurstFraction = 0.1;
  const double seconds = std::min(kBurstFraction * burst_ / rate_, 1.0);
  const auto ideal = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return std::clamp(ideal, kMinSliceTimeToLive, kMaxSliceTimeToLive);
}

} // namespace redwing
