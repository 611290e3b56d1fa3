#include "admission/LoadEstimator.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {

constexpr double kRecentWeight = 0.2;
constexpr unsigned kUsualSamples = 100;
constexpr unsigned kMinUsualSamples = 40;
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
  // A plain average at first, so that the first sample does not weigh more than the others.
  samples_ = std::min(samples_ + 1, kUsualSamples);
  Blend(usual_, sample, 1.0 / samples_);
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
  return Duration(static_cast<Duration::rep>(samples_ < kMinUsualSamples ? 0 : *usual_));
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
  samples_ = 0;
}

} // namespace redwing
