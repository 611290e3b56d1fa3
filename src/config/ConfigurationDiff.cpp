#include "config/ConfigurationDiff.hpp"

#include "config/ConfigurationWriter.hpp"

#include <algorithm>
#include <map>

namespace redwing {

namespace {

using Entries = std::map<std::string, std::string>;

template<typename Item>
void
AddSection(Entries& aEntries, const char* aSection, const std::vector<Item>& aItems)
{
  for (const Item& item : aItems) {
    aEntries[std::string(aSection) + "/" + item.id_] = ConfigurationWriter::Write(item);
  }
}

Entries
ToEntries(const Configuration& aConfiguration)
{
  Entries entries;
  entries["version"] = std::to_string(aConfiguration.version_);
  AddSection(entries, "workspaces", aConfiguration.workspaces_);
  AddSection(entries, "keys", aConfiguration.keys_);
  AddSection(entries, "services", aConfiguration.services_);
  AddSection(entries, "routes", aConfiguration.routes_);
  AddSection(entries, "dataCentres", aConfiguration.dataCentres_);
  return entries;
}

} // namespace

std::vector<ConfigurationChange>
ConfigurationDiff::Compare(const Configuration& aBefore, const Configuration& aAfter)
{
  const Entries before = ToEntries(aBefore);
  const Entries after = ToEntries(aAfter);
  std::vector<ConfigurationChange> changes;
  for (const auto& [place, text] : before) {
    const auto found = after.find(place);
    if (found == after.end()) {
      changes.push_back({ ChangeKind::Removed, place, text, {} });
    } else if (found->second != text) {
      changes.push_back({ ChangeKind::Changed, place, text, found->second });
    }
  }
  for (const auto& [place, text] : after) {
    if (!before.contains(place)) {
      changes.push_back({ ChangeKind::Added, place, {}, text });
    }
  }
  std::sort(changes.begin(), changes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.place_ < aRight.place_;
  });
  return changes;
}

ThreeWayDifference
ConfigurationDiff::Compare3(const Configuration& aBase,
                            const Configuration& aOurs,
                            const Configuration& aTheirs)
{
  ThreeWayDifference difference{ Compare(aBase, aOurs), Compare(aBase, aTheirs), {} };
  for (const ConfigurationChange& ours : difference.ours_) {
    const auto theirs =
      std::find_if(difference.theirs_.begin(), difference.theirs_.end(), [&](const auto& aChange) {
        return aChange.place_ == ours.place_;
      });
    if (theirs != difference.theirs_.end() && theirs->after_ != ours.after_) {
      difference.conflicts_.push_back(ours.place_);
    }
  }
  return difference;
}

} // namespace redwing
