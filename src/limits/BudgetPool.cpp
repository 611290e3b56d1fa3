#include "limits/BudgetPool.hpp"

#include <algorithm>

namespace redwing {

BudgetPool::BudgetPool(WindowBudgetSettings aSettings, TimePoint aStart)
  : settings_(aSettings)
  , start_(aStart)
{
}

double
BudgetPool::OnReport(const std::string& aRun,
                     const BudgetUse& aUse,
                     double aAllowance,
                     std::size_t aInstances,
                     std::size_t aUnheard,
                     TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aEntry) {
    return aNow - aEntry.second.reportedAt_ > settings_.window_ + settings_.grantLife_;
  });
  Entry& own = entries_[aRun];
  own = { aUse.committed_, aUse.wanted_, aNow };
  double counted = 0;
  double wanted = 0;
  for (const auto& [run, entry] : entries_) {
    counted += entry.counted_;
    wanted += entry.wanted_;
  }
  const double equal = aAllowance / static_cast<double>(aInstances);
  const std::size_t known = std::min(aInstances, aUnheard + entries_.size());
  const double assumed =
    static_cast<double>(aUnheard) * equal * settings_.aloneShare_ +
    static_cast<double>(aInstances - known) * settings_.Floor(aAllowance, aInstances);
  const double left = aAllowance - counted - assumed;
  if (aNow - start_ < settings_.grantLife_ || left <= 0 || wanted <= 0) {
    return 0;
  }
  // In proportion to what all want, but one whole request as long as there is one.
  const double extra =
    std::min({ aUse.wanted_, left, std::max(1.0, left * aUse.wanted_ / wanted) });
  own.counted_ += extra;
  own.wanted_ -= extra;
  return extra;
}

} // namespace redwing
