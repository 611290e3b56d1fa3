#include "routing/RetryBudget.hpp"

#include "core/Hash.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Retries earned per request.
constexpr double kShare = 0.2;
/// Largest number of saved retries; lets a workspace with little traffic ride out a lost server.
constexpr double kReserve = 20.0;
constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;

} // namespace

void
RetryBudget::OnRequest(std::string_view aWorkspace, std::string_view aService)
{
  double& tokens = Tokens(aWorkspace, aService);
  tokens = std::min(kReserve, tokens + kShare);
}

bool
RetryBudget::TryTake(std::string_view aWorkspace, std::string_view aService)
{
  double& tokens = Tokens(aWorkspace, aService);
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

double&
RetryBudget::Tokens(std::string_view aWorkspace, std::string_view aService)
{
  const std::uint64_t key = HashBytes(aWorkspace) * kMultiplier ^ HashBytes(aService);
  return tokens_.try_emplace(key, kReserve).first->second;
}

} // namespace redwing
