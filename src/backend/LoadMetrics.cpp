#include "backend/LoadMetrics.hpp"

#include <algorithm>

namespace redwing {

LoadMetrics::LoadMetrics(CounterRegistry& aCounters)
  : slots_(aCounters.GetGauge("redwing_backend_slots"))
  , limit_(aCounters.GetGauge("redwing_backend_slot_limit"))
  , running_(aCounters.GetGauge("redwing_backend_running"))
  , queued_(aCounters.GetGauge("redwing_backend_queued"))
  , wait_(aCounters.GetGauge("redwing_backend_wait_ms"))
  , inTime_(aCounters.GetCounter("redwing_backend_responses_total", "target=\"met\""))
  , late_(aCounters.GetCounter("redwing_backend_responses_total", "target=\"missed\""))
{
}

void
LoadMetrics::Show(const LoadReport& aLoad, std::uint32_t aLimit)
{
  slots_.Set(aLoad.slots_);
  limit_.Set(aLimit);
  running_.Set(aLoad.running_);
  queued_.Set(aLoad.queued_);
  constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
  const std::uint64_t queued = aLoad.queued_;
  const std::uint64_t parallel = std::max<std::uint64_t>(1, aLimit);
  wait_.Set(static_cast<std::int64_t>(queued * aLoad.serviceTimeUs_ / parallel /
                                      kMicrosecondsPerMillisecond));
}

void
LoadMetrics::OnResponse(bool aInTime)
{
  (aInTime ? inTime_ : late_).Add();
}

} // namespace redwing
