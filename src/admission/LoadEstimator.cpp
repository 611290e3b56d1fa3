#include "admission/LoadEstimator.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {

/// Weight of a new sample in the recent average.
constexpr double kRecentWeight = 0.2;
/// Number of samples over which the long-term average extends.
constexpr unsigned kLongTermSamples = 100;
/// With fewer samples the long-term average is not reported.
constexpr unsigned kMinLongTermSamples = 40;
/// Ratio of the recent to the long-term average that counts as a jump in latency.
constexpr double kJumpFactor = 4;
/// Time in which the estimate halves without samples, after a first period without decay.
constexpr std::chrono::milliseconds kHalfLife{ 250 };

/// Moves the exponential moving average aMean towards aSample.
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
  Blend(recentMean_, sample, kRecentWeight);
  // An arithmetic mean at first, so that the first sample does not weigh more than the others.
  samples_ = std::min(samples_ + 1, kLongTermSamples);
  Blend(longTermMean_, sample, 1.0 / samples_);
  lastSample_ = aNow;
}

Duration
LoadEstimator::ServiceTime(TimePoint aNow) const
{
  if (!recentMean_) {
    return Duration::zero();
  }
  const double halves = static_cast<double>((aNow - lastSample_).count()) /
                        static_cast<double>(Duration(kHalfLife).count());
  return Duration(static_cast<Duration::rep>(*recentMean_ * std::exp2(-std::max(0.0, halves - 1))));
}

Duration
LoadEstimator::LongTermServiceTime() const
{
  return Duration(static_cast<Duration::rep>(samples_ < kMinLongTermSamples ? 0 : *longTermMean_));
}

bool
LoadEstimator::LatencyJumped() const
{
  return recentMean_ && longTermMean_ && *recentMean_ > kJumpFactor * *longTermMean_;
}

void
LoadEstimator::Reset()
{
  recentMean_.reset();
  longTermMean_.reset();
  samples_ = 0;
}

} // namespace redwing
