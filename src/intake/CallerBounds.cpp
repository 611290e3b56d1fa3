#include "intake/CallerBounds.hpp"

#include <algorithm>

namespace redwing::Detail {

CallerBounds
CallerBounds::Of(const IntakeSettings& aSettings, const CallerLimits& aLimits)
{
  CallerBounds bounds{ aSettings.maxHeaderBytes_,
                       aSettings.maxBodyBytes_,
                       std::chrono::milliseconds(0),
                       aSettings.idleTimeout_,
                       aSettings.progressTimeout_ };
  if (aLimits.headerBytes_ > 0) {
    bounds.headerBytes_ = aLimits.headerBytes_;
  }
  if (aLimits.bodyBytes_ > 0) {
    bounds.bodyBytes_ = aLimits.bodyBytes_;
  }
  if (aLimits.headerTimeout_.count() > 0) {
    bounds.headerTimeout_ = aLimits.headerTimeout_;
  }
  if (aLimits.idleTimeout_.count() > 0) {
    bounds.idleTimeout_ = aLimits.idleTimeout_;
    // A connection on which nothing moves for longer than an idle one may stay open has stopped.
    bounds.progressTimeout_ = std::min(bounds.progressTimeout_, aLimits.idleTimeout_);
  }
  return bounds;
}

} // namespace redwing::Detail
