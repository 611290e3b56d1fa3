#include "routing/RetryBudget.hpp"

#include "core/Hash.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;

} // namespace

void
RetryBudget::OnRequest(std::string_view aWorkspace, std::string_view aService)
{
  double& tokens = Tokens(aWorkspace, aService);
  tokens = std::min(settings_.reserve_, tokens + settings_.share_);
}

bool
RetryBudget::TryTake(std::string_view aWorkspace, std::string_view aService)
{
  if (!HasRoom(aWorkspace, aService)) {
    return false;
  }
  Tokens(aWorkspace, aService) -= 1.0;
  return true;
}

double&
RetryBudget::Tokens(std::string_view aWorkspace, std::string_view aService)
{
  const std::uint64_t key =
    (settings_.perWorkspace_ ? HashBytes(aWorkspace) * kMultiplier : 0) ^ HashBytes(aService);
  return tokens_.try_emplace(key, settings_.reserve_).first->second;
}

} // namespace redwing
