#pragma once

#include "core/Clock.hpp"
#include "limits/WindowBudget.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace redwing {

/// Lends the unused parts of one workspace's allowance among instances. What was lent or committed
/// stays counted until the instance's next report, or until a window has passed without one, so
/// that all instances together stay within the allowance.
class BudgetPool
{
public:
  /// A new pool does not know what an earlier one lent, so it lends nothing before the grants of
  /// that one have run out.
  BudgetPool(WindowBudgetSettings aSettings, TimePoint aStart);

  /// Takes the report of one run of an instance; returns how many requests it may use beyond what
  /// it committed. aUnheard of the aInstances may be using their fixed shares, because they do not
  /// hear the pool; the others use no more than the part that they keep, or what they reported.
  ///
  /// Preconditions: aInstances > 0. Thread safety: not thread-safe.
  double OnReport(const std::string& aRun,
                  const BudgetUse& aUse,
                  double aAllowance,
                  std::size_t aInstances,
                  std::size_t aUnheard,
                  TimePoint aNow);

private:
  struct Entry
  {
    double counted_ = 0;
    double wanted_ = 0;
    TimePoint reportedAt_{};
  };

  WindowBudgetSettings settings_;
  TimePoint start_;
  std::map<std::string, Entry> entries_;
};

} // namespace redwing
