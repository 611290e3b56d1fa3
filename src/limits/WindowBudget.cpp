#include "limits/WindowBudget.hpp"

#include "limits/UseHistory.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {

/// Arrivals of this time are kept in reserve until the pool replies.
constexpr double kReserveSeconds = 0.7;
/// Arrivals of this time are requested from the pool.
constexpr double kWantedSeconds = 1.0;
/// Weight of the latest sample in the moving average of the arrival rate.
constexpr double kRateWeight = 0.4;
/// A new process reports its guaranteed minimum this long before it may use it, because a report
/// may be lost.
constexpr std::chrono::milliseconds kMinimumLeadTime{ 1500 };
/// Shortest span over which the arrival rate is measured; shorter ones are too inaccurate.
constexpr double kRateSeconds = 0.3;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

WindowBudget::WindowBudget(WindowBudgetSettings aSettings, TimePoint aStart)
  : settings_(aSettings)
  , start_(aStart)
  , rateSince_(aStart)
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
  const double granted = aNow < grantedUntil_ ? granted_ : 0;
  // In the first window, only the pool knows what an earlier process of this instance used. After
  // fallbackEndsAfter_, the pool no longer counts this instance.
  if (aNow - start_ < settings_.window_ || timeSinceReply_ >= settings_.fallbackEndsAfter_) {
    return granted;
  }
  if (timeSinceReply_ < settings_.fallbackAfter_) {
    return std::max(granted, settings_.GuaranteedMinimum(allowance_, instances_));
  }
  return std::max(granted, allowance_ / static_cast<double>(instances_) * settings_.fallbackShare_);
}

void
WindowBudget::Expire(TimePoint aNow)
{
  while (!used_.empty() && aNow - used_.front().at_ >= settings_.window_) {
    used_.pop_front();
  }
}

std::optional<std::uint64_t>
WindowBudget::TryTake(TimePoint aNow)
{
  ++arrivals_;
  return TryAgain(aNow);
}

std::optional<std::uint64_t>
WindowBudget::TryAgain(TimePoint aNow)
{
  Expire(aNow);
  if (static_cast<double>(used_.size()) + 1 > Budget(aNow)) {
    return std::nullopt;
  }
  used_.push_back({ ++lastToken_, aNow });
  ++admitted_;
  return lastToken_;
}

void
WindowBudget::Refund(std::uint64_t aToken)
{
  const auto found = std::lower_bound(
    used_.begin(), used_.end(), aToken, [](const Admission& aAdmission, std::uint64_t aSought) {
      return aAdmission.token_ < aSought;
    });
  if (found != used_.end() && found->token_ == aToken) {
    used_.erase(found);
  }
  // Requests that were already reported stay counted by the pool.
  if (aToken > reportedToken_) {
    --admitted_;
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
  return std::clamp<Duration>(used_.front().at_ + settings_.window_ - aNow, kShortest, kLongest);
}

BudgetUse
WindowBudget::Report(TimePoint aNow, std::size_t aWaiting)
{
  Expire(aNow);
  lastReport_ = aNow;
  const double elapsed = Seconds(aNow - rateSince_);
  if (elapsed >= kRateSeconds) {
    arrivalRate_ += kRateWeight * (static_cast<double>(arrivals_) / elapsed - arrivalRate_);
    arrivals_ = 0;
    rateSince_ = aNow;
  }
  const auto used = static_cast<double>(used_.size());
  const double budget = Budget(aNow);
  // Reserves whole requests only: in a large fleet, where an instance sees few requests of a
  // workspace, unusable fractions would add up. Such an instance asks for each request.
  const double reserve =
    std::clamp(std::floor(arrivalRate_ * kReserveSeconds), 0.0, std::max(0.0, budget - used));
  // The guaranteed minimum may take effect before the next report.
  const bool hasMinimum = aNow + kMinimumLeadTime - start_ >= settings_.window_;
  BudgetUse use;
  use.committed_ = std::max(hasMinimum ? settings_.GuaranteedMinimum(allowance_, instances_) : 0.0,
                            used + reserve);
  use.held_ = std::max(budget, used);
  use.admitted_ = admitted_;
  reportedToken_ = lastToken_;
  use.wanted_ =
    std::max(static_cast<double>(aWaiting), std::floor(arrivalRate_ * kWantedSeconds) - reserve);
  granted_ = use.committed_;
  return use;
}

std::vector<std::uint32_t>
WindowBudget::History(TimePoint aNow) const
{
  UseHistory history(settings_.window_);
  for (const Admission& admission : used_) {
    history.Add(1, admission.at_);
  }
  return history.Export(aNow);
}

void
WindowBudget::OnGrant(double aExtra, TimePoint aReportedAt)
{
  if (aReportedAt < lastReport_) {
    return;
  }
  granted_ += aExtra;
  grantedUntil_ = aReportedAt + settings_.grantLifetime_;
}

bool
WindowBudget::InUse(TimePoint aNow)
{
  Expire(aNow);
  return !used_.empty() || arrivals_ > 0;
}

} // namespace redwing
