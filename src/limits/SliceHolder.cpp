#include "limits/SliceHolder.hpp"

#include "limits/WorkspaceLimit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace redwing {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// Timeout after which an unanswered request to the owner is repeated.
constexpr Duration kReplyTimeout = milliseconds(30);
/// Longest time that a request waits for a token; long enough for a change of the bucket's owner.
constexpr Duration kMaxWait = milliseconds(1500);
/// Longest time that a request waits after the owner replied that the bucket is empty.
constexpr Duration kMaxWaitWhenEmpty = milliseconds(60);
/// Backoff between requests to an owner whose bucket is empty; doubles up to the maximum. It may be
/// shorter than the owner's retry time, because other instances can return tokens before the bucket
/// refills.
constexpr Duration kMinEmptyBackoff = milliseconds(5);
constexpr Duration kMaxEmptyBackoff = milliseconds(80);
/// Time constant of the exponentially decaying demand estimate.
constexpr double kDemandSeconds = 0.1;
/// Tokens are prefetched only for demand above two requests per time constant: at low rates, unused
/// tokens of one instance are missing at the others.
constexpr double kMinPrefetchDemand = 2 / kDemandSeconds;
/// Slices are returned after the instance used no token for this part of their time to live.
constexpr double kIdleFraction = 0.3;
/// Number of timed-out requests to the owner whose late replies are still recognised.
constexpr std::size_t kMaxTimedOut = 64;
/// Number of requests that may wait at once; further ones are refused.
constexpr std::size_t kMaxWaiters = 4096;

} // namespace

SliceHolder::SliceHolder(std::string aWorkspace)
  : workspace_(std::move(aWorkspace))
  , emptyBackoff_(kMinEmptyBackoff)
  , timeToLive_(kMinSliceTimeToLive)
{
}

SliceHolder::Admission
SliceHolder::Admit(std::uint64_t aWaiterId, TimePoint aDeadline, TimePoint aNow)
{
  CountDemand(aNow);
  if (waiters_.empty() && UseToken(aNow)) {
    return Admission::Admitted;
  }
  const bool bucketEmpty = aNow < nextRequestAt_;
  const TimePoint deadline =
    std::min(aDeadline, aNow + (bucketEmpty ? kMaxWaitWhenEmpty : kMaxWait));
  if (waiters_.size() >= kMaxWaiters) {
    return Admission::Refused;
  }
  waiters_.push_back({ aWaiterId, deadline });
  return Admission::Waiting;
}

std::vector<WaiterDecision>
SliceHolder::OnReply(const SliceReply& aReply, TimePoint aNow)
{
  if (pendingId_ != aReply.requestId_) {
    ReturnLateSlice(aReply);
    return {};
  }
  pendingId_.reset();
  if (!aReply.owner_) {
    nextRequestAt_ = aNow;
    return {};
  }
  const Duration timeToLive = milliseconds(aReply.timeToLiveMs_);
  timeToLive_ = timeToLive;
  if (aReply.tokens_ > 0) {
    const auto usable = std::chrono::duration_cast<Duration>(timeToLive / (1 + kLimitClockDrift));
    slices_.push_back({ aReply.requestId_, aReply.tokens_, pendingSince_ + usable });
    lastUse_ = aNow;
    emptyBackoff_ = kMinEmptyBackoff;
  } else {
    retryAfterMs_ = aReply.retryAfterMs_;
    nextRequestAt_ = aNow + std::min<Duration>(milliseconds(aReply.retryAfterMs_), emptyBackoff_);
    emptyBackoff_ = std::min(emptyBackoff_ * 2, kMaxEmptyBackoff);
  }
  auto decisions = ServeWaiters(aNow);
  if (aReply.tokens_ == 0) {
    // While the bucket is empty, requests wait only for a short time.
    for (Waiter& waiter : waiters_) {
      waiter.deadline_ = std::min(waiter.deadline_, aNow + kMaxWaitWhenEmpty);
    }
  }
  return decisions;
}

void
SliceHolder::ReturnLateSlice(const SliceReply& aReply)
{
  // Returns tokens only for a request that timed out: any other reply may be a duplicate of one
  // whose tokens were used.
  const bool timedOut = std::erase(timedOutIds_, aReply.requestId_) > 0;
  if (timedOut && aReply.owner_ && aReply.tokens_ > 0) {
    reports_.push_back({ workspace_, aReply.requestId_, aReply.tokens_ });
  }
}

std::vector<WaiterDecision>
SliceHolder::Tick(TimePoint aNow)
{
  auto decisions = ServeWaiters(aNow);
  std::erase_if(waiters_, [&](const Waiter& aWaiter) {
    if (aWaiter.deadline_ > aNow) {
      return false;
    }
    decisions.push_back({ aWaiter.id_, false, retryAfterMs_ });
    return true;
  });
  return decisions;
}

std::optional<SliceRequest>
SliceHolder::TakeRequest(TimePoint aNow)
{
  if (pendingId_ && aNow < pendingSince_ + kReplyTimeout) {
    return std::nullopt;
  }
  if (aNow < nextRequestAt_) {
    return std::nullopt;
  }
  // Covers the demand of half a time to live, plus the waiting requests.
  const double horizon = Seconds(timeToLive_).count() / 2;
  const double prefetched = std::max(0.0, DemandPerSecond(aNow) - kMinPrefetchDemand) * horizon;
  const auto wanted =
    static_cast<std::uint32_t>(prefetched) + static_cast<std::uint32_t>(waiters_.size());
  const std::uint32_t available = Available(aNow);
  if (waiters_.empty() && available >= wanted / 2) {
    return std::nullopt;
  }
  const std::uint32_t tokens = wanted - std::min(available, wanted);
  if (tokens == 0) {
    return std::nullopt;
  }
  if (pendingId_) {
    timedOutIds_.push_back(*pendingId_);
    if (timedOutIds_.size() > kMaxTimedOut) {
      timedOutIds_.pop_front();
    }
  }
  pendingId_ = nextRequestId_++;
  pendingSince_ = aNow;
  return SliceRequest{ workspace_, *pendingId_, tokens };
}

std::vector<SliceReport>
SliceHolder::TakeReports(TimePoint aNow)
{
  const auto idle = std::chrono::duration_cast<Duration>(timeToLive_ * kIdleFraction);
  const bool unused = waiters_.empty() && aNow >= lastUse_ + idle;
  std::erase_if(slices_, [&](const Slice& aSlice) {
    if (aSlice.expiry_ <= aNow) {
      return true;
    }
    const bool usedUp = aSlice.tokens_ == 0;
    if (!usedUp && !unused) {
      return false;
    }
    reports_.push_back({ workspace_, aSlice.requestId_, aSlice.tokens_ });
    return true;
  });
  return std::exchange(reports_, {});
}

bool
SliceHolder::Idle(TimePoint aNow) const
{
  return slices_.empty() && waiters_.empty() && reports_.empty() && !pendingId_ &&
         DemandPerSecond(aNow) <= kMinPrefetchDemand;
}

bool
SliceHolder::UseToken(TimePoint aNow)
{
  for (Slice& slice : slices_) {
    if (slice.tokens_ > 0 && slice.expiry_ > aNow) {
      --slice.tokens_;
      lastUse_ = aNow;
      return true;
    }
  }
  return false;
}

void
SliceHolder::CountDemand(TimePoint aNow)
{
  demand_ = DemandPerSecond(aNow) + 1 / kDemandSeconds;
  demandAt_ = aNow;
}

double
SliceHolder::DemandPerSecond(TimePoint aNow) const
{
  const double elapsed = Seconds(aNow - demandAt_).count();
  return demand_ * std::exp(-elapsed / kDemandSeconds);
}

std::uint32_t
SliceHolder::Available(TimePoint aNow) const
{
  std::uint32_t sum = 0;
  for (const Slice& slice : slices_) {
    if (slice.expiry_ > aNow) {
      sum += slice.tokens_;
    }
  }
  return sum;
}

std::vector<WaiterDecision>
SliceHolder::ServeWaiters(TimePoint aNow)
{
  std::vector<WaiterDecision> decisions;
  while (!waiters_.empty()) {
    const Waiter waiter = waiters_.front();
    if (waiter.deadline_ > aNow && !UseToken(aNow)) {
      break;
    }
    decisions.push_back({ waiter.id_, waiter.deadline_ > aNow, retryAfterMs_ });
    waiters_.pop_front();
  }
  return decisions;
}

} // namespace redwing
