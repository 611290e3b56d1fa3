#include "rollout/SideCounts.hpp"

#include <cmath>

namespace redwing::Detail {

namespace {

void
AddWith(ComparisonSums& aSums, const ComparisonSums& aOther, double aSign)
{
  aSums.targetRequests_ += aSign * aOther.targetRequests_;
  aSums.targetFailures_ += aSign * aOther.targetFailures_;
  aSums.oldRequests_ += aSign * aOther.oldRequests_;
  aSums.oldFailures_ += aSign * aOther.oldFailures_;
  aSums.failures_ += aSign * aOther.failures_;
  aSums.expected_ += aSign * aOther.expected_;
  aSums.bothFailures_ += aSign * aOther.bothFailures_;
  aSums.compared_ += aSign * aOther.compared_;
  aSums.rankSum_ += aSign * aOther.rankSum_;
  aSums.rankVariance_ += aSign * aOther.rankVariance_;
  aSums.bucketDifference_ += aSign * aOther.bucketDifference_;
  aSums.bucketWeight_ += aSign * aOther.bucketWeight_;
  aSums.targetTimes_ += aSign * aOther.targetTimes_;
  aSums.targetBuckets_ += aSign * aOther.targetBuckets_;
  aSums.oldTimes_ += aSign * aOther.oldTimes_;
  aSums.oldBuckets_ += aSign * aOther.oldBuckets_;
}

void
CompareTimes(const SideCounts& aTarget,
             const SideCounts& aOld,
             std::size_t aBucketMargin,
             ComparisonSums& aSums)
{
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    aSums.targetTimes_ += aTarget.latencies_[i];
    aSums.targetBuckets_ += aTarget.latencies_[i] * static_cast<double>(i);
    aSums.oldTimes_ += aOld.latencies_[i];
    aSums.oldBuckets_ += aOld.latencies_[i] * static_cast<double>(i);
  }
  if (aSums.targetTimes_ <= 0 || aSums.oldTimes_ <= 0) {
    return;
  }
  // Pairs in which the target's response is the slower one; equal times count half.
  double slower = 0;
  double oldBelow = 0;
  std::size_t next = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const std::size_t bucket = i > aBucketMargin ? i - aBucketMargin : 0;
    while (next < bucket) {
      oldBelow += aOld.latencies_[next];
      ++next;
    }
    slower += aTarget.latencies_[i] * (oldBelow + 0.5 * aOld.latencies_[bucket]);
  }
  const double both = aSums.targetTimes_ + aSums.oldTimes_;
  const double pairs = aSums.targetTimes_ * aSums.oldTimes_;
  aSums.rankSum_ = (slower - 0.5 * pairs) / both;
  aSums.bucketWeight_ = pairs / both;
  aSums.bucketDifference_ =
    (aSums.targetBuckets_ * aSums.oldTimes_ - aSums.oldBuckets_ * aSums.targetTimes_) / both;
  aSums.rankVariance_ = pairs * (both + 1) / (12 * both * both);
}

} // namespace

void
SideCounts::Add(const RouteCounts& aCounts)
{
  requests_ += static_cast<double>(aCounts.requests_);
  failures_ += static_cast<double>(aCounts.failures_);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    latencies_[i] += static_cast<double>(aCounts.latencies_[i]);
  }
}

ComparisonSums&
ComparisonSums::operator+=(const ComparisonSums& aOther)
{
  AddWith(*this, aOther, 1);
  return *this;
}

ComparisonSums&
ComparisonSums::operator-=(const ComparisonSums& aOther)
{
  AddWith(*this, aOther, -1);
  return *this;
}

ComparisonSums
CompareSides(const SideCounts& aTarget,
             const SideCounts& aOld,
             double aFailureMargin,
             std::size_t aBucketMargin)
{
  ComparisonSums sums;
  sums.targetRequests_ = aTarget.requests_;
  sums.targetFailures_ = aTarget.failures_;
  sums.oldRequests_ = aOld.requests_;
  sums.oldFailures_ = aOld.failures_;
  CompareTimes(aTarget, aOld, aBucketMargin, sums);
  const double both = aTarget.requests_ + aOld.requests_;
  if (aTarget.requests_ > 0 && aOld.requests_ > 0) {
    const double allowed = aFailureMargin * aTarget.requests_;
    const double failures = aTarget.failures_ + aOld.failures_;
    sums.failures_ = aTarget.failures_;
    sums.expected_ = failures * aTarget.requests_ / both + allowed;
    sums.bothFailures_ = failures + allowed;
    sums.compared_ = aTarget.requests_;
  }
  return sums;
}

double
FailureEvidence(const ComparisonSums& aSums)
{
  const double seen = aSums.failures_;
  const double expected = aSums.expected_;
  if (seen <= expected || expected <= 0) {
    return 0;
  }
  // Chernoff bound of a binomial tail.
  double evidence = seen * std::log(seen / expected);
  const double rest = aSums.bothFailures_ - seen;
  if (rest > 0) {
    evidence += rest * std::log(rest / (aSums.bothFailures_ - expected));
  }
  return evidence;
}

double
SlownessEvidence(const ComparisonSums& aSums, double aLeastBuckets)
{
  // Differences of large sums leave rounding errors.
  constexpr double kSmallestVariance = 1e-6;
  if (aSums.rankVariance_ < kSmallestVariance ||
      aSums.bucketDifference_ < aLeastBuckets * aSums.bucketWeight_) {
    return 0;
  }
  return aSums.rankSum_ / std::sqrt(aSums.rankVariance_);
}

} // namespace redwing::Detail
