#include "config/ConfigurationMutation.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

template<typename Item>
auto
FindId(std::vector<Item>& aItems, const std::string& aId)
{
  return std::find_if(
    aItems.begin(), aItems.end(), [&](const Item& aItem) { return aItem.id_ == aId; });
}

} // namespace

ConfigurationMutation
AddKey(CallerKey aKey)
{
  return [key = std::move(aKey)](Configuration& aConfiguration) -> Findings {
    if (FindId(aConfiguration.keys_, key.id_) != aConfiguration.keys_.end()) {
      return { { "/keys/" + key.id_, "exists already" } };
    }
    aConfiguration.keys_.push_back(key);
    return {};
  };
}

ConfigurationMutation
WithdrawKey(std::string aId)
{
  return [id = std::move(aId)](Configuration& aConfiguration) -> Findings {
    const auto found = FindId(aConfiguration.keys_, id);
    if (found == aConfiguration.keys_.end()) {
      return { { "/keys/" + id, "does not exist" } };
    }
    aConfiguration.keys_.erase(found);
    return {};
  };
}

ConfigurationMutation
SetDataCentreWithdrawn(std::string aId, bool aWithdrawn)
{
  return [id = std::move(aId), aWithdrawn](Configuration& aConfiguration) -> Findings {
    const auto found = FindId(aConfiguration.dataCentres_, id);
    if (found == aConfiguration.dataCentres_.end()) {
      return { { "/dataCentres/" + id, "does not exist" } };
    }
    found->withdrawn_ = aWithdrawn;
    return {};
  };
}

} // namespace redwing
