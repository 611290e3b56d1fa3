#pragma once

#include "core/Counters.hpp"
#include "exchange/Outcome.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace redwing::Detail {

/// Counts the outcome of every request by workspace and code.
class OutcomeCounters
{
public:
  explicit OutcomeCounters(CounterRegistry& aRegistry);

  /// Counts a response of a backend server.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnResponse(const std::string& aWorkspace, unsigned aStatus);

  /// Counts a refusal; aWorkspace is empty when the request has none.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnRefusal(const std::string& aWorkspace, ErrorCode aCode, Outcome aOutcome);

private:
  static constexpr std::size_t kClasses = 6;
  static constexpr std::size_t kCodes = static_cast<std::size_t>(ErrorCode::Count);

  struct PerWorkspace
  {
    std::array<Counter*, kClasses> responses_{};
    std::array<std::array<Counter*, 2>, kCodes> refusals_{};
  };

  PerWorkspace& Of(const std::string& aWorkspace);

  CounterRegistry& registry_;
  std::unordered_map<std::string, PerWorkspace> workspaces_;
};

} // namespace redwing::Detail
