#pragma once

#include "core/Clock.hpp"
#include "rollout/RolloutTypes.hpp"
#include "rollout/SideCounts.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace redwing {

struct RolloutJudgeSettings
{
  /// Interval of the servers' reports.
  Duration slice_ = std::chrono::milliseconds(500);
  /// Part of its requests that the target may fail more often than the old version; versions fail
  /// up to 0.02, bad ones 0.1 and more.
  double failureMargin_ = 0.02;
  /// Latency buckets by which the target may be slower; one is a factor of 1.4, and slow versions
  /// take 2.5 times as long.
  std::size_t bucketMargin_ = 1;
  /// Mean difference in buckets under which a target is not slow, however certain it is; servers of
  /// one version differ, and few of the target version are compared with many old ones.
  double leastBuckets_ = 1.8;
  /// Evidence for "bad": negative logarithm of the probability of the failures, also without the
  /// slice that has most of them (a server that stops breaks its connections once), least number of
  /// failures; standard deviations of the times.
  double badFailureEvidence_ = 7;
  double badFailureEvidenceElsewhere_ = 3;
  double badFailures_ = 4;
  double badSlownessEvidence_ = 4;
  double badTimes_ = 8;
  /// Evidence of the same kinds that prevents "good".
  double suspectFailureEvidence_ = 3;
  double suspectFailureEvidenceElsewhere_ = 1;
  double suspectSlownessEvidence_ = 2.2;
  /// Requests of the target that "good" needs, in total and on each route that has at least
  /// goodRouteShare_ of the old version's requests.
  double goodRequests_ = 20;
  double goodRouteRequests_ = 3;
  double goodRouteShare_ = 0.1;
};

enum class RolloutVerdict : std::uint8_t
{
  Undecided,
  Good,
  Bad,
};

/// What one version did on the judged route in the judged time.
struct RolloutFigures
{
  std::uint64_t requests_ = 0;
  std::uint64_t failures_ = 0;
  /// Geometric mean of the times of its responses.
  double typicalMs_ = 0;
};

struct Judgement
{
  RolloutVerdict verdict_ = RolloutVerdict::Undecided;
  /// There is evidence against the target that is too weak or too recent for a verdict.
  bool suspected_ = false;
  /// Route of the strongest evidence against the target; empty for all routes together.
  std::string route_;
  /// `failures` or `slow` if the verdict is bad or the target is suspected; `evidence` if there is
  /// too little of it.
  std::string reason_;
  RolloutFigures target_;
  RolloutFigures old_;
};

/// Compares the target version of a rollout with the old one, route by route, over the same time.
///
/// Effects on both versions cancel if their reports differ in time by no more than one slice. Error
/// rates together with RolloutRamp, which RolloutDrawsTest.cpp checks over 10,000 drawn rollouts of
/// 8 to 60 s with 30 to 2,000 requests a second: at most 0.2 % of good versions are rolled back,
/// and 0.5 % are not completed in time. Of bad versions that give 50 bad responses or more within
/// the limit of the canary, 0.2 % are not rolled back in time or exceed the exposure bound; of
/// those that give 10 to 50, 4 %; of those that give fewer, 45 %, since the bound is reached before
/// there is evidence.
class RolloutJudge
{
public:
  /// Creates a judge without counts.
  ///
  /// Preconditions: aSettings.slice_ > 0.
  explicit RolloutJudge(const RolloutJudgeSettings& aSettings);

  /// Adds what a server did on a route since its last report, which was at most two slices ago.
  /// Counts are ignored if the server was cold at any time since its last report.
  ///
  /// Preconditions: aAt does not decrease by more than one slice. Thread safety: not thread-safe.
  void Add(RolloutSide aSide, const RouteCounts& aDelta, TimePoint aAt, bool aCold = false);

  /// Adds counts of a longer time, such as the totals since the order that a new leader gets, or
  /// those of an instance that could not report. Only a gross difference in them counts against the
  /// target, since nothing tells when it arose.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void AddEarlier(RolloutSide aSide, const RouteCounts& aCounts);

  /// Judges the target by the counts so far.
  ///
  /// Preconditions: aNow is not before the last counts. Thread safety: not thread-safe.
  Judgement Evaluate(TimePoint aNow) const;

private:
  /// Target of a slice against the old version of the slice before, the same and the one after.
  static constexpr std::size_t kShifts = 3;
  static constexpr std::size_t kOpenSlices = 4;

  using Shifted = std::array<Detail::ComparisonSums, kShifts>;

  struct OpenSlice
  {
    std::int64_t index_ = 0;
    Detail::SideCounts old_;
    Detail::SideCounts target_;
  };

  struct Route
  {
    std::string name_;
    std::array<OpenSlice, kOpenSlices> open_;
    /// Sums from the first slice to each closed one, the last one at the back.
    std::deque<Shifted> closed_;
    Detail::SideCounts earlierOld_;
    Detail::SideCounts earlierTarget_;
  };

  struct Evidence
  {
    double failures_ = 0;
    double slowness_ = 0;
    /// Evidence of failures without the slice that has most of them.
    double failuresElsewhere_ = 0;
    Detail::ComparisonSums sums_;
  };

  struct Finding;

  Route& RouteOf(const std::string& aName);
  static OpenSlice SliceOf(const Route& aRoute, std::int64_t aIndex);
  Detail::ComparisonSums Compare(const Route& aRoute,
                                 std::int64_t aIndex,
                                 std::size_t aShift) const;
  void Advance(std::int64_t aIndex);
  void CloseSlice(Route& aRoute, std::int64_t aIndex) const;
  Evidence Weigh(const Shifted& aWindow, std::size_t aShifts) const;
  std::vector<Shifted> Windows(const Route& aRoute) const;
  Shifted Recent(const Route& aRoute) const;
  Detail::ComparisonSums PeakOf(const Route* aRoute, std::size_t aSlices) const;
  void ExamineWindow(const Shifted& aWindow,
                     std::size_t aSlices,
                     const Route* aRoute,
                     Finding& aFinding) const;
  void Examine(const Evidence& aEvidence, const Route* aRoute, Finding& aFinding) const;
  /// Examines counts that are not divided into slices.
  void ExamineWhole(Evidence aEvidence, const Route* aRoute, Finding& aFinding) const;
  void ExamineEarlier(const Route& aRoute, Finding& aFinding) const;
  bool HasEnough() const;
  /// Returns the sums over the closed slices and the last complete one, which evidence against the
  /// target covers as well (Recent).
  Detail::ComparisonSums Known(const Route& aRoute) const;
  Judgement Conclude(const Finding& aFinding) const;

  RolloutJudgeSettings settings_;
  std::vector<Route> routes_;
  std::int64_t latest_ = 0;
  bool started_ = false;
};

} // namespace redwing
