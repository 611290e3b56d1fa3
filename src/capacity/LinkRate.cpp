#include "capacity/LinkRate.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(200);
/// Queue on the link, as time, from which the link counts as slower than its present rate.
constexpr Duration kQueueTime = std::chrono::milliseconds(60);
/// Part of the time without a queue by which it may grow in an interval: routes change.
constexpr int kBaseGrowth = 64;
/// Lowest rate as a share of the stated one. If all callers read slowly, the rate falls although
/// the link is free; this bounds the error.
constexpr double kLowest = 0.1;
/// Share of what arrives that is sent while a queue is left, so that it goes away.
constexpr double kDrain = 0.85;
constexpr double kIncrease = 1.02;
/// Part by which the rate falls at most in one interval.
constexpr double kMostDecrease = 0.7;
/// Parts, and responses they are of, without which an interval tells nothing of the link: a caller
/// that reads slowly delays all parts of its response. It is extended until then, up to kLongest.
constexpr std::uint32_t kLeastParts = 4;
constexpr std::size_t kLeastResponses = 2;
constexpr Duration kLongest = std::chrono::seconds(1);

} // namespace

LinkRate::LinkRate(double aStatedBytesPerSecond)
  : stated_(std::max(1.0, aStatedBytesPerSecond))
  , rate_(stated_)
{
}

void
LinkRate::OnArrived(std::uint64_t aResponse, std::uint64_t aBytes, Duration aTime, TimePoint aNow)
{
  Update(aNow);
  arrived_ += aBytes;
  ++parts_;
  if (responses_.size() < kLeastResponses &&
      std::find(responses_.begin(), responses_.end(), aResponse) == responses_.end()) {
    responses_.push_back(aResponse);
  }
  shortest_ = std::min(shortest_, aTime);
}

bool
LinkRate::HasEvidence() const
{
  return parts_ >= kLeastParts && responses_.size() >= kLeastResponses;
}

void
LinkRate::Update(TimePoint aNow)
{
  const Duration passed = aNow - since_;
  if (passed < kInterval) {
    return;
  }
  const bool slow = arrived_ > 0 && shortest_ > base_ + kQueueTime;
  if (slow && !HasEvidence() && passed < kLongest) {
    return;
  }
  const double seconds = std::chrono::duration<double>(passed).count();
  if (arrived_ > 0) {
    base_ =
      base_ == Duration::zero() ? shortest_ : std::min(shortest_, base_ + base_ / kBaseGrowth);
  }
  if (!slow || !HasEvidence()) {
    rate_ = std::min(stated_, rate_ * kIncrease);
  } else if (passed < kLongest + kInterval) {
    const double arrived = static_cast<double>(arrived_) / seconds * kDrain;
    rate_ = std::clamp(std::max(arrived, rate_ * kMostDecrease), stated_ * kLowest, rate_);
  }
  since_ = aNow;
  arrived_ = 0;
  parts_ = 0;
  responses_.clear();
  shortest_ = Duration::max();
}

} // namespace redwing
