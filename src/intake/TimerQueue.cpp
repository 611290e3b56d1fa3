#include "intake/TimerQueue.hpp"

#include <algorithm>

namespace redwing::Detail {

namespace {

/// Longest wait between looks at the clock, for clocks that do not run with the machine's.
constexpr Duration kMaxWait = std::chrono::milliseconds(100);

} // namespace

TimerQueue::TimerQueue(boost::asio::io_context& aIo, const Clock& aClock, Expire aExpire)
  : clock_(aClock)
  , expire_(std::move(aExpire))
  , timer_(aIo)
{
}

TimerQueue::Handle
TimerQueue::Add(TimePoint aAt, std::uint64_t aExchangeId, TimerKind aKind)
{
  const Handle handle{ aAt, nextId_++ };
  pending_.emplace(handle, Target{ aExchangeId, aKind });
  if (aAt < armedFor_) {
    Arm();
  }
  return handle;
}

void
TimerQueue::Remove(Handle& aHandle)
{
  if (aHandle.second != 0) {
    pending_.erase(aHandle);
    aHandle = {};
  }
}

void
TimerQueue::Arm()
{
  if (pending_.empty()) {
    armedFor_ = TimePoint::max();
    return;
  }
  const TimePoint now = clock_.Now();
  armedFor_ = std::min(pending_.begin()->first.first, now + kMaxWait);
  timer_.expires_after(std::max(Duration::zero(), armedFor_ - now));
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnExpired();
    }
  });
}

void
TimerQueue::OnExpired()
{
  // While expirations run, Add must not arm the timer: Arm below does it once.
  armedFor_ = TimePoint::min();
  const TimePoint now = clock_.Now();
  while (!pending_.empty() && pending_.begin()->first.first <= now) {
    const Target target = pending_.begin()->second;
    pending_.erase(pending_.begin());
    expire_(target.exchangeId_, target.kind_);
  }
  Arm();
}

} // namespace redwing::Detail
