#include "fleet/HoldMetrics.hpp"

#include <string>
#include <utility>

namespace redwing {

HoldMetrics::HoldMetrics(CounterRegistry& aCounters)
  : granted_(aCounters.GetGauge("redwing_shards_granted"))
  , held_(aCounters.GetGauge("redwing_shards_held"))
  , holdLeft_(aCounters.GetGauge("redwing_hold_left_ms"))
  , leaseLeft_(aCounters.GetGauge("redwing_lease_left_ms"))
{
  for (const HoldEnd reason : kHoldEnds) {
    const std::string label = "reason=\"" + std::string(ToText(reason)) + "\"";
    ended_[static_cast<std::size_t>(reason)] =
      &aCounters.GetCounter("redwing_holds_ended_total", label);
  }
}

void
HoldMetrics::Set(const HoldStatus& aStatus)
{
  granted_.Set(static_cast<std::int64_t>(aStatus.granted_));
  held_.Set(static_cast<std::int64_t>(aStatus.held_));
  holdLeft_.Set(ToMilliseconds(aStatus.holdLeft_));
  leaseLeft_.Set(ToMilliseconds(aStatus.leaseLeft_));
  for (std::size_t i = 0; i < ended_.size(); ++i) {
    ended_[i]->Add(aStatus.ended_[i] - std::exchange(counted_[i], aStatus.ended_[i]));
  }
}

} // namespace redwing
