#include "admission/LoadEstimator.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {

constexpr double kRecentWeight = 0.2;
constexpr double kUsualWeight = 0.01;
constexpr double kJumpFactor = 4;
/// Without samples the estimate halves in each of these.
constexpr std::chrono::milliseconds kHalfLife{ 250 };

void
Blend(std::optional<double>& aMean, double aSample, double aWeight)
{
  aMean = aMean ? *aMean + aWeight * (aSample - *aMean) : aSample;
}

} // namespace

void
LoadEstimator::Add(Duration aServiceTime, TimePoint aNow)
{
  const auto sample = static_cast<double>(aServiceTime.count());
  Blend(recent_, sample, kRecentWeight);
  Blend(usual_, sample, kUsualWeight);
  lastSample_ = aNow;
}

Duration
LoadEstimator::ServiceTime(TimePoint aNow) const
{
  if (!recent_) {
    return Duration::zero();
  }
  const double halves = static_cast<double>((aNow - lastSample_).count()) /
                        static_cast<double>(Duration(kHalfLife).count());
  return Duration(static_cast<Duration::rep>(*recent_ * std::exp2(-std::max(0.0, halves - 1))));
}

Duration
LoadEstimator::UsualServiceTime() const
{
  return Duration(static_cast<Duration::rep>(usual_.value_or(0)));
}

bool
LoadEstimator::LatencyJumped() const
{
  return recent_ && usual_ && *recent_ > kJumpFactor * *usual_;
}

void
LoadEstimator::Reset()
{
  recent_.reset();
  usual_.reset();
}

} // namespace redwing
