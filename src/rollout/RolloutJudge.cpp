#include "rollout/RolloutJudge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace redwing {

using Detail::CompareSides;
using Detail::ComparisonSums;
using Detail::SideCounts;

namespace {

constexpr std::size_t kMaxRoutes = 32;
constexpr std::size_t kMaxClosedSlices = 128;
constexpr std::string_view kOtherRoutes = "(other)";

/// Lengths of the windows in slices; the last one covers all slices that are kept.
constexpr std::array<std::size_t, 10> kWindows{ 1, 2, 3, 4, 6, 8, 16, 32, 64, kMaxClosedSlices };

/// Counts without time: the target may fail this much more often, and as many times as often as the
/// old version, and be slower by this many buckets (a factor of 4). A disturbance of both versions
/// makes them three times slower, or lets 0.3 of their requests fail.
constexpr double kEarlierFailureMargin = 0.05;
constexpr double kEarlierFailureFactor = 4;
constexpr std::size_t kEarlierBucketMargin = 4;

/// Slices after the last counts within which a verdict "good" is possible.
constexpr std::int64_t kFreshSlices = 4;

RolloutFigures
FiguresOf(double aRequests, double aFailures, double aTimes, double aBuckets)
{
  RolloutFigures figures;
  figures.requests_ = static_cast<std::uint64_t>(std::llround(aRequests));
  figures.failures_ = static_cast<std::uint64_t>(std::llround(aFailures));
  if (aTimes > 0) {
    figures.typicalMs_ =
      static_cast<double>(kFirstLatencyBucket.count()) * std::pow(2.0, aBuckets / aTimes / 2);
  }
  return figures;
}

} // namespace

struct RolloutJudge::Finding
{
  bool bad_ = false;
  bool suspected_ = false;
  double severity_ = 0;
  bool slow_ = false;
  std::string route_;
  ComparisonSums sums_;
};

RolloutJudge::RolloutJudge(const RolloutJudgeSettings& aSettings)
  : settings_(aSettings)
{
}

RolloutJudge::Route&
RolloutJudge::RouteOf(const std::string& aName)
{
  const auto named = [](std::string_view aWanted) {
    return [aWanted](const Route& aRoute) { return aRoute.name_ == aWanted; };
  };
  auto found = std::find_if(routes_.begin(), routes_.end(), named(aName));
  if (found == routes_.end() && routes_.size() >= kMaxRoutes) {
    found = std::find_if(routes_.begin(), routes_.end(), named(kOtherRoutes));
  }
  if (found != routes_.end()) {
    return *found;
  }
  Route& route = routes_.emplace_back();
  route.name_ = routes_.size() < kMaxRoutes ? aName : std::string(kOtherRoutes);
  return route;
}

void
RolloutJudge::Add(RolloutSide aSide, const RouteCounts& aDelta, TimePoint aAt, bool aCold)
{
  if (aCold) {
    return;
  }
  const std::int64_t index = aAt.time_since_epoch() / settings_.slice_;
  if (started_ && index + 1 < latest_) {
    AddEarlier(aSide, aDelta);
    return;
  }
  Advance(index);
  // Slices before the first one are empty; indices may be negative.
  OpenSlice& slice = RouteOf(aDelta.route_).open_[static_cast<std::uint64_t>(index) % kOpenSlices];
  if (slice.index_ != index) {
    slice = OpenSlice{ .index_ = index, .old_ = {}, .target_ = {} };
  }
  (aSide == RolloutSide::Old ? slice.old_ : slice.target_).Add(aDelta);
}

void
RolloutJudge::AddEarlier(RolloutSide aSide, const RouteCounts& aCounts)
{
  Route& route = RouteOf(aCounts.route_);
  (aSide == RolloutSide::Old ? route.earlierOld_ : route.earlierTarget_).Add(aCounts);
}

RolloutJudge::OpenSlice
RolloutJudge::SliceOf(const Route& aRoute, std::int64_t aIndex)
{
  const OpenSlice& slice = aRoute.open_[static_cast<std::uint64_t>(aIndex) % kOpenSlices];
  return slice.index_ == aIndex ? slice : OpenSlice{ .index_ = aIndex, .old_ = {}, .target_ = {} };
}

ComparisonSums
RolloutJudge::Compare(const Route& aRoute, std::int64_t aIndex, std::size_t aShift) const
{
  constexpr std::array<std::int64_t, kShifts> kOffsets{ 0, -1, 1 };
  return CompareSides(SliceOf(aRoute, aIndex).target_,
                      SliceOf(aRoute, aIndex + kOffsets.at(aShift)).old_,
                      settings_.failureMargin_,
                      settings_.bucketMargin_);
}

void
RolloutJudge::Advance(std::int64_t aIndex)
{
  if (!started_) {
    started_ = true;
    latest_ = aIndex;
  }
  // After a gap without reports the slices in between are empty and only shift the windows.
  const std::int64_t end =
    std::min(aIndex, latest_ + static_cast<std::int64_t>(kMaxClosedSlices)) - 1;
  for (std::int64_t index = latest_ - 1; index < end; ++index) {
    for (Route& route : routes_) {
      CloseSlice(route, index);
    }
  }
  latest_ = std::max(latest_, aIndex);
}

void
RolloutJudge::CloseSlice(Route& aRoute, std::int64_t aIndex) const
{
  Shifted sums = aRoute.closed_.empty() ? Shifted{} : aRoute.closed_.back();
  for (std::size_t shift = 0; shift < kShifts; ++shift) {
    sums[shift] += Compare(aRoute, aIndex, shift);
  }
  aRoute.closed_.push_back(sums);
  if (aRoute.closed_.size() > kMaxClosedSlices) {
    aRoute.closed_.pop_front();
  }
}

std::vector<RolloutJudge::Shifted>
RolloutJudge::Windows(const Route& aRoute) const
{
  std::vector<Shifted> windows(kWindows.size());
  if (aRoute.closed_.empty()) {
    return windows;
  }
  for (std::size_t i = 0; i < kWindows.size(); ++i) {
    windows[i] = aRoute.closed_.back();
    if (kWindows[i] < aRoute.closed_.size()) {
      const Shifted& before = aRoute.closed_[aRoute.closed_.size() - 1 - kWindows[i]];
      for (std::size_t shift = 0; shift < kShifts; ++shift) {
        windows[i][shift] -= before[shift];
      }
    }
  }
  return windows;
}

RolloutJudge::Shifted
RolloutJudge::Recent(const Route& aRoute) const
{
  Shifted sums{};
  for (std::size_t shift = 0; shift < 2; ++shift) {
    sums[shift] += Compare(aRoute, latest_ - 1, shift);
    sums[shift] += Compare(aRoute, latest_, shift);
  }
  return sums;
}

RolloutJudge::Evidence
RolloutJudge::Weigh(const Shifted& aWindow, std::size_t aShifts) const
{
  Evidence evidence;
  evidence.sums_ = aWindow[0];
  evidence.failures_ = Detail::FailureEvidence(aWindow[0]);
  evidence.slowness_ = Detail::SlownessEvidence(aWindow[0], settings_.leastBuckets_);
  for (std::size_t shift = 1; shift < aShifts; ++shift) {
    evidence.failures_ = std::min(evidence.failures_, Detail::FailureEvidence(aWindow[shift]));
    evidence.slowness_ = std::min(
      evidence.slowness_, Detail::SlownessEvidence(aWindow[shift], settings_.leastBuckets_));
  }
  return evidence;
}

void
RolloutJudge::Examine(const Evidence& aEvidence, const Route* aRoute, Finding& aFinding) const
{
  const bool failing = aEvidence.failures_ >= settings_.badFailureEvidence_ &&
                       aEvidence.sums_.failures_ >= settings_.badFailures_ &&
                       aEvidence.failuresElsewhere_ >= settings_.badFailureEvidenceElsewhere_;
  const bool slow = aEvidence.slowness_ >= settings_.badSlownessEvidence_ &&
                    aEvidence.sums_.targetTimes_ >= settings_.badTimes_;
  aFinding.bad_ = aFinding.bad_ || failing || slow;
  aFinding.suspected_ =
    aFinding.suspected_ || failing || slow ||
    (aEvidence.failures_ >= settings_.suspectFailureEvidence_ &&
     aEvidence.failuresElsewhere_ >= settings_.suspectFailureEvidenceElsewhere_) ||
    aEvidence.slowness_ >= settings_.suspectSlownessEvidence_;
  const double byFailures = aEvidence.failures_ / settings_.badFailureEvidence_;
  const double bySlowness = aEvidence.slowness_ / settings_.badSlownessEvidence_;
  // Findings that reach a verdict are described before weaker ones.
  const double severity = std::max(byFailures, bySlowness) + (failing || slow ? 1 : 0);
  if (severity > aFinding.severity_) {
    aFinding.severity_ = severity;
    aFinding.slow_ = slow || (!failing && bySlowness > byFailures);
    aFinding.route_ = aRoute == nullptr ? std::string() : aRoute->name_;
    aFinding.sums_ = aEvidence.sums_;
  }
}

ComparisonSums
RolloutJudge::PeakOf(const Route* aRoute, std::size_t aSlices) const
{
  ComparisonSums peak;
  for (std::size_t back = 0; back < aSlices; ++back) {
    ComparisonSums sums;
    for (const Route& route : routes_) {
      const std::size_t size = route.closed_.size();
      if (back < size && (aRoute == nullptr || aRoute == &route)) {
        const std::size_t slice = size - 1 - back;
        sums += route.closed_[slice][0];
        if (slice > 0) {
          sums -= route.closed_[slice - 1][0];
        }
      }
    }
    if (sums.failures_ > peak.failures_) {
      peak = sums;
    }
  }
  return peak;
}

void
RolloutJudge::ExamineWindow(const Shifted& aWindow,
                            std::size_t aSlices,
                            const Route* aRoute,
                            Finding& aFinding) const
{
  Evidence evidence = Weigh(aWindow, kShifts);
  if (evidence.failures_ >= settings_.suspectFailureEvidence_) {
    ComparisonSums elsewhere = aWindow[0];
    elsewhere -= PeakOf(aRoute, aSlices);
    evidence.failuresElsewhere_ = Detail::FailureEvidence(elsewhere);
  }
  Examine(evidence, aRoute, aFinding);
}

void
RolloutJudge::ExamineWhole(Evidence aEvidence, const Route* aRoute, Finding& aFinding) const
{
  aEvidence.failuresElsewhere_ = aEvidence.failures_;
  Examine(aEvidence, aRoute, aFinding);
}

void
RolloutJudge::ExamineEarlier(const Route& aRoute, Finding& aFinding) const
{
  const SideCounts& old = aRoute.earlierOld_;
  if (old.requests_ <= 0 || aRoute.earlierTarget_.requests_ <= 0) {
    return;
  }
  const double margin =
    kEarlierFailureMargin + (kEarlierFailureFactor - 1) * old.failures_ / old.requests_;
  Shifted sums{};
  sums[0] = CompareSides(aRoute.earlierTarget_, old, margin, kEarlierBucketMargin);
  ExamineWhole(Weigh(sums, 1), &aRoute, aFinding);
}

bool
RolloutJudge::HasEnough() const
{
  double target = 0;
  double old = 0;
  for (const Route& route : routes_) {
    const ComparisonSums sums = Known(route);
    target += sums.targetRequests_ + route.earlierTarget_.requests_;
    old += sums.oldRequests_ + route.earlierOld_.requests_;
  }
  if (target < settings_.goodRequests_) {
    return false;
  }
  return std::all_of(routes_.begin(), routes_.end(), [&](const Route& aRoute) {
    const ComparisonSums sums = Known(aRoute);
    return sums.oldRequests_ + aRoute.earlierOld_.requests_ < settings_.goodRouteShare_ * old ||
           sums.targetRequests_ + aRoute.earlierTarget_.requests_ >= settings_.goodRouteRequests_;
  });
}

ComparisonSums
RolloutJudge::Known(const Route& aRoute) const
{
  ComparisonSums sums = aRoute.closed_.empty() ? ComparisonSums{} : aRoute.closed_.back()[0];
  sums += Compare(aRoute, latest_ - 1, 0);
  return sums;
}

Judgement
RolloutJudge::Evaluate(TimePoint aNow) const
{
  Finding finding;
  std::vector<Shifted> all(kWindows.size());
  Shifted allRecent{};
  Finding recentFinding;
  for (const Route& route : routes_) {
    const std::vector<Shifted> windows = Windows(route);
    for (std::size_t i = 0; i < windows.size(); ++i) {
      ExamineWindow(windows[i], kWindows[i], &route, finding);
      for (std::size_t shift = 0; shift < kShifts; ++shift) {
        all[i][shift] += windows[i][shift];
      }
    }
    const Shifted recent = Recent(route);
    ExamineWhole(Weigh(recent, 2), &route, recentFinding);
    for (std::size_t shift = 0; shift < kShifts; ++shift) {
      allRecent[shift] += recent[shift];
    }
    ExamineEarlier(route, finding);
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    ExamineWindow(all[i], kWindows[i], nullptr, finding);
  }
  ExamineWhole(Weigh(allRecent, 2), nullptr, recentFinding);
  // The newest slices may hold an effect on both versions that only one side has reported yet.
  if (!finding.bad_ && recentFinding.bad_) {
    finding = recentFinding;
    finding.bad_ = false;
  }
  Judgement judgement = Conclude(finding);
  const bool fresh =
    started_ && aNow.time_since_epoch() / settings_.slice_ <= latest_ + kFreshSlices;
  if (judgement.verdict_ == RolloutVerdict::Good && !fresh) {
    judgement.verdict_ = RolloutVerdict::Undecided;
    judgement.reason_ = "evidence";
  }
  return judgement;
}

Judgement
RolloutJudge::Conclude(const Finding& aFinding) const
{
  Judgement judgement;
  judgement.suspected_ = aFinding.suspected_;
  ComparisonSums sums = aFinding.sums_;
  if (aFinding.suspected_) {
    judgement.verdict_ = aFinding.bad_ ? RolloutVerdict::Bad : RolloutVerdict::Undecided;
    judgement.route_ = aFinding.route_;
    judgement.reason_ = aFinding.slow_ ? "slow" : "failures";
  } else {
    const bool enough = HasEnough();
    judgement.verdict_ = enough ? RolloutVerdict::Good : RolloutVerdict::Undecided;
    judgement.reason_ = enough ? "" : "evidence";
    sums =
      std::accumulate(routes_.begin(),
                      routes_.end(),
                      ComparisonSums{},
                      [](ComparisonSums aSum, const Route& aRoute) {
                        return aRoute.closed_.empty() ? aSum : aSum += aRoute.closed_.back()[0];
                      });
  }
  judgement.target_ =
    FiguresOf(sums.targetRequests_, sums.targetFailures_, sums.targetTimes_, sums.targetBuckets_);
  judgement.old_ =
    FiguresOf(sums.oldRequests_, sums.oldFailures_, sums.oldTimes_, sums.oldBuckets_);
  return judgement;
}

} // namespace redwing
