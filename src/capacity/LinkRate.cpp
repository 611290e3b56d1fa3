#include "capacity/LinkRate.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(500);
/// The way to the farthest data centre and back takes less than this on a link without a queue.
constexpr Duration kUsualTime = std::chrono::milliseconds(250);
/// Lowest rate as a share of the stated one. If all callers read slowly, the rate falls although
/// the link is free; this bounds the error.
constexpr double kLowest = 0.1;
constexpr double kIncrease = 1.1;

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
  if (arrived_ > 0 && shortest_ > kUsualTime && passed < 2 * kInterval) {
    rate_ = std::clamp(static_cast<double>(arrived_) / seconds, stated_ * kLowest, rate_);
  } else {
    rate_ = std::min(stated_, rate_ * kIncrease);
  }
  since_ = aNow;
  arrived_ = 0;
  shortest_ = Duration::max();
}

} // namespace redwing
