#include "routing/OutlierDetector.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// A member is a straggler when it is slower than this multiple of the median member's quantile.
constexpr int kFactor = 3;
constexpr double kQuantile = 0.9;
constexpr std::uint32_t kMinSamples = 10;
constexpr std::size_t kMinPool = 2;
/// Differences below this are noise of the network and scheduler.
constexpr Duration kMinThreshold = std::chrono::milliseconds(4);
/// One old attempt may be an expensive request; two are a sign of a slow server.
constexpr std::size_t kOldAttemptsIgnored = 1;
constexpr std::uint32_t kOvertakenLimit = 2;
/// Time without requests before a straggler is tried again with one request; it doubles with every
/// failed trial, because each trial delays the request that serves for it.
constexpr Duration kFirstEjection = std::chrono::milliseconds(100);
constexpr Duration kMaxEjection = std::chrono::milliseconds(400);

bool
IsSlow(const MemberLoad& aLoad, Duration aThreshold, TimePoint aNow)
{
  return aLoad.Overtaken() >= kOvertakenLimit || aLoad.Recent() > aThreshold ||
         aLoad.WaitingAge(kOldAttemptsIgnored, aNow) > aThreshold;
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
    const bool slow = IsSlow(*member->load_, threshold, aNow);
    if (member->ejected_) {
      if (!slow && aNow >= member->ejectedUntil_) {
        member->ejected_ = false;
        --ejected;
      } else if (slow && aNow >= member->ejectedUntil_ && member->load_->Waiting() == 0) {
        // The average is lowered to the threshold, so that one fast response to the trial request
        // ends the ejection and one slow response prolongs it.
        member->load_->ResetRecent(threshold);
        member->ejection_ = std::min(kMaxEjection, member->ejection_ * 2);
        member->ejectedUntil_ = aNow + member->ejection_;
      }
    } else if (slow && (ejected + 1) * 2 <= aMembers.size()) {
      member->ejected_ = true;
      member->ejection_ = kFirstEjection;
      member->ejectedUntil_ = aNow + kFirstEjection;
      ++ejected;
    }
  }
}

bool
OutlierDetector::Admits(const OutlierState& aMember, TimePoint aNow)
{
  return !aMember.ejected_ || (aNow >= aMember.ejectedUntil_ && aMember.load_->Waiting() == 0);
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
  if (scratch_.size() < kMinPool) {
    return Duration::zero();
  }
  // The lower median: with two members the faster one is the reference.
  const auto median = scratch_.begin() + static_cast<std::ptrdiff_t>((scratch_.size() - 1) / 2);
  std::nth_element(scratch_.begin(), median, scratch_.end());
  return std::max(kMinThreshold, *median * kFactor);
}

} // namespace redwing
