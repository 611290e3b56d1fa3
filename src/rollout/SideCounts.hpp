#pragma once

#include "rollout/RolloutTypes.hpp"

#include <array>
#include <cstdint>

namespace redwing::Detail {

/// Counts of one side of a rollout on one route.
struct SideCounts
{
  double requests_ = 0;
  double failures_ = 0;
  std::array<double, kLatencyBuckets> latencies_{};

  /// Adds the counts of a report.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Add(const RouteCounts& aCounts);
};

/// Result of comparing the target with the old version; sums over slices and routes.
struct ComparisonSums
{
  /// Requests and failures of both sides.
  double targetRequests_ = 0;
  double targetFailures_ = 0;
  double oldRequests_ = 0;
  double oldFailures_ = 0;
  /// Failures of the target that were compared, those expected of it if both versions failed
  /// alike, and those of both sides.
  double failures_ = 0;
  double expected_ = 0;
  double bothFailures_ = 0;
  /// Requests of the target that were compared.
  double compared_ = 0;
  /// Rank sum of the target's times against those of the old version, and its variance.
  double rankSum_ = 0;
  double rankVariance_ = 0;
  /// Difference of the mean latency buckets, target less old, weighted, and its weight.
  double bucketDifference_ = 0;
  double bucketWeight_ = 0;
  /// Responses with a time and the sum of their latency buckets.
  double targetTimes_ = 0;
  double targetBuckets_ = 0;
  double oldTimes_ = 0;
  double oldBuckets_ = 0;

  ComparisonSums& operator+=(const ComparisonSums& aOther);
  ComparisonSums& operator-=(const ComparisonSums& aOther);
};

/// Compares the two sides in one slice and route. The target is taken as faster by aBucketMargin
/// buckets than it was, and as allowed to fail aFailureMargin more often than the old version.
///
/// Preconditions: none. Thread safety: callable from any thread.
ComparisonSums CompareSides(const SideCounts& aTarget,
                            const SideCounts& aOld,
                            double aFailureMargin,
                            std::size_t aBucketMargin);

/// Returns the logarithm of how unlikely the failures of the target are if it fails no more often
/// than allowed; 0 if it failed less than expected.
///
/// Preconditions: none. Thread safety: callable from any thread.
double FailureEvidence(const ComparisonSums& aSums);

/// Returns by how many standard deviations the target is slower than allowed; 0 if the mean
/// difference is under aLeastBuckets.
///
/// Preconditions: none. Thread safety: callable from any thread.
double SlownessEvidence(const ComparisonSums& aSums, double aLeastBuckets);

} // namespace redwing::Detail
