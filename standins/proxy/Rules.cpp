#include "proxy/Rules.hpp"

#include <algorithm>

namespace redwing::standins {

void
Rules::Restore(const std::string& aFrom, const std::string& aTo)
{
  bool all = aFrom.empty() && aTo.empty();
  std::erase_if(rules_, [&](const Rule& aRule) {
    return !aRule.permanent_ && (all || (aRule.from_ == aFrom && aRule.to_ == aTo));
  });
}

Condition
Rules::Lookup(const std::string& aFrom, const std::string& aTo) const
{
  Condition result;
  for (const auto& rule : rules_) {
    if (!aFrom.starts_with(rule.from_) || !aTo.starts_with(rule.to_)) {
      continue;
    }
    const auto& condition = rule.condition_;
    result.cut_ = result.cut_ || condition.cut_;
    result.delayMs_ += condition.delayMs_;
    result.jitterMs_ += condition.jitterMs_;
    result.lossPercent_ = std::max(result.lossPercent_, condition.lossPercent_);
    result.duplicatePercent_ = std::max(result.duplicatePercent_, condition.duplicatePercent_);
    result.reorderPercent_ = std::max(result.reorderPercent_, condition.reorderPercent_);
  }
  return result;
}

} // namespace redwing::standins
