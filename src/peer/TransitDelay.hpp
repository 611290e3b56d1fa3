#pragma once

#include "core/Clock.hpp"

namespace redwing {

/// Estimates how much longer than usual the frames of a link are on their way, from the times at
/// which they were sent and received. The clocks of the two ends need not agree: the fastest of the
/// recent frames is taken to have had no delay.
class TransitDelay
{
public:
  /// Returns the delay of a frame that was sent at aSentAt by the other end's clock.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  Duration OnFrame(TimePoint aSentAt, TimePoint aNow);

private:
  /// The least difference of the clocks seen in the present period and in the one before.
  Duration present_ = Duration::max();
  Duration previous_ = Duration::max();
  TimePoint periodStart_{};
};

} // namespace redwing
