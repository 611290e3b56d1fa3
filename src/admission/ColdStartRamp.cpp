#include "admission/ColdStartRamp.hpp"

#include <algorithm>
#include <bit>

namespace redwing {

namespace {

/// Number of sheds within kShedWindow after which a fully ramped-up server is treated as cold
/// again. Fewer sheds are handled by the adaptive limit (SlotLimiter).
constexpr std::uint32_t kShedsOfColdServer = 5;
constexpr std::chrono::milliseconds kShedWindow{ 500 };
/// Shortest time between two reductions, so that one overload reduces the limit only once.
constexpr std::chrono::milliseconds kReductionInterval{ 100 };

} // namespace

void
ColdStartRamp::Configure(std::uint32_t aInitial, Duration aRamp, std::uint32_t aSlots)
{
  initial_ = std::max(1U, aInitial);
  slots_ = std::max(1U, aSlots);
  const auto doublings = std::bit_width((slots_ + initial_ - 1) / initial_);
  step_ = aRamp / std::max(1, static_cast<int>(doublings));
  // The ramp may have started before the configuration arrived, with too low a limit.
  const std::uint32_t initial = std::min(initial_, slots_);
  if (ramping_ && neverReduced_ && allowed_ < initial) {
    allowed_ = initial;
  }
}

void
ColdStartRamp::Begin(TimePoint aNow)
{
  ramping_ = true;
  neverReduced_ = true;
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
  // Requires as many successes as the limit allows concurrently: a server does not warm up with
  // time alone.
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
    Reduce(aNow);
  }
}

void
ColdStartRamp::OnLatencyJump(TimePoint aNow)
{
  // Outside a ramp, higher latency need not mean a cold start.
  if (ramping_) {
    Reduce(aNow);
  }
}

void
ColdStartRamp::Reduce(TimePoint aNow)
{
  if (!ramping_) {
    allowed_ = slots_;
    ramping_ = true;
  } else if (aNow - stepStart_ < kReductionInterval) {
    return;
  }
  neverReduced_ = false;
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
