#include "admission/ColdStartRamp.hpp"

#include <algorithm>
#include <bit>

namespace redwing {

namespace {

/// Sheds within kShedWindow that mark a server at full allowance as cold again. Single sheds are
/// the business of the adaptive limit.
constexpr std::uint32_t kShedsOfColdServer = 5;
constexpr std::chrono::milliseconds kShedWindow{ 500 };
/// Falls of one overload count once.
constexpr std::chrono::milliseconds kFallInterval{ 100 };

} // namespace

void
ColdStartRamp::Configure(std::uint32_t aInitial, Duration aRamp, std::uint32_t aSlots)
{
  initial_ = std::max(1U, aInitial);
  slots_ = std::max(1U, aSlots);
  const auto doublings = std::bit_width((slots_ + initial_ - 1) / initial_);
  step_ = aRamp / std::max(1, static_cast<int>(doublings));
  // The ramp may have begun before the configuration was known, with too little.
  const std::uint32_t initial = std::min(initial_, slots_);
  if (ramping_ && untouched_ && allowed_ < initial) {
    allowed_ = initial;
  }
}

void
ColdStartRamp::Begin(TimePoint aNow)
{
  ramping_ = true;
  untouched_ = true;
  allowed_ = std::min(initial_, slots_);
  successes_ = 0;
  stepStart_ = aNow;
}

void
ColdStartRamp::SetCold(bool aCold, TimePoint aNow)
{
  if (aCold && !cold_) {
    Begin(aNow);
  }
  cold_ = aCold;
}

void
ColdStartRamp::OnSuccess(TimePoint aNow)
{
  if (!ramping_) {
    return;
  }
  ++successes_;
  // A step counts only if the allowance was used; time alone does not warm a server.
  if (cold_ || aNow - stepStart_ < step_ || successes_ < allowed_) {
    return;
  }
  allowed_ = std::min(slots_, allowed_ * 2);
  successes_ = 0;
  stepStart_ = aNow;
  ramping_ = allowed_ < slots_;
}

void
ColdStartRamp::OnShed(TimePoint aNow)
{
  if (aNow - shedWindow_ > kShedWindow) {
    shedWindow_ = aNow;
    recentSheds_ = 0;
  }
  if (ramping_ || ++recentSheds_ >= kShedsOfColdServer) {
    FallBack(aNow);
  }
}

void
ColdStartRamp::OnLatencyJump(TimePoint aNow)
{
  // At full allowance a slow phase need not be a cold start, so only a ramp reacts.
  if (ramping_) {
    FallBack(aNow);
  }
}

void
ColdStartRamp::FallBack(TimePoint aNow)
{
  if (!ramping_) {
    allowed_ = slots_;
    ramping_ = true;
  } else if (aNow - stepStart_ < kFallInterval) {
    return;
  }
  untouched_ = false;
  allowed_ = std::max(1U, allowed_ / 2);
  successes_ = 0;
  stepStart_ = aNow;
}

std::uint32_t
ColdStartRamp::Allowed() const
{
  return ramping_ ? allowed_ : UINT32_MAX;
}

} // namespace redwing
