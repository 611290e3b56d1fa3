#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace redwing {

struct RetryBudgetSettings
{
  /// Retries earned per request.
  double share_ = 0.2;
  /// Largest number of saved retries; lets a workspace with little traffic ride out a lost server.
  double reserve_ = 20.0;
  /// Budgets are kept per workspace and service; otherwise per service only.
  bool perWorkspace_ = true;
};

/// Limits retries of each workspace and service to a share of its requests, so that retries cannot
/// multiply an overload.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// Counts a first attempt, which earns a share of a retry.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnRequest(std::string_view aWorkspace, std::string_view aService);

  /// Returns whether TryTake would succeed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool HasRoom(std::string_view aWorkspace, std::string_view aService)
  {
    return Tokens(aWorkspace, aService) >= 1.0;
  }

  /// Takes one retry if the budget has one.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool TryTake(std::string_view aWorkspace, std::string_view aService);

private:
  double& Tokens(std::string_view aWorkspace, std::string_view aService);

  RetryBudgetSettings settings_;
  std::unordered_map<std::uint64_t, double> tokens_;
};

} // namespace redwing
