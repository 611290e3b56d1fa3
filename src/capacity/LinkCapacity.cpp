#include "capacity/LinkCapacity.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Share of the link for large responses. The rest is for small responses, control messages and the
/// overhead of frames, which then find a short queue.
constexpr double kShare = 0.8;
/// Bound of what the instance may come to hold for responses that were admitted: a fifth of the
/// memory of the smallest machine in known deployments.
constexpr std::uint64_t kMaxAheadBytes = 32 * 1024 * 1024;
/// A reader that takes nothing for this long has stopped.
constexpr Duration kStoppedAfter = std::chrono::seconds(1);
/// Credit for a response that was sent completely is awaited for this long.
constexpr Duration kCreditTime = std::chrono::seconds(5);
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
constexpr Duration kShortestRetry = std::chrono::milliseconds(200);
constexpr Duration kLongestRetry = std::chrono::seconds(5);

} // namespace

LinkCapacity::LinkCapacity(double aBytesPerSecond)
  : rate_(aBytesPerSecond)
{
}

double
LinkCapacity::BytesPerSecond() const
{
  return rate_.BytesPerSecond() * kShare;
}

Duration
LinkCapacity::TimeOf(std::uint64_t aBytes) const
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(static_cast<double>(aBytes) / BytesPerSecond()));
}

std::optional<Duration>
LinkCapacity::Admit(const ExchangeKey& aKey,
                    const ResponseSize& aSize,
                    Duration aServiceTime,
                    TimePoint aBy,
                    TimePoint aNow)
{
  Update(aNow);
  const Duration own = TimeOf(aSize.mean_);
  const TimePoint end = aNow + std::max(Wait(), aServiceTime) + TimeOf(aSize.most_);
  const bool fits = end <= aBy && ahead_ + aSize.mean_ <= kMaxAheadBytes;
  if (fits || ahead_ == 0) {
    Open& open = open_[aKey];
    open.expected_ = aSize.mean_;
    open.lastProgress_ = aNow;
    ahead_ += aSize.mean_;
    return std::nullopt;
  }
  const TimePoint room = aNow + std::max(end - aBy, own);
  promisedUntil_ = std::min(std::max(promisedUntil_ + own, room), aNow + kLongestRetry);
  return std::max(promisedUntil_ - aNow, kShortestRetry);
}

template<typename Change>
void
LinkCapacity::With(const ExchangeKey& aKey, Change aChange)
{
  const auto found = open_.find(aKey);
  if (found == open_.end()) {
    return;
  }
  Open& open = found->second;
  ahead_ -= open.Ahead();
  held_ -= open.waiting_;
  aChange(open);
  ahead_ += open.Ahead();
  held_ += open.waiting_;
}

void
LinkCapacity::SetSize(const ExchangeKey& aKey, std::uint64_t aBytes)
{
  With(aKey, [&](Open& aOpen) { aOpen.expected_ = aBytes - std::min(aBytes, aOpen.taken_); });
}

void
LinkCapacity::OnTaken(const ExchangeKey& aKey, std::uint64_t aBytes)
{
  With(aKey, [&](Open& aOpen) {
    aOpen.taken_ += aBytes;
    aOpen.waiting_ += aBytes;
    aOpen.expected_ -= std::min(aOpen.expected_, aBytes);
  });
}

void
LinkCapacity::OnSent(const ExchangeKey& aKey, std::uint64_t aBytes, TimePoint aNow)
{
  With(aKey, [&](Open& aOpen) {
    aOpen.waiting_ -= std::min(aOpen.waiting_, aBytes);
    aOpen.sent_.emplace_back(aBytes, aNow);
    aOpen.lastProgress_ = aNow;
  });
}

void
LinkCapacity::OnArrived(const ExchangeKey& aKey, std::uint64_t aBytes, TimePoint aNow)
{
  With(aKey, [&](Open& aOpen) {
    aOpen.lastProgress_ = aNow;
    aOpen.stopped_ = false;
    while (aBytes > 0 && !aOpen.sent_.empty()) {
      auto& [bytes, sentAt] = aOpen.sent_.front();
      const std::uint64_t arrived = std::min(bytes, aBytes);
      rate_.OnArrived(ExchangeKeyHash{}(aKey), arrived, aNow - sentAt, aNow);
      aBytes -= arrived;
      bytes -= arrived;
      if (bytes == 0) {
        aOpen.sent_.pop_front();
      }
    }
  });
}

void
LinkCapacity::OnComplete(const ExchangeKey& aKey)
{
  With(aKey, [](Open& aOpen) { aOpen.expected_ = 0; });
}

void
LinkCapacity::OnAllSent(const ExchangeKey& aKey)
{
  With(aKey, [](Open& aOpen) {
    aOpen.expected_ = 0;
    aOpen.waiting_ = 0;
    aOpen.allSent_ = true;
  });
}

void
LinkCapacity::Remove(const ExchangeKey& aKey)
{
  With(aKey, [](Open& aOpen) {
    aOpen.expected_ = 0;
    aOpen.waiting_ = 0;
  });
  open_.erase(aKey);
}

void
LinkCapacity::Update(TimePoint aNow)
{
  rate_.Update(aNow);
  if (aNow < nextUpdate_) {
    return;
  }
  nextUpdate_ = aNow + kUpdateInterval;
  // The last part of a response is never credited.
  std::erase_if(open_, [&](const auto& aEntry) {
    const Open& open = aEntry.second;
    return open.allSent_ && (open.sent_.size() <= 1 || aNow - open.lastProgress_ > kCreditTime);
  });
  for (auto& [key, open] : open_) {
    // A response of which nothing was sent yet waits for its server or its turn.
    if (!open.stopped_ && !open.sent_.empty() && aNow - open.lastProgress_ > kStoppedAfter) {
      With(key, [](Open& aOpen) { aOpen.stopped_ = true; });
    }
  }
}

} // namespace redwing
