#include "limits/SliceHolder.hpp"

#include "limits/WorkspaceLimit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace redwing {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// Time after which an unanswered request to the owner is repeated.
constexpr Duration kReplyTimeout = milliseconds(30);
/// Longest time that a request waits for a token. It covers a change of the bucket's owner.
constexpr Duration kMaxWait = milliseconds(1500);
/// Longest time that a request waits when the owner has said that the bucket is empty.
constexpr Duration kMaxWaitWhenEmpty = milliseconds(60);
/// Pause between requests to an owner whose bucket is empty; doubles up to the longest. Tokens that
/// other instances return come earlier than the refill that the owner's retry time tells of.
constexpr Duration kFirstEmptyPause = milliseconds(5);
constexpr Duration kLongestEmptyPause = milliseconds(80);
/// Time constant of the demand estimate.
constexpr double kDemandSeconds = 0.1;
/// Demand below two requests per time constant is not fetched ahead: at low rates, tokens that lie
/// unused at one instance are missing at the others.
constexpr double kDemandNotFetchedAhead = 2 / kDemandSeconds;
/// Slices idle for this part of their time to live are given back.
constexpr double kIdlePart = 0.3;
/// Requests to the owner whose late replies are still recognised.
constexpr std::size_t kMaxGivenUp = 64;
/// Requests that may wait at once; more are refused.
constexpr std::size_t kMaxWaiters = 4096;

} // namespace

SliceHolder::SliceHolder(std::string aWorkspace)
  : workspace_(std::move(aWorkspace))
  , emptyPause_(kFirstEmptyPause)
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
  const bool bucketEmpty = aNow < askAgainAt_;
  const TimePoint until = std::min(aDeadline, aNow + (bucketEmpty ? kMaxWaitWhenEmpty : kMaxWait));
  if (waiters_.size() >= kMaxWaiters) {
    return Admission::Refused;
  }
  waiters_.push_back({ aWaiterId, until });
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
    askAgainAt_ = aNow;
    return {};
  }
  const Duration timeToLive = milliseconds(aReply.timeToLiveMs_);
  timeToLive_ = timeToLive;
  if (aReply.tokens_ > 0) {
    const auto usable = std::chrono::duration_cast<Duration>(timeToLive / (1 + kLimitClockDrift));
    slices_.push_back({ aReply.requestId_, aReply.tokens_, pendingSince_ + usable });
    lastUse_ = aNow;
    emptyPause_ = kFirstEmptyPause;
  } else {
    retryAfterMs_ = aReply.retryAfterMs_;
    askAgainAt_ = aNow + std::min<Duration>(milliseconds(aReply.retryAfterMs_), emptyPause_);
    emptyPause_ = std::min(emptyPause_ * 2, kLongestEmptyPause);
  }
  auto decisions = ServeWaiters(aNow);
  if (aReply.tokens_ == 0) {
    // With an empty bucket only those wait that can hope for a token soon.
    for (Waiter& waiter : waiters_) {
      waiter.until_ = std::min(waiter.until_, aNow + kMaxWaitWhenEmpty);
    }
  }
  return decisions;
}

void
SliceHolder::ReturnLateSlice(const SliceReply& aReply)
{
  // Only a request that was given up returns its tokens: the reply may also be a duplicate of one
  // whose tokens were used.
  const bool wasGivenUp = std::erase(givenUp_, aReply.requestId_) > 0;
  if (wasGivenUp && aReply.owner_ && aReply.tokens_ > 0) {
    reports_.push_back({ workspace_, aReply.requestId_, aReply.tokens_ });
  }
}

std::vector<WaiterDecision>
SliceHolder::Tick(TimePoint aNow)
{
  auto decisions = ServeWaiters(aNow);
  std::erase_if(waiters_, [&](const Waiter& aWaiter) {
    if (aWaiter.until_ > aNow) {
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
  if (aNow < askAgainAt_) {
    return std::nullopt;
  }
  // Covers the demand of half a time to live, plus those that wait.
  const double horizon = Seconds(timeToLive_).count() / 2;
  const double ahead = std::max(0.0, DemandPerSecond(aNow) - kDemandNotFetchedAhead) * horizon;
  const auto wanted =
    static_cast<std::uint32_t>(ahead) + static_cast<std::uint32_t>(waiters_.size());
  const std::uint32_t available = Available(aNow);
  if (waiters_.empty() && available >= wanted / 2) {
    return std::nullopt;
  }
  const std::uint32_t tokens = wanted - std::min(available, wanted);
  if (tokens == 0) {
    return std::nullopt;
  }
  if (pendingId_) {
    givenUp_.push_back(*pendingId_);
    if (givenUp_.size() > kMaxGivenUp) {
      givenUp_.pop_front();
    }
  }
  pendingId_ = nextRequestId_++;
  pendingSince_ = aNow;
  return SliceRequest{ workspace_, *pendingId_, tokens };
}

std::vector<SliceReport>
SliceHolder::TakeReports(TimePoint aNow)
{
  const auto idle = std::chrono::duration_cast<Duration>(timeToLive_ * kIdlePart);
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
         DemandPerSecond(aNow) <= kDemandNotFetchedAhead;
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
    if (waiter.until_ > aNow && !UseToken(aNow)) {
      break;
    }
    decisions.push_back({ waiter.id_, waiter.until_ > aNow, retryAfterMs_ });
    waiters_.pop_front();
  }
  return decisions;
}

} // namespace redwing
