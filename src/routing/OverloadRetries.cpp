#include "routing/OverloadRetries.hpp"

#include <algorithm>

namespace redwing {

OverloadRetries::OverloadRetries(const OverloadRetrySettings& aSettings)
  : settings_(aSettings)
{
}

void
OverloadRetries::OnRequest(std::string_view aRoute)
{
  Add(aRoute, settings_.earned_);
}

bool
OverloadRetries::TryTake(std::string_view aRoute, std::size_t aMembers)
{
  if (aMembers <= settings_.unlimitedMembers_) {
    return true;
  }
  double& saved = Saved(aRoute);
  if (saved < 1) {
    return false;
  }
  saved -= 1;
  return true;
}

void
OverloadRetries::OnAnswered(std::string_view aRoute)
{
  Add(aRoute, 1);
}

double&
OverloadRetries::Saved(std::string_view aRoute)
{
  return saved_.try_emplace(std::string(aRoute), settings_.reserve_).first->second;
}

void
OverloadRetries::Add(std::string_view aRoute, double aAttempts)
{
  double& saved = Saved(aRoute);
  saved = std::min(settings_.reserve_, saved + aAttempts);
}

} // namespace redwing
