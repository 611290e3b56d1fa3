#include "routing/OutlierDetector.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// A member is a straggler when it is slower than this multiple of the median member's quantile.
constexpr int kFactor = 3;
constexpr double kQuantile = 0.9;
constexpr std::uint32_t kMinSamples = 10;
/// Differences below this are noise of the network and scheduler.
constexpr Duration kMinThreshold = std::chrono::milliseconds(4);
/// One old attempt may be an expensive request; two are a sign of a slow server.
constexpr std::size_t kOldAttemptsIgnored = 1;
constexpr std::uint32_t kOvertakenLimit = 2;
/// Time without requests before a straggler is tried again with one request; it doubles with every
/// failed trial, because each trial delays the request that serves for it.
constexpr Duration kFirstEjection = std::chrono::milliseconds(100);
constexpr Duration kMaxEjection = std::chrono::milliseconds(400);
/// A request that cannot be hedged would wait out a failed trial; it serves as trial only when no
/// other request did for this time.
constexpr Duration kTrialWait = std::chrono::milliseconds(400);

bool
IsSlow(const MemberLoad& aLoad, Duration aThreshold, TimePoint aNow)
{
  return aLoad.Overtaken() >= kOvertakenLimit || aLoad.Recent() > aThreshold ||
         aLoad.WaitingAge(kOldAttemptsIgnored, aNow) > aThreshold;
}

/// Ends or prolongs the ejection by the result of the trial request; returns whether it ended. Only
/// an attempt that started after the ejection counts: older ones say nothing about the present, and
/// without a trial every request would go to the member at once.
bool
JudgeTrial(OutlierState& aMember, Duration aThreshold, TimePoint aNow)
{
  const AttemptResult& result = aMember.load_->LastResult();
  if (aNow < aMember.ejectedUntil_ || result.start_ < aMember.ejectedUntil_) {
    return false;
  }
  if (result.answered_ && result.latency_ <= aThreshold) {
    aMember.ejected_ = false;
    aMember.load_->ResetRecent(result.latency_);
    return true;
  }
  aMember.ejection_ = std::min(kMaxEjection, aMember.ejection_ * 2);
  aMember.ejectedUntil_ = aNow + aMember.ejection_;
  return false;
}

} // namespace

void
OutlierDetector::Evaluate(std::span<OutlierState*> aMembers, TimePoint aNow)
{
  const Duration threshold = Threshold(aMembers);
  if (threshold == Duration::zero()) {
    return;
  }
  std::size_t ejected = 0;
  for (const OutlierState* member : aMembers) {
    ejected += member->ejected_ ? 1 : 0;
  }
  for (OutlierState* member : aMembers) {
    if (member->ejected_) {
      ejected -= JudgeTrial(*member, threshold, aNow) ? 1 : 0;
    } else if (IsSlow(*member->load_, threshold, aNow) && (ejected + 1) * 2 <= aMembers.size()) {
      member->ejected_ = true;
      member->ejection_ = kFirstEjection;
      member->ejectedUntil_ = aNow + kFirstEjection;
      ++ejected;
    }
  }
}

bool
OutlierDetector::Admits(const OutlierState& aMember, bool aHedgeable, TimePoint aNow)
{
  const TimePoint trialFrom = aMember.ejectedUntil_ + (aHedgeable ? Duration::zero() : kTrialWait);
  return !aMember.ejected_ || (aNow >= trialFrom && aMember.load_->Waiting() == 0);
}

Duration
OutlierDetector::Threshold(std::span<OutlierState*> aMembers)
{
  scratch_.clear();
  for (const OutlierState* member : aMembers) {
    if (member->load_->Latencies().Samples() >= kMinSamples) {
      scratch_.push_back(member->load_->Latencies().Quantile(kQuantile));
    }
  }
  // One is enough: an ingress that prefers its near member knows the others too little, and that
  // member's own history shows a sudden slowness as well.
  if (scratch_.empty()) {
    return Duration::zero();
  }
  // The lower median: with two members the faster one is the reference.
  const auto median = scratch_.begin() + static_cast<std::ptrdiff_t>((scratch_.size() - 1) / 2);
  std::nth_element(scratch_.begin(), median, scratch_.end());
  return std::max(kMinThreshold, *median * kFactor);
}

} // namespace redwing
