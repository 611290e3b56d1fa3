#include "limits/WindowBudget.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Requests of this time are kept in reserve until the pool replies.
constexpr double kReserveSeconds = 0.7;
/// Requests of this time are asked for.
constexpr double kWantedSeconds = 1.5;
/// Requests kept or asked for beyond the rate, for workspaces with little traffic.
constexpr double kSpare = 2;
constexpr double kRateWeight = 0.4;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

WindowBudget::WindowBudget(WindowBudgetSettings aSettings, TimePoint aStart)
  : settings_(aSettings)
  , start_(aStart)
  , lastReport_(aStart)
{
}

void
WindowBudget::SetAllowance(double aAllowance, std::size_t aInstances)
{
  allowance_ = aAllowance;
  instances_ = std::max<std::size_t>(1, aInstances);
}

double
WindowBudget::Budget(TimePoint aNow) const
{
  const double equal = allowance_ / static_cast<double>(instances_);
  if (aNow < grantedUntil_) {
    return std::max(granted_, equal * settings_.floorShare_);
  }
  if (aNow - start_ < settings_.grantLife_) {
    // What an earlier process of this instance used is known to the pool only.
    return 0;
  }
  const bool young = aNow - start_ < settings_.window_ && !everGranted_;
  return equal * settings_.aloneShare_ * (young ? settings_.floorShare_ : 1);
}

void
WindowBudget::Expire(TimePoint aNow)
{
  while (!used_.empty() && aNow - used_.front() >= settings_.window_) {
    used_.pop_front();
  }
}

bool
WindowBudget::TryTake(TimePoint aNow)
{
  ++arrivals_;
  Expire(aNow);
  if (static_cast<double>(used_.size()) + 1 > Budget(aNow)) {
    return false;
  }
  used_.push_back(aNow);
  return true;
}

void
WindowBudget::Return()
{
  if (!used_.empty()) {
    used_.pop_back();
  }
}

Duration
WindowBudget::RetryAfter(TimePoint aNow) const
{
  constexpr Duration kLongest = std::chrono::milliseconds(1000);
  constexpr Duration kShortest = std::chrono::milliseconds(50);
  if (used_.empty()) {
    return kLongest;
  }
  return std::clamp<Duration>(used_.front() + settings_.window_ - aNow, kShortest, kLongest);
}

BudgetUse
WindowBudget::Report(TimePoint aNow)
{
  Expire(aNow);
  const double elapsed = std::max(Seconds(aNow - lastReport_), 0.05);
  arrivalRate_ += kRateWeight * (static_cast<double>(arrivals_) / elapsed - arrivalRate_);
  arrivals_ = 0;
  lastReport_ = aNow;
  const auto used = static_cast<double>(used_.size());
  const double budget = Budget(aNow);
  const double floor = allowance_ / static_cast<double>(instances_) * settings_.floorShare_;
  const double reserve =
    std::clamp(arrivalRate_ * kReserveSeconds + kSpare, 0.0, std::max(0.0, budget - used));
  BudgetUse use;
  use.committed_ = std::max(floor, used + reserve);
  use.wanted_ = std::max(0.0, arrivalRate_ * kWantedSeconds + kSpare - reserve);
  granted_ = use.committed_;
  grantedUntil_ = std::max(grantedUntil_, aNow + settings_.grantLife_);
  if (!everGranted_) {
    grantedUntil_ = {};
  }
  return use;
}

void
WindowBudget::OnGrant(double aExtra, TimePoint aReportedAt)
{
  granted_ += aExtra;
  grantedUntil_ = aReportedAt + settings_.grantLife_;
  everGranted_ = true;
}

bool
WindowBudget::InUse(TimePoint aNow)
{
  Expire(aNow);
  return !used_.empty() || arrivals_ > 0;
}

} // namespace redwing
