#include "admission/SlotLimiter.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr double kDecrease = 0.7;
constexpr double kFullShare = 0.75;
/// Sheds of one overload arrive together; they count once.
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
  // Growth without use would let the limit rise past what was ever tried.
  if (running_ + 1 >= Limit()) {
    limit_ = std::min<double>(slots_, limit_ + 1 / std::max(1.0, limit_));
  }
}

void
SlotLimiter::OnShed(TimePoint aNow)
{
  // A server that sheds while most of its slots are free is not overloaded.
  const bool full = running_ >= kFullShare * Limit();
  if (full && aNow - lastDecrease_ >= kDecreaseInterval) {
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
