#include "admission/ColdRateLimit.hpp"

namespace redwing {

namespace {

constexpr std::chrono::seconds kWindow{ 1 };
/// Part of the rate that a previous process is assumed to have used in the first window.
constexpr double kPreviousProcessShare = 0.5;

} // namespace

bool
ColdRateLimit::Allows(TimePoint aNow)
{
  if (!IsCold(aNow)) {
    return true;
  }
  Expire(aNow);
  const double sentBefore = aNow - start_ < kWindow ? perSecond_ * kPreviousProcessShare : 0;
  return static_cast<double>(sent_.size()) + 1 + sentBefore <= perSecond_;
}

void
ColdRateLimit::OnSent(TimePoint aNow)
{
  if (perSecond_ <= 0) {
    return;
  }
  Expire(aNow);
  sent_.push_back(aNow);
}

void
ColdRateLimit::Expire(TimePoint aNow)
{
  while (!sent_.empty() && aNow - sent_.front() >= kWindow) {
    sent_.pop_front();
  }
}

} // namespace redwing
