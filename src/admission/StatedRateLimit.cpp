#include "admission/StatedRateLimit.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// The end of a limit is heard from answers only, so that some requests must go on, whatever the
/// server states.
constexpr double kLowestPerSecond = 0.5;
/// Requests that may be sent at once, in seconds of the rate.
constexpr double kBurstSeconds = 0.25;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
StatedRateLimit::OnAnswer(std::optional<double> aPerSecond, TimePoint aSentAt, TimePoint aNow)
{
  if (!aPerSecond) {
    if (aSentAt >= statedFor_) {
      perSecond_ = 0;
    }
    return;
  }
  const bool begins = perSecond_ <= 0;
  const double tokens = begins ? 0 : TokensAt(aNow);
  perSecond_ = std::max(*aPerSecond, kLowestPerSecond);
  tokens_ = std::min(tokens, Burst());
  countedAt_ = aNow;
  statedFor_ = std::max(statedFor_, aSentAt);
}

double
StatedRateLimit::Burst() const
{
  return std::max(1.0, perSecond_ * kBurstSeconds);
}

double
StatedRateLimit::TokensAt(TimePoint aNow) const
{
  return std::min(Burst(), tokens_ + perSecond_ * Seconds(aNow - countedAt_));
}

Duration
StatedRateLimit::Wait(TimePoint aNow) const
{
  const double missing = perSecond_ > 0 ? 1 - TokensAt(aNow) : 0;
  if (missing <= 0) {
    return Duration::zero();
  }
  // Rounded up, so that the request may be sent once the time has passed.
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / perSecond_));
}

void
StatedRateLimit::OnSent(TimePoint aNow)
{
  if (perSecond_ <= 0) {
    return;
  }
  tokens_ = TokensAt(aNow) - 1;
  countedAt_ = aNow;
}

} // namespace redwing
