#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace redwing {

/// Limits retries of each workspace and service to a share of its requests, so that retries cannot
/// multiply an overload.
class RetryBudget
{
public:
  /// Counts a first attempt, which earns a share of a retry.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnRequest(std::string_view aWorkspace, std::string_view aService);

  /// Takes one retry if the budget has one.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool TryTake(std::string_view aWorkspace, std::string_view aService);

private:
  double& Tokens(std::string_view aWorkspace, std::string_view aService);

  std::unordered_map<std::uint64_t, double> tokens_;
};

} // namespace redwing
