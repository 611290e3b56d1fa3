#include "routing/SelectorMatch.hpp"

#include <algorithm>

namespace redwing {

namespace {

const std::string*
FindLabel(const std::string& aLabel, const Labels& aOwn, const Labels& aDataCentre)
{
  if (const auto own = aOwn.find(aLabel); own != aOwn.end()) {
    return &own->second;
  }
  const auto shared = aDataCentre.find(aLabel);
  return shared == aDataCentre.end() ? nullptr : &shared->second;
}

bool
Holds(const SelectorTerm& aTerm, const std::string* aValue)
{
  const bool listed =
    aValue != nullptr &&
    std::find(aTerm.values_.begin(), aTerm.values_.end(), *aValue) != aTerm.values_.end();
  switch (aTerm.operator_) {
    case SelectorOperator::Equals:
    case SelectorOperator::In:
      return listed;
    case SelectorOperator::NotEquals:
    case SelectorOperator::NotIn:
      return !listed;
    case SelectorOperator::Exists:
      return aValue != nullptr;
    case SelectorOperator::NotExists:
      return aValue == nullptr;
  }
  return false;
}

} // namespace

bool
Selects(const Selector& aSelector, const Labels& aOwn, const Labels& aDataCentre)
{
  return std::all_of(
    aSelector.terms_.begin(), aSelector.terms_.end(), [&](const SelectorTerm& aTerm) {
      return Holds(aTerm, FindLabel(aTerm.label_, aOwn, aDataCentre));
    });
}

} // namespace redwing
