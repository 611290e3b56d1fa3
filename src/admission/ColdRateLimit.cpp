#include "admission/ColdRateLimit.hpp"

namespace redwing {

namespace {

constexpr std::chrono::seconds kWindow{ 1 };
constexpr double kUnknownShare = 0.5;

} // namespace

bool
ColdRateLimit::Allows(TimePoint aNow)
{
  if (!IsCold(aNow)) {
    return true;
  }
  Expire(aNow);
  const double unknown = aNow - start_ < kWindow ? perSecond_ * kUnknownShare : 0;
  return static_cast<double>(sent_.size()) + 1 + unknown <= perSecond_;
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
