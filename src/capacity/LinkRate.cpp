#include "capacity/LinkRate.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(200);
/// Queue on the link, as time, from which the link counts as slower than its present rate.
constexpr Duration kQueueTime = std::chrono::milliseconds(60);
/// Part of the time without a queue by which it may grow in an interval: routes change.
constexpr int kBaseGrowth = 64;
/// Lowest rate as a share of the stated one. If all callers read slowly, the rate falls although
/// the link is free; this bounds the error.
constexpr double kLowest = 0.1;
/// Share of what arrives that is sent while a queue is left, so that it goes away.
constexpr double kDrain = 0.85;
constexpr double kIncrease = 1.02;

} // namespace

LinkRate::LinkRate(double aStatedBytesPerSecond)
  : stated_(std::max(1.0, aStatedBytesPerSecond))
  , rate_(stated_)
{
}

void
LinkRate::OnArrived(std::uint64_t aBytes, Duration aTime, TimePoint aNow)
{
  Update(aNow);
  arrived_ += aBytes;
  shortest_ = std::min(shortest_, aTime);
}

void
LinkRate::Update(TimePoint aNow)
{
  const Duration passed = aNow - since_;
  if (passed < kInterval) {
    return;
  }
  const double seconds = std::chrono::duration<double>(passed).count();
  if (arrived_ > 0) {
    base_ =
      base_ == Duration::zero() ? shortest_ : std::min(shortest_, base_ + base_ / kBaseGrowth);
  }
  if (arrived_ > 0 && shortest_ > base_ + kQueueTime && passed < 2 * kInterval) {
    const double arrived = static_cast<double>(arrived_) / seconds;
    rate_ = std::clamp(arrived * kDrain, stated_ * kLowest, rate_);
  } else {
    rate_ = std::min(stated_, rate_ * kIncrease);
  }
  since_ = aNow;
  arrived_ = 0;
  shortest_ = Duration::max();
}

} // namespace redwing
