#include "admission/SlotLimiter.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Factor by which a shed lowers the limit.
constexpr double kDecrease = 0.7;
/// Part of the limit that must be in use for a shed to lower it.
constexpr double kMinUtilisation = 0.75;
/// Sheds caused by one overload arrive together and lower the limit only once.
constexpr std::chrono::milliseconds kDecreaseInterval{ 50 };

} // namespace

void
SlotLimiter::SetSlots(std::uint32_t aSlots)
{
  if (aSlots != slots_) {
    slots_ = aSlots;
    limit_ = aSlots;
  }
}

bool
SlotLimiter::TryAcquire()
{
  if (running_ >= Limit()) {
    return false;
  }
  ++running_;
  return true;
}

void
SlotLimiter::Release()
{
  --running_;
}

void
SlotLimiter::OnSuccess()
{
  // Grows only when the limit is reached: otherwise it would rise to values never tested under
  // load.
  if (running_ + 1 >= Limit()) {
    limit_ = std::min<double>(slots_, limit_ + 1 / std::max(1.0, limit_));
  }
}

void
SlotLimiter::OnShed(TimePoint aNow)
{
  // A server that sheds while many of its slots are free is not overloaded.
  const bool overloaded = running_ >= kMinUtilisation * Limit();
  if (overloaded && aNow - lastDecrease_ >= kDecreaseInterval) {
    lastDecrease_ = aNow;
    limit_ = std::max(1.0, std::min<double>(limit_, running_) * kDecrease);
  }
}

std::uint32_t
SlotLimiter::Limit() const
{
  return std::min({ slots_, cap_, static_cast<std::uint32_t>(limit_) });
}

} // namespace redwing
