#include "config/SelectorMatcher.hpp"

#include <algorithm>

namespace redwing {

namespace {

const std::string*
Find(const Labels& aLabels, std::string_view aLabel)
{
  const auto found = aLabels.find(aLabel);
  return found == aLabels.end() ? nullptr : &found->second;
}

const std::string*
Lookup(const SelectorSubject& aSubject, std::string_view aLabel)
{
  const DataCentre* dataCentre = aSubject.dataCentre_;
  if (aLabel == "data_centre") {
    return dataCentre == nullptr ? nullptr : &dataCentre->id_;
  }
  if (aLabel == "region") {
    return dataCentre == nullptr ? nullptr : &dataCentre->region_;
  }
  if (const std::string* value = Find(aSubject.backendLabels_, aLabel)) {
    return value;
  }
  return dataCentre == nullptr ? nullptr : Find(dataCentre->labels_, aLabel);
}

bool
Holds(const SelectorTerm& aTerm, const SelectorSubject& aSubject)
{
  const std::string* value = Lookup(aSubject, aTerm.label_);
  const bool listed =
    value != nullptr &&
    std::find(aTerm.values_.begin(), aTerm.values_.end(), *value) != aTerm.values_.end();
  switch (aTerm.operator_) {
    case SelectorOperator::Equals:
    case SelectorOperator::In:
      return listed;
    case SelectorOperator::NotEquals:
    case SelectorOperator::NotIn:
      return !listed;
    case SelectorOperator::NotExists:
      return value == nullptr;
    case SelectorOperator::Exists:
      break;
  }
  return value != nullptr;
}

} // namespace

bool
SelectorMatcher::Matches(const Selector& aSelector, const SelectorSubject& aSubject)
{
  return std::all_of(aSelector.terms_.begin(),
                     aSelector.terms_.end(),
                     [&](const SelectorTerm& aTerm) { return Holds(aTerm, aSubject); });
}

} // namespace redwing
