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
  const std::size_t silent = aInstances - std::min(aInstances, entries_.size());
  const double equal = aAllowance / static_cast<double>(aInstances);
  const double assumed =
    static_cast<double>(silent) * equal * std::max(settings_.aloneShare_, settings_.floorShare_);
  const double left = aAllowance - counted - assumed;
  if (aNow - start_ < settings_.grantLife_ || left <= 0 || wanted <= 0) {
    return 0;
  }
  const double extra = std::min(aUse.wanted_, left * aUse.wanted_ / wanted);
  own.counted_ += extra;
  return extra;
}

} // namespace redwing
