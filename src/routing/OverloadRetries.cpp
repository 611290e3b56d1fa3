#include "routing/OverloadRetries.hpp"

#include <algorithm>

namespace redwing {

OverloadRetries::OverloadRetries(const OverloadRetrySettings& aSettings)
  : settings_(aSettings)
{
}

void
OverloadRetries::OnRequest(std::string_view aService)
{
  Add(aService, settings_.earned_);
}

bool
OverloadRetries::TryTake(std::string_view aService, std::size_t aMembers)
{
  if (aMembers <= settings_.unlimitedMembers_) {
    return true;
  }
  double& saved = Saved(aService);
  if (saved < 1) {
    return false;
  }
  saved -= 1;
  return true;
}

void
OverloadRetries::OnAccepted(std::string_view aService)
{
  Add(aService, 1);
}

double&
OverloadRetries::Saved(std::string_view aService)
{
  return saved_.try_emplace(std::string(aService), settings_.reserve_).first->second;
}

void
OverloadRetries::Add(std::string_view aService, double aAttempts)
{
  double& saved = Saved(aService);
  saved = std::min(settings_.reserve_, saved + aAttempts);
}

} // namespace redwing
