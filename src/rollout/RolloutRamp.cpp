#include "rollout/RolloutRamp.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

using std::chrono::milliseconds;

namespace {

/// Part of the exposure bound that the canary may use at each moment.
constexpr double kCanaryShareOfBound = 0.8;
constexpr double kCanaryShareOfSlack = 0.6;
/// Part of the exposure bound that is used before it is crossed. Requests to come count less, since
/// the traffic may decrease.
constexpr double kBoundedShareOfBound = 0.95;
constexpr double kBoundedShareOfSlack = 0.9;
constexpr double kExpectedShareOfFuture = 0.85;
/// Part of the canary's share that goes to cold servers, and most requests that they get together:
/// what they do is not judged, and the time for a rollback begins with the 50th bad response.
constexpr double kColdPartOfCanary = 0.25;
constexpr double kMostColdRequests = 40;
/// A target server is to have at least 0.8 of the load of an old one, for faults under load.
constexpr double kLoadOfOldServer = 0.9;
constexpr double kMostLoadOfOldServer = 1.1;
constexpr double kHalfShare = 0.5;
constexpr double kMostCanaryShare = 0.3;
/// Time for which the permissions of an earlier leader may last.
constexpr milliseconds kLeaderWait{ 1500 };
/// Lease and report interval, in seconds: the time that one limit has to cover.
constexpr double kLimitSeconds = 2;
constexpr double kClosingLimitSeconds = 6.5;
constexpr double kLimitMargin = 1.5;
/// Time in which the canary uses up the slack.
constexpr double kSlackSeconds = 2;
/// Shortest time with the load of an old server that is judged, and part of that load at which no
/// fault under load shows.
constexpr double kLeastLoadSeconds = 1.5;
constexpr double kUnloadedPart = 0.45;
/// A step is judged for this long: report, slice and verdict.
constexpr milliseconds kLeastStep{ 1200 };
/// Two reports, the requests that still run, and two writes; with less `completed` is late.
constexpr milliseconds kLeastClosing{ 1900 };
/// Shortest duration with a step of half of the traffic.
constexpr milliseconds kHalfStepDuration{ 16'000 };

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
PartOf(Duration aDuration, double aPart, Duration aLeast, Duration aMost)
{
  return std::clamp(std::chrono::duration_cast<Duration>(aDuration * aPart), aLeast, aMost);
}

std::uint64_t
Whole(double aNumber)
{
  return aNumber <= 0 ? 0 : static_cast<std::uint64_t>(aNumber);
}

} // namespace

RolloutRamp::RolloutRamp(const RolloutBounds& aBounds,
                         const RolloutOrder& aOrder,
                         TimePoint aOrderedAt,
                         RolloutPhase aPhase)
  : bounds_(aBounds)
  , order_(aOrder)
  , orderedAt_(aOrderedAt)
  , phase_(aPhase)
  , stageSince_(aOrderedAt)
  , resumed_(aPhase != RolloutPhase::Waiting)
  , countsComplete_(!resumed_)
{
  Plan();
}

void
RolloutRamp::Reorder(const RolloutOrder& aOrder, TimePoint aOrderedAt)
{
  order_ = aOrder;
  orderedAt_ = aOrderedAt;
  Plan();
}

void
RolloutRamp::Cancel(std::string_view aReason)
{
  if (phase_ != RolloutPhase::Completed) {
    phase_ = RolloutPhase::RolledBack;
    reason_ = aReason;
  }
}

void
RolloutRamp::Plan()
{
  const Duration duration = order_.duration_;
  end_ = orderedAt_ + duration;
  lastClosing_ = end_ - kLeastClosing;
  rampEnd_ = end_ - PartOf(duration, 0.15, milliseconds(2000), milliseconds(3000));
  boundedEnd_ = rampEnd_ - (duration < kHalfStepDuration ? Duration(0) : Duration(kLeastStep));
  canaryEnd_ = boundedEnd_ - PartOf(duration, 0.18, milliseconds(1500), milliseconds(4000));
}

void
RolloutRamp::Enter(RolloutPhase aPhase, TimePoint aNow, std::string_view aReason)
{
  phase_ = aPhase;
  stageSince_ = aNow;
  reason_ = aReason;
}

RolloutStep
RolloutRamp::Next(const RolloutSituation& aSituation)
{
  const bool ended = phase_ == RolloutPhase::Completed || phase_ == RolloutPhase::RolledBack;
  if (!ended && aSituation.judgement_.verdict_ == RolloutVerdict::Bad) {
    Enter(RolloutPhase::RolledBack,
          aSituation.now_,
          aSituation.judgement_.reason_ == "slow" ? "slow" : "failures");
  } else if (!ended) {
    const bool newLeader = aSituation.leading_ < kLeaderWait || !aSituation.allReported_;
    if (!newLeader) {
      // What the earlier leader judged of the present step is not known.
      stageSince_ = resumed_ ? aSituation.now_ : stageSince_;
      resumed_ = false;
      Advance(aSituation);
    } else if (phase_ != RolloutPhase::Closing && aSituation.now_ >= end_) {
      Enter(RolloutPhase::RolledBack, aSituation.now_, "duration");
    } else {
      RolloutStep step = phase_ == RolloutPhase::Closing ? OpenStep(aSituation) : RolloutStep{};
      step.phase_ = phase_;
      step.permits_ = false;
      step.reason_ = "leader_change";
      return step;
    }
  }
  RolloutStep step;
  switch (phase_) {
    case RolloutPhase::Canary:
      step = CanaryStep(aSituation);
      break;
    case RolloutPhase::Ramp:
      step = stage_ == RampStage::Bounded ? BoundedStep(aSituation) : OpenStep(aSituation);
      break;
    case RolloutPhase::Closing:
    case RolloutPhase::Completed:
      step = OpenStep(aSituation);
      break;
    case RolloutPhase::Waiting:
    case RolloutPhase::RolledBack:
      break;
  }
  step.phase_ = phase_;
  step.reason_ = reason_;
  return step;
}

void
RolloutRamp::Advance(const RolloutSituation& aSituation)
{
  switch (phase_) {
    case RolloutPhase::Waiting:
      reason_ = "no_server";
      if (aSituation.targetServers_ > 0) {
        Enter(aSituation.oldServers_ == 0 ? RolloutPhase::Closing : RolloutPhase::Canary,
              aSituation.now_);
      }
      break;
    case RolloutPhase::Canary:
      AdvanceCanary(aSituation);
      break;
    case RolloutPhase::Ramp:
      AdvanceRamp(aSituation);
      break;
    case RolloutPhase::Closing:
      if (aSituation.oldClosed_ && aSituation.targetServers_ > 0) {
        Enter(RolloutPhase::Completed, aSituation.now_);
      }
      break;
    case RolloutPhase::Completed:
    case RolloutPhase::RolledBack:
      break;
  }
  // A closing that is late still ends: the version is good, and old servers were closed.
  const bool open = phase_ == RolloutPhase::Waiting || phase_ == RolloutPhase::Canary ||
                    phase_ == RolloutPhase::Ramp;
  if (open && aSituation.now_ >= end_) {
    Enter(RolloutPhase::RolledBack, aSituation.now_, reason_.empty() ? "duration" : reason_);
  }
}

void
RolloutRamp::AdvanceCanary(const RolloutSituation& aSituation)
{
  reason_ = {};
  if (aSituation.targetServers_ == 0) {
    reason_ = "no_server";
  } else if (aSituation.now_ >= canaryEnd_) {
    // The ramp under the bound gathers what evidence is still lacking.
    if (aSituation.judgement_.suspected_) {
      reason_ = "suspected";
    } else {
      stage_ = RampStage::Bounded;
      Enter(RolloutPhase::Ramp, aSituation.now_);
    }
  }
}

bool
RolloutRamp::MayCross(const RolloutSituation& aSituation)
{
  const Judgement& judgement = aSituation.judgement_;
  if (judgement.suspected_ || aSituation.targetServers_ == 0) {
    reason_ = aSituation.targetServers_ == 0 ? "no_server" : "suspected";
    return false;
  }
  const bool judged = aSituation.now_ - stageSince_ >= kLeastStep;
  if (judgement.verdict_ == RolloutVerdict::Good && (judged || aSituation.now_ >= lastClosing_)) {
    return true;
  }
  reason_ = judgement.verdict_ == RolloutVerdict::Good ? "" : "evidence";
  return aSituation.now_ >= lastClosing_ && countsComplete_ && IsWithinSlack(aSituation);
}

bool
RolloutRamp::IsWithinSlack(const RolloutSituation& aSituation) const
{
  const double rest = std::max(0.0, Seconds(end_ - aSituation.now_));
  return static_cast<double>(aSituation.serviceRequests_) +
           kLimitMargin * aSituation.requestsPerSecond_ * rest <=
         bounds_.exposureSlack_;
}

void
RolloutRamp::AdvanceRamp(const RolloutSituation& aSituation)
{
  reason_ = {};
  const TimePoint due = stage_ == RampStage::Bounded ? boundedEnd_ : rampEnd_;
  if (aSituation.now_ < due) {
    reason_ = aSituation.judgement_.suspected_ ? "suspected" : "";
    return;
  }
  if (!MayCross(aSituation)) {
    return;
  }
  if (stage_ == RampStage::Bounded && aSituation.now_ + kLeastStep <= rampEnd_) {
    stage_ = RampStage::Half;
    Enter(RolloutPhase::Ramp, aSituation.now_);
  } else {
    Enter(RolloutPhase::Closing, aSituation.now_);
  }
}

double
RolloutRamp::ExposureLimit(const RolloutSituation& aSituation) const
{
  const double rest = std::max(0.0, Seconds(end_ - aSituation.now_));
  const double expected = static_cast<double>(aSituation.serviceRequests_) +
                          kExpectedShareOfFuture * aSituation.requestsPerSecond_ * rest;
  return kBoundedShareOfBound * bounds_.exposureShare_ * expected +
         kBoundedShareOfSlack * bounds_.exposureSlack_;
}

void
RolloutRamp::RespectCold(const RolloutSituation& aSituation, RolloutStep& aStep)
{
  const std::uint32_t warm =
    aSituation.targetServers_ - std::min(aSituation.targetServers_, aSituation.coldTargets_);
  if (warm >= aStep.targetServers_ || aSituation.requestsPerSecond_ <= 0) {
    return;
  }
  const double loadOfOld =
    1.0 / static_cast<double>(std::max<std::uint32_t>(1, aSituation.oldServers_));
  const double most = warm * loadOfOld + (aStep.targetServers_ - warm) * aSituation.coldPerSecond_ /
                                           aSituation.requestsPerSecond_;
  aStep.share_ = std::min(aStep.share_, most);
}

RolloutStep
RolloutRamp::CanaryStep(const RolloutSituation& aSituation) const
{
  const bool cold = aSituation.coldTargets_ >= aSituation.targetServers_;
  const double part = cold ? kColdPartOfCanary : 1;
  const double share = part * kCanaryShareOfBound * bounds_.exposureShare_;
  double limit = share * static_cast<double>(aSituation.serviceRequests_) +
                 part * kCanaryShareOfSlack * bounds_.exposureSlack_;
  limit = cold ? std::min(limit, kMostColdRequests) : limit;
  RolloutStep step;
  const double old = std::max<std::uint32_t>(1, aSituation.oldServers_);
  step.targetServers_ = static_cast<std::uint32_t>(
    std::min<double>(aSituation.targetServers_, std::max(1.0, std::round(share * old))));
  // The slack is used at once if it matters, so that few requests suffice for a verdict.
  const double spare = limit - static_cast<double>(aSituation.targetRequests_);
  const double rate = std::max(1.0, aSituation.requestsPerSecond_);
  const double extra = spare / (kSlackSeconds * rate);
  const double loaded = step.targetServers_ * kMostLoadOfOldServer / old;
  double most = std::min(kMostCanaryShare, loaded);
  // 50 bad responses in one short moment of load would leave too little evidence for a verdict.
  if (spare < most * rate * kLeastLoadSeconds) {
    most = std::min(most, kUnloadedPart * loaded);
  }
  most = std::max(share, most);
  step.share_ = std::clamp(share + extra, share, most);
  RespectCold(aSituation, step);
  step.arrivalLimit_ = Whole(limit);
  step.permits_ = true;
  return step;
}

RolloutStep
RolloutRamp::BoundedStep(const RolloutSituation& aSituation) const
{
  RolloutStep step = CanaryStep(aSituation);
  const double target = static_cast<double>(aSituation.targetRequests_);
  const double rate = std::max(1.0, aSituation.requestsPerSecond_);
  const double limit = ExposureLimit(aSituation);
  if (aSituation.targetServers_ == 0 || aSituation.coldTargets_ >= aSituation.targetServers_) {
    return step;
  }
  // A suspicion does not reduce the share: a fault under load would disappear with the load.
  const double left = std::max(0.0, limit - target);
  const double seconds = std::max(0.5, Seconds(boundedEnd_ - aSituation.now_));
  const double old = std::max<std::uint32_t>(1, aSituation.oldServers_);
  // At this share one target server has the load of an old one.
  const double loading = kLoadOfOldServer / old;
  double share = std::max(step.share_, left / (rate * seconds));
  if (left > rate * loading * 0.5) {
    share = std::max(share, loading);
  }
  share = std::min(share, kHalfShare);
  step.targetServers_ = static_cast<std::uint32_t>(
    std::clamp<double>(std::floor(share * old), 1, aSituation.targetServers_));
  step.share_ = std::min(share, step.targetServers_ * kMostLoadOfOldServer / old);
  RespectCold(aSituation, step);
  const double soon = target + kLimitMargin * kLimitSeconds * rate * step.share_ + 5;
  step.arrivalLimit_ = Whole(std::min(limit, soon));
  return step;
}

RolloutStep
RolloutRamp::OpenStep(const RolloutSituation& aSituation) const
{
  RolloutStep step;
  const bool half = phase_ == RolloutPhase::Ramp;
  step.targetServers_ = aSituation.targetServers_;
  step.share_ = half ? kHalfShare : 1;
  if (half && aSituation.judgement_.suspected_) {
    step.share_ = kCanaryShareOfBound * bounds_.exposureShare_;
  }
  if (half) {
    RespectCold(aSituation, step);
  }
  const double seconds = half ? kLimitSeconds : kClosingLimitSeconds;
  // The closing has no other server to send to: its limit only ends a flood.
  const double margin = half ? kLimitMargin : 3 * kLimitMargin;
  step.arrivalLimit_ =
    aSituation.targetRequests_ +
    Whole(margin * seconds * step.share_ * aSituation.requestsPerSecond_ + bounds_.exposureSlack_);
  step.permits_ = true;
  return step;
}

} // namespace redwing
