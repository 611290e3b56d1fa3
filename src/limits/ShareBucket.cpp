#include "limits/ShareBucket.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Largest part of the level that one slice may take. Larger slices would leave too few tokens for
/// the other instances.
constexpr double kMaxSliceFraction = 0.5;

/// Extends a period by the tolerated clock drift, so that it has ended on every machine's clock.
Duration
WithDrift(Duration aPeriod)
{
  return std::chrono::duration_cast<Duration>(aPeriod * (1 + kLimitClockDrift));
}

} // namespace

ShareBucket::ShareBucket(WorkspaceLimit aLimit, Duration aEarlierSliceTimeToLive, TimePoint aNow)
  : limit_(aLimit)
  , outstanding_(aLimit.burst_)
  , refilledAt_(aNow)
{
  slices_.push_back({ "", 0, aLimit.burst_, aNow + WithDrift(aEarlierSliceTimeToLive) });
}

ShareBucket::ShareBucket(WorkspaceLimit aLimit, const BucketState& aState, TimePoint aNow)
  : limit_(aLimit)
  , refilledAt_(aNow)
{
  for (const OpenSlice& slice : aState.slices_) {
    outstanding_ += slice.tokens_;
    const TimePoint expiry = aNow + WithDrift(std::chrono::milliseconds(slice.remainingMs_));
    slices_.push_back({ slice.instance_, slice.requestId_, slice.tokens_, expiry });
  }
  level_ = std::min(aState.level_, std::max(0.0, limit_.burst_ - outstanding_));
}

BucketState
ShareBucket::Export(std::string_view aWorkspace, TimePoint aNow)
{
  Advance(aNow);
  BucketState state;
  state.workspace_ = aWorkspace;
  state.level_ = level_;
  for (const Slice& slice : slices_) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(slice.expiry_ - aNow);
    state.slices_.push_back({ slice.instance_,
                              slice.requestId_,
                              slice.tokens_,
                              static_cast<std::uint32_t>(remaining.count()) });
  }
  return state;
}

SliceReply
ShareBucket::Grant(std::string_view aInstance, const SliceRequest& aRequest, TimePoint aNow)
{
  Advance(aNow);
  SliceReply reply;
  reply.workspace_ = aRequest.workspace_;
  reply.requestId_ = aRequest.requestId_;
  const Duration timeToLive = limit_.SliceTimeToLive();
  reply.timeToLiveMs_ = static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(timeToLive).count());
  if (IsKnown(aInstance, aRequest.requestId_)) {
    return reply;
  }
  const double maxSlice = std::max(1.0, std::floor(level_ * kMaxSliceFraction));
  const double granted =
    std::min({ static_cast<double>(aRequest.tokens_), std::floor(level_), maxSlice });
  if (granted < 1) {
    reply.retryAfterMs_ = RetryAfterMs(aNow);
    return reply;
  }
  level_ -= granted;
  outstanding_ += granted;
  Slice slice{ std::string(aInstance), aRequest.requestId_, granted, aNow + WithDrift(timeToLive) };
  const auto position = std::upper_bound(
    slices_.begin(), slices_.end(), slice, [](const Slice& aLeft, const Slice& aRight) {
      return aLeft.expiry_ < aRight.expiry_;
    });
  slices_.insert(position, std::move(slice));
  reply.tokens_ = static_cast<std::uint32_t>(granted);
  return reply;
}

void
ShareBucket::Close(std::string_view aInstance, const SliceReport& aReport, TimePoint aNow)
{
  Advance(aNow);
  const auto found = std::find_if(slices_.begin(), slices_.end(), [&](const Slice& aSlice) {
    return aSlice.requestId_ == aReport.requestId_ && aSlice.instance_ == aInstance;
  });
  if (found == slices_.end()) {
    return;
  }
  const double returned = std::min(static_cast<double>(aReport.unused_), found->tokens_);
  outstanding_ -= found->tokens_;
  slices_.erase(found);
  level_ = std::min(level_ + returned, std::max(0.0, limit_.burst_ - outstanding_));
}

void
ShareBucket::SetLimit(WorkspaceLimit aLimit, TimePoint aNow)
{
  Advance(aNow);
  limit_ = aLimit;
  level_ = std::min(level_, std::max(0.0, limit_.burst_ - outstanding_));
}

void
ShareBucket::Advance(TimePoint aNow)
{
  while (!slices_.empty() && slices_.front().expiry_ <= aNow) {
    Refill(slices_.front().expiry_);
    outstanding_ -= slices_.front().tokens_;
    slices_.pop_front();
  }
  if (slices_.empty()) {
    // Clears rounding errors of the floating-point sum.
    outstanding_ = 0;
  }
  Refill(aNow);
}

void
ShareBucket::Refill(TimePoint aUntil)
{
  if (aUntil <= refilledAt_) {
    return;
  }
  // Refills more slowly, so that a clock that is fast by the tolerated drift keeps to the rate.
  const double rate = limit_.rate_ / (1 + kLimitClockDrift);
  const double added = rate * Seconds(aUntil - refilledAt_).count();
  const double cap = std::max(0.0, limit_.burst_ - outstanding_);
  level_ = std::max(std::min(level_ + added, cap), std::min(level_, cap));
  refilledAt_ = aUntil;
}

bool
ShareBucket::IsKnown(std::string_view aInstance, std::uint64_t aRequestId) const
{
  return std::any_of(slices_.begin(), slices_.end(), [&](const Slice& aSlice) {
    return aSlice.requestId_ == aRequestId && aSlice.instance_ == aInstance;
  });
}

std::uint32_t
ShareBucket::RetryAfterMs(TimePoint aNow) const
{
  const double refill = (1 - level_) / limit_.rate_;
  double wait = std::max(refill, 0.0);
  if (limit_.burst_ - outstanding_ < 1 && !slices_.empty()) {
    wait += Seconds(slices_.front().expiry_ - aNow).count();
  }
  constexpr double kMillisecondsPerSecond = 1000;
  return std::max<std::uint32_t>(
    1, static_cast<std::uint32_t>(std::ceil(wait * kMillisecondsPerSecond)));
}

} // namespace redwing
