#include "store/CallBudget.hpp"

#include <algorithm>

namespace redwing {

CallBudget::CallBudget(const Clock& aClock, std::uint64_t aSeed, CallBudgetSettings aSettings)
  : clock_(aClock)
  , random_(aSeed)
  , settings_(aSettings)
  , tokens_(aSettings.burst_)
  , refilled_(aClock.Now())
  , blockedUntil_(aClock.Now())
{
}

bool
CallBudget::TryAcquire()
{
  const TimePoint now = clock_.Now();
  tokens_ = TokensAt(now);
  refilled_ = now;
  if (now < blockedUntil_ || tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void
CallBudget::OnSuccess()
{
  backOff_ = Duration(0);
  blockedUntil_ = clock_.Now();
}

void
CallBudget::OnError()
{
  const TimePoint now = clock_.Now();
  if (now < blockedUntil_) {
    return;
  }
  const Duration minimum = settings_.minimumBackOff_;
  const Duration maximum = settings_.maximumBackOff_;
  backOff_ = std::clamp<Duration>(backOff_ * 2, minimum, maximum);
  // Between half and all of the back-off, so that instances do not retry in step.
  const double share = 0.5 + random_.Unit() / 2;
  blockedUntil_ = now + Duration(static_cast<Duration::rep>(backOff_.count() * share));
}

TimePoint
CallBudget::NextCall() const
{
  const TimePoint now = clock_.Now();
  const double missing = std::max(0.0, 1.0 - TokensAt(now));
  const std::chrono::duration<double> wait(missing / settings_.callsPerSecond_);
  return std::max(blockedUntil_, now + std::chrono::duration_cast<Duration>(wait));
}

double
CallBudget::TokensAt(TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - refilled_;
  return std::min(settings_.burst_, tokens_ + elapsed.count() * settings_.callsPerSecond_);
}

} // namespace redwing
